package integration

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"bergamotwing.example/client/api"
	"bergamotwing.example/integration/harness"
	"bergamotwing.example/result"
	"bergamotwing.example/settings"
)

// authority is a certificate authority that signs certificates for loopback.
type authority struct {
	dir    string
	cert   *x509.Certificate
	key    *ecdsa.PrivateKey
	serial int64
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{dir: t.TempDir(), key: newKey(t)}
	a.cert = &x509.Certificate{IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	a.cert = a.sign(t, "ca", a.cert, &a.key.PublicKey)
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// sign completes a template, signs it and writes the certificate to the file of
// that name.
func (a *authority) sign(t *testing.T, name string, template *x509.Certificate, key *ecdsa.PublicKey) *x509.Certificate {
	t.Helper()
	a.serial++
	template.SerialNumber = big.NewInt(a.serial)
	template.Subject = pkix.Name{CommonName: name}
	template.NotBefore, template.NotAfter = time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, key, a.key)
	if err != nil {
		t.Fatal(err)
	}
	writePEM(t, a.file(name), "CERTIFICATE", der)
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return cert
}

func (a *authority) file(name string) string { return filepath.Join(a.dir, name+".pem") }

func writePEM(t *testing.T, file, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// issue creates a certificate for servers and clients on loopback.
func (a *authority) issue(t *testing.T, name string) settings.TLS {
	t.Helper()
	key := newKey(t)
	a.sign(t, name, &x509.Certificate{
		IPAddresses: []net.IP{harness.Loopback()},
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, &key.PublicKey)
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	writePEM(t, a.file(name+"-key"), "PRIVATE KEY", der)
	return settings.TLS{CertFile: a.file(name), KeyFile: a.file(name + "-key")}
}

// mutual creates a certificate and settings that require one of the other side.
func (a *authority) mutual(t *testing.T, name string) settings.TLS {
	t.Helper()
	files := a.issue(t, name)
	files.CAFile = a.file("ca")
	return files
}

// client returns a client configuration that trusts the authority.
func (a *authority) client() *tls.Config {
	roots := x509.NewCertPool()
	roots.AddCert(a.cert)
	return &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13}
}

func deployTLS(t *testing.T, a *authority) *harness.Deployment {
	t.Helper()
	callers := a.issue(t, "callers")
	entryLinks, agentLinks := a.mutual(t, "entry-links"), a.mutual(t, "agent-links")
	return deploy(t, harness.Options{
		Entries:       2,
		ClientTLS:     a.client(),
		EntrySettings: func(s *settings.Entry) { s.TLS, s.LinkTLS = callers, entryLinks },
		AgentSettings: func(s *settings.Agent) { s.LinkTLS = agentLinks },
	})
}

func TestJobRunsOverTLSWithMutuallyAuthenticatedLinks(t *testing.T) {
	a := newAuthority(t)
	d := deployTLS(t, a)
	caller := harness.NewTLSCaller("", a.client())
	t.Cleanup(caller.Close)
	ticket, err := caller.Ticket(t.Context(), d.Entries[0].URL)
	if err != nil {
		t.Fatal(err)
	}
	job := harness.NewJob("encrypted", 5, 50*time.Millisecond)
	// Submitted through the other entry, so that the job passes the link between
	// the entries.
	answer, err := caller.Submit(t.Context(), d.Entries[1].URL, ticket, job)
	if err != nil {
		t.Fatal(err)
	}
	wantCode(t, answer, result.OK)
	d.Oracle.Record(ticket, job, answer)
	d.Oracle.Check(t)
}

func TestPlainAndUnknownPeersAreRefusedWhereTLSIsSet(t *testing.T) {
	a := newAuthority(t)
	d := deployTLS(t, a)
	entry := d.Entries[0]
	if err := handshake(t.Context(), entry.Callers.Addr, &tls.Config{MinVersion: tls.VersionTLS13}); err == nil {
		t.Error("a caller accepted a certificate of an unknown authority")
	}
	if err := handshake(t.Context(), entry.Links.Addr, a.client()); err == nil {
		t.Error("a link without a certificate was accepted")
	}
	foreign := newAuthority(t).issue(t, "foreign")
	pair, err := tls.LoadX509KeyPair(foreign.CertFile, foreign.KeyFile)
	if err != nil {
		t.Fatal(err)
	}
	config := a.client()
	config.Certificates = []tls.Certificate{pair}
	if err := handshake(t.Context(), entry.Links.Addr, config); err == nil {
		t.Error("a link with another authority's certificate was accepted")
	}
	if newCaller(t).Ready(t.Context(), "http://"+entry.Callers.Addr+api.PathHealth) {
		t.Error("an unencrypted request was served")
	}
}

// handshake performs a TLS handshake and waits for the answer to a request: under
// TLS 1.3 a client learns only then that its certificate was refused.
func handshake(ctx context.Context, addr string, config *tls.Config) error {
	transport := &http.Transport{TLSClientConfig: config}
	defer transport.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+addr+"/", nil)
	if err != nil {
		return err
	}
	resp, err := (&http.Client{Transport: transport, Timeout: answerLimit}).Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func TestUnencryptedHTTP2IsServedBySettingAlone(t *testing.T) {
	for _, on := range []bool{true, false} {
		d := deploy(t, harness.Options{
			Entries:       1,
			Agents:        1,
			EntrySettings: func(s *settings.Entry) { s.HTTP2 = on },
		})
		protocol, err := http2Protocol(t.Context(), d.Entries[0].URL+api.PathHealth)
		if on && (err != nil || protocol != "HTTP/2.0") {
			t.Errorf("set: protocol %q, error %v", protocol, err)
		}
		if !on && err == nil {
			t.Errorf("not set: protocol %q", protocol)
		}
		// HTTP/1.1 is served in both cases: harness.New has used it.
	}
}

// http2Protocol makes a request that allows only HTTP/2 and returns the protocol
// of the answer.
func http2Protocol(ctx context.Context, url string) (string, error) {
	transport := &http.Transport{Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(true)
	defer transport.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", err
	}
	resp, err := (&http.Client{Transport: transport, Timeout: answerLimit}).Do(req)
	if err != nil {
		return "", err
	}
	return resp.Proto, resp.Body.Close()
}
