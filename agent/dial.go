package agent

import (
	"context"
	"sync"
	"time"

	"bergamotwing.example/result"
	"bergamotwing.example/wire"
)

const (
	linkPath = "/link/agent"
	// forgetPeer is how long a peer that cannot be reached is dialled, unless
	// the settings name its address.
	forgetPeer = 5 * time.Minute
)

// dialers keeps one link to each entry that the settings or an entry names.
type dialers struct {
	agent  *Agent
	ctx    context.Context // ends all links
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu     sync.Mutex
	active map[string]bool // by address
}

func newDialers(a *Agent) *dialers {
	ctx, cancel := context.WithCancel(context.Background())
	return &dialers{agent: a, ctx: ctx, cancel: cancel, active: map[string]bool{}}
}

// learn starts to dial a peer that an entry named.
func (d *dialers) learn(p wire.Peer) {
	run := entryRun{id: p.ID, incarnation: p.Incarnation}
	if p.Leaving || p.Addr == "" || d.agent.links.get(run) != nil {
		return
	}
	d.dial(p.Addr, forgetPeer)
}

// dial keeps a link to addr, until it could not be reached for patience; 0 is
// without end.
func (d *dialers) dial(addr string, patience time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.active[addr] || d.ctx.Err() != nil {
		return
	}
	d.active[addr] = true
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		d.keepLink(addr, patience)
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.active, addr)
	}()
}

// stop ends all links and waits until none is read any more.
func (d *dialers) stop() {
	d.mu.Lock()
	d.cancel()
	d.mu.Unlock()
	d.wg.Wait()
}

// keepLink dials addr again and again. An old link is not read any more when a
// new one is dialled.
func (d *dialers) keepLink(addr string, patience time.Duration) {
	var pauses backoff
	var last entryRun
	linkedAt := d.agent.clock.now()
	for d.ctx.Err() == nil {
		if d.agent.links.get(last) == nil { // else another address leads to the same entry
			run, joined := d.once(addr)
			last = run
			if joined {
				pauses.reset()
				linkedAt = d.agent.clock.now()
			}
		}
		if patience > 0 && d.agent.clock.now()-linkedAt > patience {
			return
		}
		pauses.wait(d.ctx)
	}
}

// once makes one link and serves it until it ends.
func (d *dialers) once(addr string) (entryRun, bool) {
	a := d.agent
	link, err := wire.Dial(d.ctx, addr, linkPath, a.token, a.linkTLS, messageCounter{a.metrics})
	if err != nil {
		a.metrics.Retried(result.PeerUnreachable)
		a.log.Debug().Err(err).Str("addr", addr).Msg("entry not reached")
		return entryRun{}, false
	}
	s := &session{agent: a, link: link}
	joined := s.serve(d.ctx)
	return s.run, joined
}
