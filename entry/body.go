package entry

import (
	"errors"
	"io"
	"net/http"
	"time"

	"bergamotwing.example/result"
)

// maxIgnoredBytes bounds the body of a request that needs none.
const maxIgnoredBytes = 64 << 10

// withReadDeadline sets the time by which the body of a request must have
// arrived. The deadline holds for bodies that no handler reads, too: the server
// reads the rest of them before it sends the answer.
func (e *Entry) withReadDeadline(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != http.NoBody {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(e.cfg.Limits.ReadTimeout.D()))
		}
		h.ServeHTTP(w, r)
	})
}

// readBody reads a request's body, of at most limit bytes, within the deadline
// that withReadDeadline set. Once the body is complete the deadline is removed,
// so that the handler may take longer; after an error the deadline stays and the
// connection is closed.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request, limit int) ([]byte, error) {
	if r.Body == http.NoBody {
		return nil, nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(limit)))
	if err == nil {
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
		return body, nil
	}
	w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, result.Errorf(result.BodyTooLarge, "at most %d bytes", limit)
	}
	return nil, result.Errorf(result.SlowRequest, "the body did not arrive")
}
