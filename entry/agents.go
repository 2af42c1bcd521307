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
	helloTimeout  = 2 * time.Second
	beatAgentIdle = 1200 * time.Millisecond // held credits are confirmed if nothing else was sent for this long; under the agents' lease
	agentGrace    = 3 * time.Second         // after its link broke, its tasks are given up
	agentSilent   = 4 * time.Second         // an agent that runs tasks of this entry is never quiet for so long
	pingAnswerMax = 500 * time.Millisecond  // a ping is answered by then, with or without a vouch
)

// agentLink is one agent's run as this entry knows it through one link.
type agentLink struct {
	id          string
	incarnation wire.Incarnation
	zone        string
	service     string
	slots       int
	memoryMB    int
	link        *wire.Link
	clocks      clockRing
	// resuming holds the attempts that were open when the link was made; only
	// these may be declared never seen. The service's lock guards it.
	resuming map[wire.TaskRef]int

	version    atomic.Uint64
	failurePct atomic.Int64
	leaving    atomic.Bool
	heardAt    atomic.Int64 // entry clock, ms
	sentAt     atomic.Int64 // entry clock, ms, of the last message that confirms held credits
	pinged     atomic.Bool  // it waits for a renewal of its permission
	pingedAt   atomic.Int64 // entry clock, ms
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
		a = e.welcomeAgent(link, h)
	})
	if a == nil {
		return
	}
	e.log.Info().Err(err).Str("agent", a.id).Msg("agent link ended")
	if e.agents.remove(a) {
		e.services.get(a.service).agentGone(a)
		e.settler.agentGone(a)
	}
}

// welcomeAgent makes an agent's new link the one that is used.
func (e *Entry) welcomeAgent(link *wire.Link, h *wire.AgentHello) *agentLink {
	a := &agentLink{
		id: h.Agent, incarnation: h.Incarnation, zone: h.Zone, service: h.Service,
		slots: h.Slots, memoryMB: h.MemoryMB, link: link,
	}
	now := time.Now()
	a.version.Store(h.Version)
	a.leaving.Store(h.Leaving)
	a.heardAt.Store(e.clock())
	a.clocks.heard(h.Clock, now)
	e.control.send(stateHeard{state: h.State})
	v := e.control.view()
	_ = link.Send(&wire.EntryHello{
		Self: e.self, Peers: v.Peers, State: e.agentConfig(v).State, Holds: v.Holds, Confirmation: e.control.vouch(&a.clocks),
	})
	old := e.agents.swap(a)
	if old != nil {
		old.link.Close()
	}
	e.log.Info().Str("agent", a.id).Str("service", a.service).Msg("agent linked")
	e.services.get(a.service).agentLinked(a, old)
	// The configuration may have changed between the greeting and the swap.
	_ = link.Send(e.agentConfig(e.control.view()))
	return a
}

// fromAgent handles one message of an agent.
func (e *Entry) fromAgent(a *agentLink, m wire.Message) {
	a.heardAt.Store(e.clock())
	s := e.services.get(a.service)
	switch m := m.(type) {
	case *wire.Result:
		a.clocks.heard(m.Clock, time.Now())
		a.failurePct.Store(int64(m.FailurePct))
		s.finished(a, m)
	case *wire.Refuse:
		a.clocks.heard(m.Clock, time.Now())
		e.metrics.Retried(m.Code)
		s.refused(a, m)
	case *wire.Offer:
		a.clocks.heard(m.Clock, time.Now())
		s.offered(a, m.Credits)
	case *wire.AgentPing:
		a.clocks.heard(m.Clock, time.Now())
		e.pingedBy(a, m)
	case *wire.ResumeReply:
		s.resumed(a, m)
	case *wire.FenceReply:
		e.settler.answered(a, m)
	case *wire.ConfigAck:
		a.version.Store(m.Version)
	case *wire.Config:
		e.control.send(stateHeard{state: m.State})
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
