package agent

import (
	"testing"

	"bergamotwing.example/settings"
)

func TestEndpointWithoutPathGetsRequestsForAnAbsolutePath(t *testing.T) {
	for base, want := range map[string]string{
		"http://127.0.0.1:1":      "/task",
		"http://127.0.0.1:1/":     "/task",
		"http://127.0.0.1:1/base": "/base/task",
	} {
		e, err := newEndpoint(settings.Agent{Endpoint: base})
		if err != nil {
			t.Fatal(err)
		}
		if got := e.target.RequestURI(); got != want {
			t.Errorf("%s: request for %q, want %q", base, got, want)
		}
	}
}
