package trial

import (
	"net"
	"net/http"
	"time"
)

const headerTimeout = 5 * time.Second

// server serves a stand-in on loopback.
type server struct {
	http *http.Server
	addr string
	done chan struct{}
}

func startServer(handler http.Handler) (*server, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	s := &server{
		http: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout},
		addr: listener.Addr().String(),
		done: make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(listener) // ends with ErrServerClosed
	}()
	return s, nil
}

func (s *server) url() string { return "http://" + s.addr }

func (s *server) stop() {
	_ = s.http.Close()
	<-s.done
}
