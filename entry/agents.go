package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"bergamotwing.example/placement"
	"bergamotwing.example/result"
	"bergamotwing.example/wire"
)

// Times of an agent's link.
const (
	helloTimeout        = 2 * time.Second         // for the first message of a new link
	agentHeartbeatAfter = 1200 * time.Millisecond // held credits are renewed if no grant or heartbeat did so for this long; shorter than the agents' lease (creditLease in package agent)
	agentGrace          = 3 * time.Second         // the tasks of an agent are given up this long after its link broke
	busyAgentTimeout    = 4 * time.Second         // an agent that runs tasks of this entry always sends something within this time
	pingAnswerMax       = 500 * time.Millisecond  // a ping is answered within this time, with or without a confirmation
)

// agentLink is one link to an agent incarnation, with the state that the agent
// reported over it.
type agentLink struct {
	id          string
	incarnation wire.Incarnation
	zone        string
	service     string
	slots       int
	memoryMB    int
	link        *wire.Link
	clocks      clockRing
	// resuming holds the attempts that were open when the link was made; only for
	// these does the reply TaskNeverSeen count. The service's lock guards it.
	resuming map[wire.TaskRef]int

	version      atomic.Uint64
	failurePct   atomic.Int64
	leaving      atomic.Bool
	lastReceived atomic.Int64 // entry clock, ms
	heldSentAt   atomic.Int64 // entry clock, ms, of the last message that renews held credits
	pinged       atomic.Bool  // the agent waits for a renewal of its permission
	pingedAt     atomic.Int64 // entry clock, ms, of the last ping
}

func (a *agentLink) name() string { return a.id }

func (a *agentLink) close() { a.link.Close() }

// linkRoutes serves the links of agents and peers.
func (e *Entry) linkRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /link/agent", e.acceptLink(e.serveAgent))
	mux.HandleFunc("GET /link/peer", e.acceptLink(e.servePeer))
	return mux
}

func (e *Entry) acceptLink(serve func(context.Context, *wire.Link)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !wire.CheckLinkToken(r.Header.Get("Authorization"), e.secrets) {
			e.metrics.Refused(result.Unauthorized)
			http.Error(w, result.Unauthorized.String(), http.StatusUnauthorized)
			return
		}
		link, err := wire.Accept(w, r, e.obs)
		if err != nil {
			return
		}
		serve(context.WithoutCancel(r.Context()), link)
	}
}

// serveAgent reads one agent's link until it ends.
func (e *Entry) serveAgent(ctx context.Context, link *wire.Link) {
	var a *agentLink
	hello := time.AfterFunc(helloTimeout, link.Close)
	defer hello.Stop()
	err := link.Serve(ctx, func(m wire.Message) {
		if a != nil {
			e.fromAgent(a, m)
			return
		}
		h, ok := m.(*wire.AgentHello)
		if !ok {
			link.Close()
			return
		}
		hello.Stop()
		a = e.acceptAgent(link, h)
	})
	if a == nil {
		return
	}
	e.log.Info().Err(err).Str("agent", a.id).Msg("agent link ended")
	if e.agents.remove(a) {
		e.services.get(a.service).agentDisconnected(a)
		e.settler.agentDisconnected(a)
	}
}

// acceptAgent answers an agent's hello and makes the new link the one in use.
func (e *Entry) acceptAgent(link *wire.Link, h *wire.AgentHello) *agentLink {
	a := &agentLink{
		id: h.Agent, incarnation: h.Incarnation, zone: h.Zone, service: h.Service,
		slots: h.Slots, memoryMB: h.MemoryMB, link: link,
	}
	now := time.Now()
	a.version.Store(h.Version)
	a.leaving.Store(h.Leaving)
	a.lastReceived.Store(e.clock())
	a.clocks.add(h.Clock, now)
	e.control.send(stateReceived{state: h.State})
	v := e.control.view()
	_ = link.Send(&wire.EntryHello{
		Self: e.self, Peers: v.Peers, State: e.agentConfig(v).State, Holds: v.Holds, Confirmation: e.control.confirmation(&a.clocks),
	})
	old := e.agents.swap(a)
	if old != nil {
		old.link.Close()
	}
	e.log.Info().Str("agent", a.id).Str("service", a.service).Msg("agent linked")
	e.services.get(a.service).agentLinked(a, old)
	// The configuration may have changed between the EntryHello and the swap.
	_ = link.Send(e.agentConfig(e.control.view()))
	return a
}

// fromAgent handles one message of an agent.
func (e *Entry) fromAgent(a *agentLink, m wire.Message) {
	a.lastReceived.Store(e.clock())
	s := e.services.get(a.service)
	switch m := m.(type) {
	case *wire.Result:
		a.clocks.add(m.Clock, time.Now())
		a.failurePct.Store(int64(m.FailurePct))
		s.handleResult(a, m)
	case *wire.Refuse:
		a.clocks.add(m.Clock, time.Now())
		e.metrics.Retried(m.Code)
		s.handleRefusal(a, m)
	case *wire.Offer:
		a.clocks.add(m.Clock, time.Now())
		s.handleOffer(a, m.Credits)
	case *wire.AgentPing:
		a.clocks.add(m.Clock, time.Now())
		e.handlePing(a, m)
	case *wire.ResumeReply:
		s.handleResumeReply(a, m)
	case *wire.FenceReply:
		e.settler.handleFenceReply(a, m)
	case *wire.ConfigAck:
		a.version.Store(m.Version)
	case *wire.Config:
		e.control.send(stateReceived{state: m.State})
	default:
		e.log.Warn().Str("agent", a.id).Stringer("kind", wire.KindOf(m)).Msg("unexpected message")
	}
}

func slotCredits(credits []placement.Credit) []wire.SlotCredit {
	if len(credits) == 0 {
		return nil
	}
	out := make([]wire.SlotCredit, len(credits))
	for i, c := range credits {
		out[i] = wire.SlotCredit{Slot: c.Slot, Epoch: c.Epoch}
	}
	return out
}

func (a *agentLink) credit(c wire.SlotCredit) placement.Credit {
	return placement.Credit{Agent: a.id, Incarnation: uint64(a.incarnation), Slot: c.Slot, Epoch: c.Epoch}
}
