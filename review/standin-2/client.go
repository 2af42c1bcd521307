package main

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answer is what a client has got for a request.
type answer struct {
	status int // 0: none
	body   string
	at     time.Duration // of the record
}

// call makes one request on a channel of its own, as clients do.
func (d *deployment) call(m *machine, method, path, body string, wait time.Duration) answer {
	d.rec.note("send     %s %s to %s %s", method, path, m.name, body)
	ctx, cancel := context.WithTimeout(context.Background(), wait+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.addr(d.ports.front)+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = routeHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Deadline", strconv.FormatInt(wait.Milliseconds(), 10))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return answer{0, err.Error(), d.rec.note("answer   none to %s %s from %s: %v", method, path, m.name, err)}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{0, err.Error(), d.rec.note("answer   broken to %s %s from %s: %v", method, path, m.name, err)}
	}
	at := d.rec.note("answer   %d %s to %s %s from %s", resp.StatusCode, strings.TrimSpace(string(text)), method, path, m.name)
	return answer{resp.StatusCode, string(text), at}
}
