package trial

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

const startsPath = "/starts"

// start is one start of a task as an endpoint recorded it.
type start struct {
	Echo string `json:"echo"`
	AtMS int64  `json:"at"` // Unix milliseconds
}

// endpointStart is a start and the endpoint that recorded it.
type endpointStart struct {
	endpoint, zone string
	at             time.Time
}

// startsByTask lists the starts of every task at all endpoints.
type startsByTask map[string][]endpointStart

func (c *cluster) starts(ctx context.Context) (startsByTask, error) {
	all := startsByTask{}
	for _, e := range c.endpoints {
		list, err := getStarts(ctx, e.server.url())
		if err != nil {
			return nil, eris.Wrapf(err, "starts of %s", e.id)
		}
		for _, s := range list {
			all[s.Echo] = append(all[s.Echo], endpointStart{endpoint: e.id, zone: e.zone, at: time.UnixMilli(s.AtMS)})
		}
	}
	return all, nil
}

// startPoll is shorter than the shortest task, so that a task is still running
// when its start is noticed.
const startPoll = 2 * time.Millisecond

// untilStart waits until the next start of a task at an endpoint.
func (c *cluster) untilStart(ctx context.Context, endpointID string) error {
	i := slices.IndexFunc(c.endpoints, func(e *endpoint) bool { return e.id == endpointID })
	for before := -1; ; {
		list, err := getStarts(ctx, c.endpoints[i].server.url())
		if err != nil {
			return err
		}
		if before >= 0 && len(list) > before {
			return nil
		}
		before = len(list)
		if err := pause(ctx, startPoll); err != nil {
			return err
		}
	}
}

func getStarts(ctx context.Context, base string) ([]start, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+startsPath, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	var list []start
	err = json.NewDecoder(resp.Body).Decode(&list)
	return list, err
}
