package agent

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"os"

	"bergamotwing.example/result"
	"bergamotwing.example/settings"
)

// secretOf returns the secret of a key, from its file if it names one.
func secretOf(k settings.Key) ([]byte, error) {
	if k.SecretFile == "" {
		return []byte(k.Secret), nil
	}
	secret, err := os.ReadFile(k.SecretFile)
	if err != nil {
		return nil, result.Errorf(result.BadSettings, "key: %v", err)
	}
	return bytes.TrimSpace(secret), nil
}

// clientTLS returns the TLS configuration of links, or nil for plain TCP.
func clientTLS(s settings.TLS) (*tls.Config, error) {
	if s == (settings.TLS{}) {
		return nil, nil
	}
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if s.CAFile != "" {
		pem, err := os.ReadFile(s.CAFile)
		if err != nil {
			return nil, result.Errorf(result.BadSettings, "linkTls: %v", err)
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(pem) {
			return nil, result.Errorf(result.BadSettings, "linkTls: no certificate in %s", s.CAFile)
		}
	}
	if s.CertFile != "" {
		cert, err := tls.LoadX509KeyPair(s.CertFile, s.KeyFile)
		if err != nil {
			return nil, result.Errorf(result.BadSettings, "linkTls: %v", err)
		}
		config.Certificates = []tls.Certificate{cert}
	}
	return config, nil
}
