package settings

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestKeysComeFromTextAndFileInOrder(t *testing.T) {
	file := writeFile(t, "a secret of a file\n")
	got, err := LoadKeys([]Key{{SecretFile: file}, {Secret: "sixteen letters!"}})
	want := [][]byte{[]byte("a secret of a file"), []byte("sixteen letters!")}
	if diff := cmp.Diff(want, got); diff != "" || err != nil {
		t.Error(diff, err)
	}
	if _, err := LoadKeys([]Key{{SecretFile: writeFile(t, "short\n")}}); err == nil {
		t.Error("a short secret in a file was accepted")
	}
}

// certificate writes a self-signed certificate, which is also its own authority.
func certificate(t *testing.T) TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		NotAfter:     time.Now().Add(time.Hour),
		IsCA:         true, BasicConstraintsValid: true,
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	files := TLS{CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem"), CAFile: filepath.Join(dir, "cert.pem")}
	writePEM(t, files.CertFile, "CERTIFICATE", cert)
	writePEM(t, files.KeyFile, "PRIVATE KEY", keyDER)
	return files
}

func writePEM(t *testing.T, file, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// handshake returns the result of the server's TLS handshake with a client.
func handshake(t *testing.T, server, client TLS) error {
	t.Helper()
	serverCfg, err := server.Server()
	if err != nil {
		t.Fatal(err)
	}
	clientCfg, err := client.Client()
	if err != nil {
		t.Fatal(err)
	}
	l, err := tls.Listen("tcp", "127.0.0.1:0", serverCfg)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		if c, err := tls.Dial("tcp", l.Addr().String(), clientCfg); err == nil {
			_, _ = c.Read(make([]byte, 1)) // until the server closes
			_ = c.Close()
		}
	}()
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	return c.(*tls.Conn).HandshakeContext(t.Context())
}

func TestPeersWithoutACertificateOfTheAuthorityAreRefused(t *testing.T) {
	ours, other := certificate(t), certificate(t)
	if err := handshake(t, ours, ours); err != nil {
		t.Errorf("same authority: %v", err)
	}
	if err := handshake(t, ours, TLS{CAFile: ours.CAFile}); err == nil {
		t.Error("a client without a certificate was accepted")
	}
	foreign := TLS{CertFile: other.CertFile, KeyFile: other.KeyFile, CAFile: ours.CAFile}
	if err := handshake(t, ours, foreign); err == nil {
		t.Error("a client of another authority was accepted")
	}
	if err := handshake(t, other, TLS{CAFile: ours.CAFile}); err == nil {
		t.Error("a client accepted a server of another authority")
	}
}

func TestTLSIsOffWithoutFilesAndBrokenFilesAreErrors(t *testing.T) {
	server, err1 := TLS{}.Server()
	client, err2 := TLS{}.Client()
	if server != nil || client != nil || err1 != nil || err2 != nil {
		t.Error(server, client, err1, err2)
	}
	broken := writeFile(t, "no PEM")
	if _, err := (TLS{CAFile: broken}).Client(); err == nil {
		t.Error("a broken authority file was accepted")
	}
	if _, err := (TLS{CertFile: broken, KeyFile: broken}).Server(); err == nil {
		t.Error("a broken certificate file was accepted")
	}
	cfg, err := certificate(t).Server()
	if err != nil || cfg.MinVersion != tls.VersionTLS13 {
		t.Errorf("%+v %v", cfg, err)
	}
}
