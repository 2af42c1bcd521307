package client

import (
	"maps"
	"sync"
)

// Reasons of retries besides the names of result codes.
const (
	ReasonLostAnswer   = "lost_answer"   // the request was sent, no usable answer came
	ReasonNotConnected = "not_connected" // the request was never sent
)

// Stats counts what a client has done since it was created.
type Stats struct {
	FirstTries       uint64            // jobs submitted
	Retries          map[string]uint64 // retries, by the reason of the failure before each
	BudgetWaits      uint64            // back-offs spent waiting for the retry budget
	BudgetRefusals   uint64            // retries not made for lack of budget
	TicketsDiscarded uint64
	Complete         uint64
	NotRun           uint64
	Failed           uint64
	Unknown          uint64
}

// counters guards a Stats.
type counters struct {
	mu    sync.Mutex
	stats Stats
}

func newCounters() *counters { return &counters{stats: Stats{Retries: map[string]uint64{}}} }

func (c *counters) update(change func(*Stats)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.stats)
}

func (c *counters) snapshot() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.stats
	s.Retries = maps.Clone(s.Retries)
	return s
}

func (c *counters) retried(reason string) { c.update(func(s *Stats) { s.Retries[reason]++ }) }

// finished counts the outcome of a job by the type of its error.
func (c *counters) finished(err error) {
	c.update(func(s *Stats) {
		switch err.(type) { //nolint:errorlint // the submission returns these types unwrapped
		case nil:
			s.Complete++
		case *NotRunError:
			s.NotRun++
		case *FailedError:
			s.Failed++
		default:
			s.Unknown++
		}
	})
}
