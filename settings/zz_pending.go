package settings

import "crypto/tls"

func LoadKeys(ks []Key) ([][]byte, error) {
	var out [][]byte
	for _, k := range ks {
		out = append(out, []byte(k.Secret))
	}
	return out, nil
}
func (TLS) Server() (*tls.Config, error) { return nil, nil }
func (TLS) Client() (*tls.Config, error) { return nil, nil }
