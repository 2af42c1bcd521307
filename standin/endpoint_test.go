package standin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"bergamotwing.example/standin"
)

func newEndpoint(t *testing.T, cfg standin.EndpointConfig) (*standin.Endpoint, string) {
	t.Helper()
	e := standin.NewEndpoint(cfg)
	srv := httptest.NewServer(e)
	t.Cleanup(srv.Close)
	return e, srv.URL
}

func task(ctx context.Context, url string, payload []byte, startBy time.Time) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/task", bytes.NewReader(payload))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set(standin.HeaderTask, "e1/1f/7/0")
	req.Header.Set(standin.HeaderAttempt, "2")
	req.Header.Set(standin.HeaderStartBy, strconv.FormatInt(startBy.UnixMilli(), 10))
	req.Header.Set(standin.HeaderIdempotent, "true")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, body, err
}

func later() time.Time { return time.Now().Add(time.Minute) }

// eventually polls until holds returns true; there is no event to wait for.
func eventually(t *testing.T, holds func() bool) {
	t.Helper()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for deadline := time.Now().Add(10 * time.Second); !holds(); <-tick.C {
		if time.Now().After(deadline) {
			t.Fatal("the state was not reached")
		}
	}
}

func TestAnswersAreDeterministicAndOfTheirLength(t *testing.T) {
	_, url := newEndpoint(t, standin.EndpointConfig{})
	for _, payload := range [][]byte{
		nil, []byte("opaque"), []byte("{broken"),
		standin.Payload{RunMS: 1, ResultBytes: 100, Echo: "post 7"}.Encode(),
		standin.Payload{Echo: "post 8"}.Encode(),
	} {
		status, body, err := task(t.Context(), url, payload, later())
		if err != nil || status != http.StatusOK || !bytes.Equal(body, standin.Answer(payload)) {
			t.Errorf("%q: %d %x %v", payload, status, body, err)
		}
	}
	sized := standin.Answer(standin.Payload{ResultBytes: 100, Echo: "post 7"}.Encode())
	if len(sized) != 100 || !bytes.HasPrefix(sized, []byte("post 7")) {
		t.Errorf("answer %q", sized)
	}
}

func TestStartIsRecordedBeforeTheTaskRuns(t *testing.T) {
	e, url := newEndpoint(t, standin.EndpointConfig{})
	e.SetFaults(standin.EndpointFaults{NeverAnswer: true})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() {
		_, _, err := task(ctx, url, []byte("x"), later())
		done <- err
	}()
	eventually(t, func() bool { return len(e.Starts(0)) == 1 })
	cancel()
	if err := <-done; err == nil {
		t.Error("the task was answered")
	}
	eventually(t, func() bool { return e.Counts().Running == 0 })
	resp, err := http.Get(url + "/starts?since=0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var got []standin.Start
	if err := json.NewDecoder(resp.Body).Decode(&got); err != nil {
		t.Fatal(err)
	}
	want := []standin.Start{{
		Task: "e1/1f/7/0", Attempt: 2, Idempotent: true,
		Digest: "2d711642b726b04401627ca9fbac32f5c8530fb1903cc4db02258717921a4881",
	}}
	if diff := cmp.Diff(want, got, cmpopts.IgnoreFields(standin.Start{}, "At")); diff != "" {
		t.Error(diff)
	}
	if rest := e.Starts(1); len(rest) != 0 {
		t.Errorf("starts after the last: %v", rest)
	}
}

func TestTaskOverTheSlotsIsRefusedAndCounted(t *testing.T) {
	e, url := newEndpoint(t, standin.EndpointConfig{Slots: 1})
	e.SetFaults(standin.EndpointFaults{NeverAnswer: true})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _, _, _ = task(ctx, url, nil, later()) }()
	eventually(t, func() bool { return e.Counts().Started == 1 })
	status, _, err := task(t.Context(), url, nil, later())
	if err != nil || status != http.StatusServiceUnavailable {
		t.Errorf("%d %v", status, err)
	}
	resp, err := http.Post(url+"/task", "", nil) //nolint:noctx // a stand-in of this test
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.Header.Get(standin.HeaderStarted) != "false" {
		t.Errorf("the refusal does not say that nothing started: %v", resp.Header)
	}
	if c := e.Counts(); c.OverSlots != 2 || c.Started != 1 {
		t.Errorf("counts %+v", c)
	}
}

func TestTaskPastItsStartByTimeDoesNotStart(t *testing.T) {
	e, url := newEndpoint(t, standin.EndpointConfig{})
	status, _, err := task(t.Context(), url, nil, time.Now().Add(-time.Second))
	if err != nil || status != http.StatusPreconditionFailed {
		t.Errorf("%d %v", status, err)
	}
	if c := e.Counts(); c.Started != 0 || c.TooLate != 1 {
		t.Errorf("counts %+v", c)
	}
}

func TestFailingTasksAreAnswered500AfterTheirStart(t *testing.T) {
	e, url := newEndpoint(t, standin.EndpointConfig{})
	if status, _, _ := task(t.Context(), url, standin.Payload{Fail: true}.Encode(), later()); status != 500 {
		t.Errorf("failing payload: %d", status)
	}
	post(t, url+"/control", `{"failAll":true}`)
	if status, _, _ := task(t.Context(), url, nil, later()); status != 500 {
		t.Errorf("failing endpoint: %d", status)
	}
	if c := e.Counts(); c.Failed != 2 || c.Started != 2 {
		t.Errorf("counts %+v", c)
	}
}

func TestServedEndpointCountsConnectionsAndEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	e := standin.NewEndpoint(standin.EndpointConfig{Connections: 1})
	srv, err := standin.ServeEndpoint(ctx, "127.0.0.1:0", e)
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		client := &http.Client{Transport: &http.Transport{}}
		defer client.CloseIdleConnections()
		resp, err := client.Get("http://" + srv.Addr + "/healthz")
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body) // keeps the connection open
		_ = resp.Body.Close()
	}
	if c := e.Counts(); c.Connections != 2 || c.OverConnections != 1 {
		t.Errorf("counts %+v", c)
	}
	cancel()
	if err := srv.Wait(); err != nil {
		t.Error(err)
	}
}

func BenchmarkZeroLengthTasks(b *testing.B) {
	srv := httptest.NewServer(standin.NewEndpoint(standin.EndpointConfig{}))
	defer srv.Close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	b.SetParallelism(6)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			resp, err := client.Post(srv.URL+"/task", "application/octet-stream", bytes.NewReader([]byte("x")))
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	})
}
