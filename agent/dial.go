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
	// peerRedialTimeout is how long a peer that cannot be reached is dialled,
	// unless the settings name its address.
	peerRedialTimeout = 5 * time.Minute
)

// dialers keeps one link to each entry that the settings or an entry names.
type dialers struct {
	agent  *Agent
	ctx    context.Context // ends all links
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu     sync.Mutex
	active map[string]bool // addresses that are dialled or linked
}

func newDialers(a *Agent) *dialers {
	ctx, cancel := context.WithCancel(context.Background())
	return &dialers{agent: a, ctx: ctx, cancel: cancel, active: map[string]bool{}}
}

// addPeer starts to dial a peer that an entry named.
func (d *dialers) addPeer(p wire.Peer) {
	entry := entryIncarnation{id: p.ID, incarnation: p.Incarnation}
	if p.Leaving || p.Addr == "" || d.agent.links.get(entry) != nil {
		return
	}
	d.dial(p.Addr, peerRedialTimeout)
}

// dial keeps a link to addr. It gives up once addr could not be reached for
// redialTimeout; 0 means never.
func (d *dialers) dial(addr string, redialTimeout time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.active[addr] || d.ctx.Err() != nil {
		return
	}
	d.active[addr] = true
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		d.keepLink(addr, redialTimeout)
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.active, addr)
	}()
}

// stop ends all links and waits until none of them is read any more.
func (d *dialers) stop() {
	d.mu.Lock()
	d.cancel()
	d.mu.Unlock()
	d.wg.Wait()
}

// keepLink redials addr whenever the link has ended. The old link is no longer
// read when a new one is dialled.
func (d *dialers) keepLink(addr string, redialTimeout time.Duration) {
	var pauses backoff
	var last entryIncarnation
	lastLinked := d.agent.clock.now() // end of the last link, or start of the dialling
	for d.ctx.Err() == nil {
		if d.agent.links.get(last) == nil { // otherwise another address leads to the same entry
			entry, joined := d.serveLink(addr)
			last = entry
			if joined {
				pauses.reset()
				lastLinked = d.agent.clock.now()
			}
		}
		if redialTimeout > 0 && d.agent.clock.now()-lastLinked > redialTimeout {
			return
		}
		pauses.wait(d.ctx)
	}
}

// serveLink makes one link and serves it until it ends. It returns the entry, and
// whether the session joined.
func (d *dialers) serveLink(addr string) (entryIncarnation, bool) {
	a := d.agent
	link, err := wire.Dial(d.ctx, addr, linkPath, a.token, a.linkTLS, messageCounter{a.metrics})
	if err != nil {
		a.metrics.Retried(result.PeerUnreachable)
		a.log.Debug().Err(err).Str("addr", addr).Msg("entry not reached")
		return entryIncarnation{}, false
	}
	s := &session{agent: a, link: link}
	joined := s.serve(d.ctx)
	return s.entry, joined
}
