package tablestore_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotwing.example/tablestore"
)

// newClient returns a client of a server that answers with handle.
func newClient(t *testing.T, handle http.HandlerFunc) *tablestore.Client {
	t.Helper()
	srv := httptest.NewServer(handle)
	t.Cleanup(srv.Close)
	return tablestore.NewClient(tablestore.ClientConfig{URL: srv.URL, Token: "secret", Timeout: 5 * time.Second})
}

func status(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
}

// loseAnswer reads the request and closes the connection without an answer.
func loseAnswer(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	panic(http.ErrAbortHandler)
}

func TestFailuresOfAWriteShowWhetherItMayHaveTakenEffect(t *testing.T) {
	for name, tc := range map[string]struct {
		handle http.HandlerFunc
		want   error
	}{
		"made":            {status(http.StatusNoContent), nil},
		"condition fails": {status(http.StatusConflict), tablestore.ErrConflict},
		"down":            {status(http.StatusServiceUnavailable), tablestore.ErrUnavailable},
		"not accepted":    {status(http.StatusUnauthorized), tablestore.ErrRefused},
		"server fails":    {status(http.StatusInternalServerError), tablestore.ErrUnknown},
		"redirected":      {status(http.StatusTemporaryRedirect), tablestore.ErrUnknown},
		"answer lost":     {loseAnswer, tablestore.ErrUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			c := newClient(t, tc.handle)
			if err := c.Commit(t.Context(), tablestore.Op{Key: "k"}); !errors.Is(err, tc.want) {
				t.Errorf("Commit: %v, want %v", err, tc.want)
			}
			if err := c.PutObject(t.Context(), "k", []byte("v")); !errors.Is(err, tc.want) {
				t.Errorf("PutObject: %v, want %v", err, tc.want)
			}
		})
	}
}

func TestFailuresOfAReadAreUnavailable(t *testing.T) {
	for name, handle := range map[string]http.HandlerFunc{
		"down":         status(http.StatusServiceUnavailable),
		"conflict":     status(http.StatusConflict),
		"not accepted": status(http.StatusUnauthorized),
		"answer lost":  loseAnswer,
		"not JSON":     func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "{") },
		"too large": func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.CopyN(w, zeros{}, tablestore.MaxListBytes+1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newClient(t, handle)
			if _, err := c.Get(t.Context(), "k"); !errors.Is(err, tablestore.ErrUnavailable) {
				t.Errorf("Get: %v", err)
			}
			if _, err := c.List(t.Context(), "k"); !errors.Is(err, tablestore.ErrUnavailable) {
				t.Errorf("List: %v", err)
			}
		})
	}
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) { clear(b); return len(b), nil }

func TestRefusedConnectionIsUnavailableForWritesToo(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	c := tablestore.NewClient(tablestore.ClientConfig{URL: "http://" + addr})
	if err := c.Commit(t.Context(), tablestore.Op{Key: "k"}); !errors.Is(err, tablestore.ErrUnavailable) {
		t.Errorf("Commit: %v", err)
	}
}

func TestTimeoutOfAWriteIsUnknown(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}))
	defer srv.Close()
	c := tablestore.NewClient(tablestore.ClientConfig{URL: srv.URL, Timeout: 50 * time.Millisecond})
	if err := c.Commit(t.Context(), tablestore.Op{Key: "k"}); !errors.Is(err, tablestore.ErrUnknown) {
		t.Errorf("Commit: %v", err)
	}
}

func TestCancelledWriteThatWasNeverSentIsUnavailable(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	err := newClient(t, status(http.StatusOK)).Commit(ctx, tablestore.Op{Key: "k"})
	if !errors.Is(err, tablestore.ErrUnavailable) {
		t.Errorf("Commit: %v", err)
	}
}

func TestOversizedWritesAreRefusedUnsent(t *testing.T) {
	c := newClient(t, func(http.ResponseWriter, *http.Request) { t.Error("a request was sent") })
	big := []byte(strings.Repeat("x", tablestore.MaxObjectBytes+1))
	if err := c.Commit(t.Context(), tablestore.Op{Key: "k", Value: big}); !errors.Is(err, tablestore.ErrRefused) {
		t.Errorf("Commit: %v", err)
	}
	if err := c.PutObject(t.Context(), "k", big); !errors.Is(err, tablestore.ErrRefused) {
		t.Errorf("PutObject: %v", err)
	}
}

func TestRequestsCarryTokenAndEscapedKeys(t *testing.T) {
	var got []string
	c := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		got = append(got, r.Header.Get("Authorization")+" "+r.Method+" "+r.URL.RequestURI())
		http.NotFound(w, r)
	})
	_, _ = c.Get(t.Context(), "a/b&c")
	if _, err := c.GetObject(t.Context(), "a/b c"); !errors.Is(err, tablestore.ErrNotFound) {
		t.Errorf("GetObject: %v", err)
	}
	want := []string{"Bearer secret GET /table/row?key=a%2Fb%26c", "Bearer secret GET /objects/a%2Fb%20c"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
