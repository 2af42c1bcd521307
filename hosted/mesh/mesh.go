package mesh

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/hosted/connlimit"
	"bergamotwing.example/platform"
	"bergamotwing.example/wire"
)

const (
	linkPath       = "/link/node"
	helloFrame     = 1 << 20                // bytes of the frame with a new link's hello; other messages may follow in it
	helloTimeout   = 500 * time.Millisecond // for the hello of a new link
	dialTimeout    = 300 * time.Millisecond // ten times a round trip between regions
	redialPause    = 20 * time.Millisecond  // pause after the first failed dial
	redialPauseMax = 500 * time.Millisecond // pause after many failed dials
	// soonPauseMax replaces redialPauseMax for soonTime after a link was lost. Runs and
	// requests that rest on the link go on for less than a second.
	soonPauseMax  = 100 * time.Millisecond
	soonTime      = time.Second
	maxHosts      = 4096                   // from which links came; more than a deployment has
	shortLink     = 100 * time.Millisecond // a link that ends sooner counts as a failed dial
	acceptorDelay = 300 * time.Millisecond // how long an entry leaves the first dialing to a new target with a lower address
)

// Conn carries messages to the other side of a link.
type Conn interface {
	Send(m wire.Message) error
	Close()
}

// Link is an open link and the hello of the other side.
type Link struct {
	Conn
	Hello  wire.NodeHello
	Dialed string // address that was dialed; empty on the accepting side
	// Number rises with the links between the two processes, and both sides have the
	// same; 0: the other side's build numbers none.
	Number uint64
	Began  time.Duration // before the other side could send its hello
}

// Owner returns the incarnation of the entry on the other side, as an owner of runs.
func (l *Link) Owner() dispatch.Owner {
	return dispatch.Owner{Entry: l.Hello.Name, Incarnation: uint64(l.Hello.Incarnation)}
}

// Agent returns the incarnation of the agent on the other side.
func (l *Link) Agent() dispatch.AgentID {
	return dispatch.AgentID{Name: l.Hello.Name, Incarnation: uint64(l.Hello.Incarnation)}
}

// Events is notified of what happens on links. Its methods must not block.
type Events interface {
	LinkUp(l *Link)
	LinkDown(l *Link)
	Received(l *Link, m wire.Message)
	// Refused reports that nothing listened at an address when it was dialed: the process
	// has exited.
	Refused(addr string, dialed time.Duration)
}

// Mesh holds the links of one process.
type Mesh struct {
	self   wire.NodeHello
	events Events
	obs    wire.Observer
	log    zerolog.Logger

	lastLink atomic.Uint64 // number of the newest link

	mu      sync.Mutex
	targets map[string]context.CancelFunc // dialing goroutines by address
	linked  map[string]*openLinks         // by the address of the other side
	hosts   map[string]struct{}           // from which links came
	wait    sync.WaitGroup
}

// openLinks counts the open links to one address.
type openLinks struct {
	count int
	ended chan struct{} // closed once there are none
}

// New returns a mesh without links.
func New(self wire.NodeHello, events Events, obs wire.Observer, log zerolog.Logger) *Mesh {
	return &Mesh{
		self: self, events: events, obs: obs, log: log,
		targets: map[string]context.CancelFunc{}, linked: map[string]*openLinks{}, hosts: map[string]struct{}{},
	}
}

// Handler returns the handler that accepts links.
func (m *Mesh) Handler(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(linkPath, func(w http.ResponseWriter, r *http.Request) {
		began := Now()
		l, err := wire.Accept(w, r, m.obs)
		if err != nil {
			m.log.Warn().Err(err).Str("remote", r.RemoteAddr).Msg("link not accepted")
			return
		}
		l.LimitFrames(helloFrame)
		host, _, _ := net.SplitHostPort(r.RemoteAddr)
		m.serve(ctx, l, "", began, func() {
			l.LimitFrames(wire.MaxFrameBytes)
			m.remember(host)
			connlimit.Linked(r.Context())
		})
	})
	return mux
}

// SetTargets keeps the given addresses dialed, and no others, until the next call.
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
		dialCtx, stop := context.WithCancel(ctx)
		m.targets[a] = stop
		m.wait.Add(1)
		go func() {
			defer m.wait.Done()
			m.keepDialed(dialCtx, a)
		}()
	}
}

