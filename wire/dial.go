package wire

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"
)

// Dial opens a link to addr (IP:port); path is /link/agent, /link/peer or /link/node.
// A nil tlsConfig means plain TCP. token is sent as a bearer token.
func Dial(ctx context.Context, addr, path, token string, tlsConfig *tls.Config, obs Observer) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	scheme := "ws://"
	if tlsConfig != nil {
		scheme = "wss://"
	}
	transport := &http.Transport{TLSClientConfig: tlsConfig, DialContext: (&net.Dialer{}).DialContext}
	defer transport.CloseIdleConnections()
	opts := &websocket.DialOptions{
		HTTPClient: &http.Client{Transport: transport},
		HTTPHeader: http.Header{"Authorization": {"Bearer " + token}},
	}
	conn, resp, err := websocket.Dial(ctx, scheme+addr+path, opts)
	if err != nil {
		if resp != nil && resp.Body != nil {
			_ = resp.Body.Close()
		}
		return nil, eris.Wrapf(err, "dial %s", addr)
	}
	return newLink(conn, addr, obs), nil
}
