package settings

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"os"

	"bergamotwing.example/result"
)

// Limits on the sizes of secrets and of the files that settings name, in bytes.
const (
	minSecretBytes = 16
	maxSecretBytes = 256
	maxPEMBytes    = 1 << 20
)

// LoadKeys returns the secrets of keys in their order. Secrets from files lose the
// line end. The error has code BadSettings.
func LoadKeys(keys []Key) ([][]byte, error) {
	secrets := make([][]byte, len(keys))
	for i, k := range keys {
		secret, err := k.load()
		if err != nil {
			return nil, result.Errorf(result.BadSettings, "%s: %s", keyPath(i), detail(err))
		}
		secrets[i] = secret
	}
	return secrets, nil
}

func keyPath(i int) string { return fmt.Sprintf("keys[%d]", i) }

func (k Key) load() ([]byte, error) {
	secret := []byte(k.Secret)
	if k.SecretFile != "" {
		text, err := readFile(k.SecretFile, maxPEMBytes)
		if err != nil {
			return nil, result.Errorf(result.BadSettings, "secretFile: %v", err)
		}
		secret = bytes.TrimRight(text, "\r\n")
	}
	if len(secret) < minSecretBytes || len(secret) > maxSecretBytes {
		return nil, result.Errorf(result.BadSettings, "the secret must be %d to %d characters long", minSecretBytes, maxSecretBytes)
	}
	return secret, nil
}

// Server returns the configuration of a listener, or nil if TLS is off. With a
// CAFile, clients must have a certificate from that authority. The error has code
// BadSettings.
func (t TLS) Server() (*tls.Config, error) {
	if t.CertFile == "" {
		return nil, nil //nolint:nilnil // nil turns TLS off in net/http and here
	}
	cfg, err := t.config()
	if err != nil {
		return nil, err
	}
	if t.CAFile != "" {
		cfg.ClientCAs = cfg.RootCAs
		cfg.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return cfg, nil
}

// Client returns the configuration to dial with, or nil if TLS is off. Servers
// must have a certificate from CAFile's authority or, without a CAFile, one that
// the host trusts. The error has code BadSettings.
func (t TLS) Client() (*tls.Config, error) {
	if t == (TLS{}) {
		return nil, nil //nolint:nilnil // nil turns TLS off in net/http and here
	}
	return t.config()
}

func (t TLS) config() (*tls.Config, error) {
	cfg := &tls.Config{MinVersion: tls.VersionTLS13}
	if t.CertFile != "" {
		pair, err := t.pair()
		if err != nil {
			return nil, err
		}
		cfg.Certificates = []tls.Certificate{pair}
	}
	if t.CAFile == "" {
		return cfg, nil
	}
	authorities, err := readFile(t.CAFile, maxPEMBytes)
	if err != nil {
		return nil, result.Errorf(result.BadSettings, "caFile: %v", err)
	}
	cfg.RootCAs = x509.NewCertPool()
	if !cfg.RootCAs.AppendCertsFromPEM(authorities) {
		return nil, result.Errorf(result.BadSettings, "caFile: %s holds no certificate in PEM form", t.CAFile)
	}
	return cfg, nil
}

func (t TLS) pair() (tls.Certificate, error) {
	cert, err := readFile(t.CertFile, maxPEMBytes)
	if err != nil {
		return tls.Certificate{}, result.Errorf(result.BadSettings, "certFile: %v", err)
	}
	key, err := readFile(t.KeyFile, maxPEMBytes)
	if err != nil {
		return tls.Certificate{}, result.Errorf(result.BadSettings, "keyFile: %v", err)
	}
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		return tls.Certificate{}, result.Errorf(result.BadSettings, "certFile and keyFile: %v", err)
	}
	return pair, nil
}

// readFile reads a regular file of at most limit bytes.
func readFile(name string, limit int64) ([]byte, error) {
	info, err := os.Stat(name)
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() {
		return nil, fmt.Errorf("%s is not a regular file", name)
	}
	f, err := os.Open(name) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	text, err := io.ReadAll(io.LimitReader(f, limit+1))
	if err == nil && int64(len(text)) > limit {
		err = fmt.Errorf("%s is over %d bytes", name, limit)
	}
	return text, err
}

// detail returns an error's text without its result code.
func detail(err error) string {
	var e *result.Error
	if errors.As(err, &e) {
		return e.Detail
	}
	return err.Error()
}
