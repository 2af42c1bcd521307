package client

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bergamotwing.example/result"
)

func TestTicketsAreUsedOnceAndFetchedInPacks(t *testing.T) {
	var issued, fetches atomic.Int64
	p := newPool(1, 30, time.Now, func(_ context.Context, _, count int) ([]string, error) {
		fetches.Add(1)
		texts := make([]string, count)
		for i := range texts {
			texts[i] = fmt.Sprint(issued.Add(1))
		}
		return texts, nil
	})
	var seen sync.Map
	var wg sync.WaitGroup
	const takers = 300
	for range takers {
		wg.Go(func() {
			ticket, err := p.take(t.Context(), 0)
			if _, twice := seen.LoadOrStore(ticket, true); twice || err != nil {
				t.Errorf("ticket %q twice or error %v", ticket, err)
			}
		})
	}
	wg.Wait()
	if n := fetches.Load(); n > takers/10 {
		t.Errorf("%d requests for %d tickets", n, takers)
	}
}

func TestOldTicketsAreDiscarded(t *testing.T) {
	now := time.Now()
	issued := 0
	p := newPool(1, 1, func() time.Time { return now }, func(context.Context, int, int) ([]string, error) {
		issued++
		return []string{fmt.Sprint(issued), fmt.Sprint(issued, "spare")}, nil
	})
	if ticket, err := p.take(t.Context(), 0); ticket != "1" || err != nil {
		t.Fatal(ticket, err)
	}
	now = now.Add(maxTicketAge + time.Second)
	if ticket, err := p.take(t.Context(), 0); ticket != "2" || err != nil {
		t.Errorf("ticket %q, error %v", ticket, err)
	}
}

func TestTicketsOfAClosedIssuerAreDiscarded(t *testing.T) {
	a := newFake(t, "a", refuse(result.IssuerClosed))
	c := newTestClient(t, nil, a)
	c.pools.forService(oneTask().Service).packs[0].tickets = []agedTicket{{"old-1", time.Now()}, {"old-2", time.Now()}, {"old-3", time.Now()}}
	answer, err := c.Submit(t.Context(), oneTask())
	if err != nil || answer.Ticket == "old-2" || c.Stats().TicketsDiscarded != 2 {
		t.Errorf("answer %+v, error %v, stats %+v", answer, err, c.Stats())
	}
}

func TestFailedRefillReachesTheCaller(t *testing.T) {
	broken := errors.New("broken")
	p := newPool(1, 1, time.Now, func(context.Context, int, int) ([]string, error) { return nil, broken })
	if _, err := p.take(t.Context(), 0); !errors.Is(err, broken) {
		t.Errorf("error %v", err)
	}
}