// Wait returns when all dialing has ended.
func (m *Mesh) Wait() { m.wait.Wait() }

// keepDialed keeps a link to addr: it dials again when the link is lost, with a
// growing pause between failed dials.
func (m *Mesh) keepDialed(ctx context.Context, addr string) {
	if m.self.Role == wire.RoleEntry && m.self.Addr > addr {
		sleep(ctx, acceptorDelay)
	}
	pause, lostAt := redialPause, time.Duration(0)
	for ctx.Err() == nil {
		if m.waitUnlinked(ctx, addr) {
			pause, lostAt = redialPause, Now()
			if m.self.Role == wire.RoleEntry && m.self.Addr > addr {
				sleep(ctx, redialPause) // the other side dials again
			}
			continue
		}
		if m.dialOnce(ctx, addr) {
			pause, lostAt = redialPause, Now()
			continue
		}
		sleep(ctx, pause/2+rand.N(pause)) //nolint:gosec // jitter needs no secrecy
		pauseMax := redialPauseMax
		if lostAt > 0 && Now()-lostAt < soonTime {
			pauseMax = soonPauseMax
		}
		pause = min(2*pause, pauseMax)
	}
}

// dialOnce reports whether a link was made, has lasted for shortLink and has ended.
// Links that end sooner are made anew with a growing pause: an address that reaches an
// entry linked under another address would otherwise be dialed without end.
func (m *Mesh) dialOnce(ctx context.Context, addr string) bool {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialedAt := Now()
	l, err := wire.Dial(dialCtx, addr, linkPath, "", nil, m.obs)
	if errors.Is(err, syscall.ECONNREFUSED) {
		m.events.Refused(addr, dialedAt)
	}
	if err != nil {
		return false
	}
	began := Now()
	return m.serve(ctx, l, addr, dialedAt, func() {}) && Now()-began >= shortLink
}

// serve exchanges hellos, calls linked and passes messages on until the link ends. It
// reports whether the other side's hello was accepted.
func (m *Mesh) serve(ctx context.Context, l *wire.Link, dialed string, began time.Duration, linked func()) bool {
	own := m.self
	own.Link = m.lastLink.Add(1)
	if err := l.Send(&own); err != nil {
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
		linked()
		link = &Link{Conn: l, Hello: *hello, Dialed: dialed, Number: linkNumber(&own, hello), Began: began}
		m.addLinked(hello.Addr)
		m.events.LinkUp(link)
	})
	if link == nil {
		return false
	}
	m.removeLinked(link.Hello.Addr)
	m.log.Debug().AnErr("cause", eris.Cause(err)).Str("peer", link.Hello.Name).Msg("link ended")
	m.events.LinkDown(link)
	return true
}

// remember notes that a link came from a host.
func (m *Mesh) remember(host string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.hosts) >= maxHosts {
		clear(m.hosts)
	}
	m.hosts[host] = struct{}{}
}

// Knows reports whether a link came from a host before, or one is dialed there.
func (m *Mesh) Knows(host string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.hosts[host]; ok {
		return true
	}
	for addr := range m.targets {
		if dialed, _, err := net.SplitHostPort(addr); err == nil && dialed == host {
			return true
		}
	}
	return false
}

func (m *Mesh) addLinked(addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.linked[addr]
	if l == nil {
		l = &openLinks{ended: make(chan struct{})}
		m.linked[addr] = l
	}
	l.count++
}

func (m *Mesh) removeLinked(addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.linked[addr]
	if l.count--; l.count == 0 {
		close(l.ended)
		delete(m.linked, addr)
	}
}

// waitUnlinked waits until there is no link to addr, which may have been made by the
// other side, and reports whether there was one.
func (m *Mesh) waitUnlinked(ctx context.Context, addr string) bool {
	m.mu.Lock()
	l := m.linked[addr]
	m.mu.Unlock()
	if l == nil {
		return false
	}
	select {
	case <-ctx.Done():
	case <-l.ended:
	}
	return true
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// SeedAddrs returns the addresses at which the settings say that entries may listen.
func SeedAddrs(node platform.Node) []string {
	addrs := make([]string, 0, len(node.SeedHosts))
	for _, host := range node.SeedHosts {
		addrs = append(addrs, net.JoinHostPort(host, strconv.Itoa(node.LinkPort)))
	}
	return addrs
}
