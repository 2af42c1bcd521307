package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

const (
	headerTimeout   = 10 * time.Second
	shutdownTimeout = 2 * time.Second
)

// Server is a stand-in that listens.
type Server struct {
	Addr string // as bound, IP:port
	done chan error
}

// Wait waits until the server has ended. It returns nil if the server ended with
// its context.
func (s *Server) Wait() error { return <-s.done }

// ServePlatform serves p on addr until ctx ends. A port of 0 picks a free one.
func ServePlatform(ctx context.Context, addr string, p *Platform) (*Server, error) {
	return serve(ctx, addr, &http.Server{Handler: p, ReadHeaderTimeout: headerTimeout})
}

// ServeEndpoint serves e on addr until ctx ends. A port of 0 picks a free one.
func ServeEndpoint(ctx context.Context, addr string, e *Endpoint) (*Server, error) {
	return serve(ctx, addr, &http.Server{Handler: e, ReadHeaderTimeout: headerTimeout, ConnState: e.ConnState})
}

func serve(ctx context.Context, addr string, srv *http.Server) (*Server, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", addr)
	}
	srv.BaseContext = func(net.Listener) context.Context { return ctx }
	s := &Server{Addr: l.Addr().String(), done: make(chan error, 1)}
	stopped := make(chan struct{})
	context.AfterFunc(ctx, func() {
		defer close(stopped)
		shutdown(srv) //nolint:contextcheck // its own context is over
	})
	go func() {
		err := srv.Serve(l)
		if errors.Is(err, http.ErrServerClosed) {
			<-stopped
			err = nil
		}
		s.done <- err
	}()
	return s, nil
}

// shutdown gives open requests shutdownTimeout to end and then closes their
// connections.
func shutdown(srv *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if srv.Shutdown(ctx) != nil {
		_ = srv.Close()
	}
}
