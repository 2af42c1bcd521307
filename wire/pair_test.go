package wire

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// testTimeout tells a hang from a slow machine: a frame of the largest size takes
// 6 s of processor time with the race detector.
const testTimeout = 60 * time.Second

type discard struct{}

func (discard) Sent(Kind, int) {}
func (discard) Received(Kind)  {}

// acceptServer returns the address of a server that accepts links into the channel.
func acceptServer(tb testing.TB) (string, chan *Link) {
	tb.Helper()
	accepted := make(chan *Link, 1)
	server := httptest.NewServer(acceptInto(tb, accepted))
	tb.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), accepted
}

func acceptInto(tb testing.TB, accepted chan<- *Link) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		l, err := Accept(w, r, discard{})
		if err != nil {
			tb.Error(err)
			return
		}
		accepted <- l
	}
}

// pair returns both ends of a new link.
func pair(tb testing.TB) (dialled, accepted *Link) {
	tb.Helper()
	addr, links := acceptServer(tb)
	dialled, err := Dial(context.Background(), addr, "/link/peer", "token", nil, discard{})
	if err != nil {
		tb.Fatal(err)
	}
	accepted = <-links
	tb.Cleanup(dialled.Close)
	tb.Cleanup(accepted.Close)
	return dialled, accepted
}

// serve runs l.Serve and delivers its error.
func serve(l *Link, h Handler) <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- l.Serve(context.Background(), h) }()
	return ended
}

func ignore(Message) {}

// wait returns what ch delivers and fails the test when nothing comes.
func wait[T any](tb testing.TB, what string, ch <-chan T) T {
	tb.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(testTimeout):
		tb.Fatalf("timed out waiting for %s", what)
		panic("unreachable")
	}
}
