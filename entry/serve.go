package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"

	"github.com/rotisserie/eris"

	"bergamotwing.example/client/api"
	"bergamotwing.example/drain"
	"bergamotwing.example/settings"
)

// listeners holds the entry's sockets.
type listeners struct {
	callers, operators, links, metrics net.Listener
}

func (l *listeners) open(cfg settings.Entry) error {
	for _, o := range []struct {
		to   *net.Listener
		addr string
	}{
		{&l.callers, cfg.Listen},
		{&l.operators, cfg.OperatorListen},
		{&l.links, cfg.LinkListen},
		{&l.metrics, cfg.MetricsListen},
	} {
		if o.addr == "" {
			continue
		}
		ln, err := net.Listen("tcp", o.addr)
		if err != nil {
			l.close()
			return eris.Wrapf(err, "listen on %s", o.addr)
		}
		*o.to = ln
	}
	return nil
}

func (l *listeners) close() {
	for _, ln := range []net.Listener{l.callers, l.operators, l.links, l.metrics} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

func (l *listeners) addrs() Addrs {
	a := Addrs{Callers: l.callers.Addr().String(), Operators: l.operators.Addr().String(), Links: l.links.Addr().String()}
	if l.metrics != nil {
		a.Metrics = l.metrics.Addr().String()
	}
	return a
}

// linkAddr returns the address that other processes dial: the configured one, or
// else the bound one.
func linkAddr(cfg settings.Entry, ln net.Listener) string {
	if cfg.LinkAddr != "" && cfg.LinkAddr != cfg.LinkListen {
		return cfg.LinkAddr
	}
	return ln.Addr().String()
}

type servers struct {
	callers, operators *drain.Server
	links, metrics     *http.Server
}

// serve starts the HTTP servers.
func (e *Entry) serve() (*servers, error) {
	callersTLS, err := e.cfg.TLS.Server()
	if err != nil {
		return nil, err
	}
	linksTLS, err := e.cfg.LinkTLS.Server()
	if err != nil {
		return nil, err
	}
	callers := e.server(e.callerRoutes(), callersTLS)
	if e.cfg.HTTP2 {
		p := new(http.Protocols)
		p.SetHTTP1(true)
		p.SetHTTP2(true)
		p.SetUnencryptedHTTP2(true)
		callers.Protocols = p
	}
	s := &servers{
		callers:   drain.New(callers, e.listeners.callers),
		operators: drain.New(e.server(e.operatorRoutes(), callersTLS), e.listeners.operators),
		links:     e.server(e.linkRoutes(), linksTLS),
		metrics:   e.server(e.metricsRoutes(), nil),
	}
	e.serveClients(s.callers)
	e.serveClients(s.operators)
	e.listen(s.links, e.listeners.links)
	if e.listeners.metrics != nil {
		e.listen(s.metrics, e.listeners.metrics)
	}
	return s, nil
}

func (e *Entry) serveClients(s *drain.Server) {
	e.background(context.Background(), func(context.Context) {
		if err := s.Serve(); err != nil {
			e.log.Error().Err(err).Stringer("listen", s.Addr()).Msg("listener failed")
		}
	})
}

func (e *Entry) server(h http.Handler, tlsConfig *tls.Config) *http.Server {
	return &http.Server{
		Handler:           h,
		TLSConfig:         tlsConfig,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

func (e *Entry) listen(s *http.Server, ln net.Listener) {
	e.background(context.Background(), func(context.Context) {
		var err error
		if s.TLSConfig != nil {
			err = s.ServeTLS(ln, "", "")
		} else {
			err = s.Serve(ln)
		}
		if !errors.Is(err, http.ErrServerClosed) {
			e.log.Error().Err(err).Str("listen", ln.Addr().String()).Msg("listener failed")
		}
	})
}

func (e *Entry) metricsRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", e.metrics.Handler())
	mux.HandleFunc("GET "+api.PathHealth, e.health)
	return mux
}
