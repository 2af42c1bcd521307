package mesh

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/platform"
	"bergamotwing.example/wire"
)

const (
	linkPath      = "/link/node"
	helloTimeout  = 500 * time.Millisecond // for the first message of a new link
	dialTimeout   = 300 * time.Millisecond // a round trip between regions takes a tenth of it
	dialFirst     = 20 * time.Millisecond  // pause after the first failed dial
	dialMax       = 500 * time.Millisecond // pause after many failed dials
	acceptorPause = 300 * time.Millisecond // an entry that starts leaves dialing to the one with the lower address for so long
	linkedPause   = 50 * time.Millisecond  // between two checks of a link that the other side dialed
)

// Link is an open link with the other side's introduction.
type Link struct {
	*wire.Link
	Hello  wire.NodeHello
	Dialed string // address that was dialed; empty on the accepting side
}

// Owner returns the run of the entry on the other side, as an owner of runs.
func (l *Link) Owner() dispatch.Owner {
	return dispatch.Owner{Entry: l.Hello.Name, Incarnation: uint64(l.Hello.Incarnation)}
}

// Agent returns the run of the agent on the other side.
func (l *Link) Agent() dispatch.AgentID {
	return dispatch.AgentID{Name: l.Hello.Name, Incarnation: uint64(l.Hello.Incarnation)}
}

// Events takes what happens on links. It must not block.
type Events interface {
	LinkUp(l *Link)
	LinkDown(l *Link)
	Received(l *Link, m wire.Message)
	// Refused says that nothing listens at an address: the process is gone.
	Refused(addr string)
}

// Mesh holds the links of one process.
type Mesh struct {
	self   wire.NodeHello
	events Events
	obs    wire.Observer
	log    zerolog.Logger

	mu      sync.Mutex
	targets map[string]context.CancelFunc // dialing goroutines by address
	linked  map[string]int                // open links by the address of the other side
	wait    sync.WaitGroup
}

// New returns a mesh without links.
func New(self wire.NodeHello, events Events, obs wire.Observer, log zerolog.Logger) *Mesh {
	return &Mesh{
		self: self, events: events, obs: obs, log: log,
		targets: map[string]context.CancelFunc{}, linked: map[string]int{},
	}
}

// Handler accepts links.
func (m *Mesh) Handler(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(linkPath, func(w http.ResponseWriter, r *http.Request) {
		l, err := wire.Accept(w, r, m.obs)
		if err != nil {
			m.log.Warn().Err(err).Str("remote", r.RemoteAddr).Msg("link not accepted")
			return
		}
		m.serve(ctx, l, "")
	})
	return mux
}

// SetTargets dials the addresses, and no others, until they change.
func (m *Mesh) SetTargets(ctx context.Context, addrs []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	wanted := map[string]bool{}
	for _, a := range addrs {
		wanted[a] = a != "" && a != m.self.Addr
	}
	for a, stop := range m.targets {
		if !wanted[a] {
			stop()
			delete(m.targets, a)
		}
	}
	for a, dial := range wanted {
		if !dial || m.targets[a] != nil {
			continue
		}
		dialing, stop := context.WithCancel(ctx)
		m.targets[a] = stop
		m.wait.Add(1)
		go func() {
			defer m.wait.Done()
			m.keepDialed(dialing, a)
		}()
	}
}

// Wait returns when all dialing has ended.
func (m *Mesh) Wait() { m.wait.Wait() }

// keepDialed holds a link to addr and dials again, with a growing pause, when it is lost.
func (m *Mesh) keepDialed(ctx context.Context, addr string) {
	if m.self.Role == wire.RoleEntry && m.self.Addr > addr {
		sleep(ctx, acceptorPause)
	}
	pause := dialFirst
	for ctx.Err() == nil {
		if m.isLinked(addr) {
			sleep(ctx, linkedPause)
			pause = dialFirst
			continue
		}
		if m.dialOnce(ctx, addr) {
			pause = dialFirst
			continue
		}
		sleep(ctx, pause/2+rand.N(pause)) //nolint:gosec // jitter needs no secrecy
		pause = min(2*pause, dialMax)
	}
}

// dialOnce reports whether a link was made and has ended.
func (m *Mesh) dialOnce(ctx context.Context, addr string) bool {
	dialing, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	l, err := wire.Dial(dialing, addr, linkPath, "", nil, m.obs)
	if errors.Is(err, syscall.ECONNREFUSED) {
		m.events.Refused(addr)
	}
	if err != nil {
		return false
	}
	return m.serve(ctx, l, addr)
}

// serve exchanges introductions and hands messages on until the link ends.
func (m *Mesh) serve(ctx context.Context, l *wire.Link, dialed string) bool {
	if err := l.Send(&m.self); err != nil {
		return false
	}
	timeout := time.AfterFunc(helloTimeout, l.Close)
	defer timeout.Stop()
	var link *Link
	err := l.Serve(ctx, func(msg wire.Message) {
		if link != nil {
			m.events.Received(link, msg)
			return
		}
		hello, ok := msg.(*wire.NodeHello)
		if !ok || hello.Name == "" || hello.Name == m.self.Name {
			l.Close()
			return
		}
		timeout.Stop()
		link = &Link{Link: l, Hello: *hello, Dialed: dialed}
		m.count(hello.Addr, 1)
		m.events.LinkUp(link)
	})
	if link == nil {
		return false
	}
	m.count(link.Hello.Addr, -1)
	m.log.Debug().AnErr("cause", eris.Cause(err)).Str("peer", link.Hello.Name).Msg("link ended")
	m.events.LinkDown(link)
	return true
}

func (m *Mesh) count(addr string, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.linked[addr] += n; m.linked[addr] == 0 {
		delete(m.linked, addr)
	}
}

func (m *Mesh) isLinked(addr string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.linked[addr] > 0
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Listen listens for links at addr.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", addr)
	return l, eris.Wrapf(err, "listen for links at %s", addr)
}

// SeedAddrs returns the addresses at which the settings say that entries may listen.
func SeedAddrs(node platform.Node) []string {
	addrs := make([]string, 0, len(node.SeedHosts))
	for _, host := range node.SeedHosts {
		addrs = append(addrs, net.JoinHostPort(host, strconv.Itoa(node.LinkPort)))
	}
	return addrs
}
