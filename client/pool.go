package client

import (
	"context"
	"sync"
	"time"
)

const (
	// maxTicketAge leaves two minutes of a ticket's lifetime to submit under it.
	maxTicketAge = 8 * time.Minute
	// refillTimeout bounds one request for tickets.
	refillTimeout = 5 * time.Second
	// maxRefill is the largest number of tickets requested at once.
	maxRefill = 1000
)

// pools keeps a pool of tickets for each service: an entry asked for a service's
// tickets returns, if it can, those of an entry that places the service's tasks.
type pools struct {
	newPool func(service string) *pool

	mu  sync.Mutex
	all map[string]*pool
}

func newPools(newPool func(service string) *pool) *pools {
	return &pools{newPool: newPool, all: map[string]*pool{}}
}

// forService returns the pool of a service, created at its first use.
func (p *pools) forService(service string) *pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.all[service]; !ok {
		p.all[service] = p.newPool(service)
	}
	return p.all[service]
}

// discard drops the tickets fetched from an entry, for all services, and returns
// how many there were.
func (p *pools) discard(entry int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, pool := range p.all {
		count += pool.discard(entry)
	}
	return count
}

// fetchTickets requests tickets from an entry.
type fetchTickets func(ctx context.Context, entry, count int) ([]string, error)

// pool keeps a pack of tickets ready for each entry.
type pool struct {
	fetch fetchTickets
	size  int
	now   func() time.Time
	packs []*pack
}

// pack holds the tickets fetched from one entry.
type pack struct {
	mu      sync.Mutex
	tickets []agedTicket
	waiting int     // callers that wait because the pack is empty
	refill  *refill // in progress, or nil
}

type agedTicket struct {
	text        string
	requestedAt time.Time
}

// refill is one request for tickets; err is set before done closes.
type refill struct {
	done chan struct{}
	err  error
}

func newPool(entries, size int, now func() time.Time, fetch fetchTickets) *pool {
	p := &pool{fetch: fetch, size: size, now: now}
	for range entries {
		p.packs = append(p.packs, &pack{})
	}
	return p
}

// take returns a ticket of entry, waiting for a refill if the pack is empty.
func (p *pool) take(ctx context.Context, entry int) (string, error) {
	k := p.packs[entry]
	for {
		ticket, pending := p.pop(entry)
		if ticket != "" {
			return ticket, nil
		}
		err := pending.wait(ctx)
		k.mu.Lock()
		k.waiting--
		k.mu.Unlock()
		if err != nil {
			return "", err
		}
	}
}

func (r *refill) wait(ctx context.Context) error {
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// pop returns a ticket, or the refill to wait for. It starts a refill when the
// pack is down to a third.
func (p *pool) pop(entry int) (string, *refill) {
	k := p.packs[entry]
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dropOlderThan(p.now().Add(-maxTicketAge))
	if len(k.tickets) == 0 {
		k.waiting++
	}
	if len(k.tickets) <= p.size/3 && k.refill == nil {
		k.refill = &refill{done: make(chan struct{})}
		go p.runRefill(entry, k.refill, min(p.size+k.waiting, maxRefill))
	}
	if len(k.tickets) == 0 {
		return "", k.refill
	}
	ticket := k.tickets[0].text
	k.tickets = k.tickets[1:]
	return ticket, nil
}

func (p *pool) runRefill(entry int, r *refill, count int) {
	ctx, cancel := context.WithTimeout(context.Background(), refillTimeout)
	defer cancel()
	requestedAt := p.now()
	texts, err := p.fetch(ctx, entry, count)
	k := p.packs[entry]
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, text := range texts {
		k.tickets = append(k.tickets, agedTicket{text: text, requestedAt: requestedAt})
	}
	r.err = err
	k.refill = nil
	close(r.done)
}

// discard drops the tickets of entry and returns how many there were.
func (p *pool) discard(entry int) int {
	k := p.packs[entry]
	k.mu.Lock()
	defer k.mu.Unlock()
	count := len(k.tickets)
	k.tickets = nil
	return count
}

func (k *pack) dropOlderThan(oldest time.Time) {
	for len(k.tickets) > 0 && k.tickets[0].requestedAt.Before(oldest) {
		k.tickets = k.tickets[1:]
	}
}
