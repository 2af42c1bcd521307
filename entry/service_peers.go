package entry

import (
	"slices"
	"time"

	"bergamotwing.example/placement"
	"bergamotwing.example/wire"
)

func (s *service) ask(a placement.CreditRequest) {
	p := s.e.peers.get(a.Peer)
	if p == nil {
		return
	}
	p.send(&wire.CreditRequest{Service: s.name, Want: a.Want, OldestMS: a.OldestWait.Milliseconds()})
}

func (s *service) give(g placement.Transfer) {
	p := s.e.peers.get(g.Peer)
	credits := make([]wire.AgentCredit, len(g.Credits))
	for i, c := range g.Credits {
		credits[i] = wire.AgentCredit{Agent: c.Agent, Incarnation: wire.Incarnation(c.Incarnation), Credit: wire.SlotCredit{Slot: c.Slot, Epoch: c.Epoch}}
	}
	spare := []wire.ServiceCount{{Service: s.name, Count: s.queue.IdleCredits()}}
	if p == nil || !p.send(&wire.CreditTransfer{Service: s.name, Credits: credits, IdleCredits: spare}) {
		s.queue.AddCredits(g.Credits...)
	}
}

// setHomes takes over which entries are homes of the service.
func (s *service) setHomes() {
	homes := s.e.homes(s.name)
	others := slices.DeleteFunc(slices.Clone(homes), func(id string) bool { return id == s.e.self.ID })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.SetHomes(others, len(others) < len(homes))
}

func (s *service) peerLinked(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.SetPeer(id)
}

func (s *service) peerGone(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.RemovePeer(id)
}

func (s *service) peerSpare(id string, count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.SetPeer(id)
	s.queue.SetPeerIdle(id, count)
}

func (s *service) spare() wire.ServiceCount {
	s.mu.Lock()
	defer s.mu.Unlock()
	return wire.ServiceCount{Service: s.name, Count: s.queue.IdleCredits()}
}

// asked handles a peer's ask for credits.
func (s *service) asked(p *peerLink, m *wire.CreditRequest) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.SetPeer(p.id)
	s.queue.SetPeerRequest(now, p.id, m.Want, time.Duration(m.OldestMS)*time.Millisecond)
	s.dispatch(now)
}

// given takes credits a peer passed on. Those of agents not linked here are
// left to their lease.
func (s *service) given(p *peerLink, m *wire.CreditTransfer) {
	credits := make([]placement.Credit, 0, len(m.Credits))
	for _, c := range m.Credits {
		if a := s.e.agents.get(c.Agent); a != nil && a.incarnation == c.Incarnation {
			credits = append(credits, a.credit(c.Credit))
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.SetPeer(p.id)
	s.queue.AddPeerCredits(p.id, credits)
	for _, c := range m.IdleCredits {
		s.queue.SetPeerIdle(p.id, c.Count)
	}
	s.dispatch(time.Now())
}
