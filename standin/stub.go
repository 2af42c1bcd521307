package standin

import "net/http"

// EndpointConfig is a placeholder until the stand-ins are merged.
type EndpointConfig struct {
	Slots       int
	Connections int
	Zone        string
	ID          string
}

// NewPlatform is a placeholder until the stand-ins are merged.
func NewPlatform() http.Handler { return http.NotFoundHandler() }

// NewEndpoint is a placeholder until the stand-ins are merged.
func NewEndpoint(EndpointConfig) http.Handler { return http.NotFoundHandler() }

// Answer is a placeholder until the stand-ins are merged.
func Answer(payload []byte) []byte { return payload }
