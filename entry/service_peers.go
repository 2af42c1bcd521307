package entry

import (
	"slices"
	"time"

	"bergamotwing.example/placement"
	"bergamotwing.example/wire"
)

func (s *service) sendCreditRequest(req placement.CreditRequest) {
	p := s.e.peers.get(req.Peer)
	if p == nil {
		return
	}
	p.send(&wire.CreditRequest{Service: s.name, Want: req.Want, OldestMS: req.OldestWait.Milliseconds()})
}

func (s *service) sendCreditTransfer(transfer placement.Transfer) {
	p := s.e.peers.get(transfer.Peer)
	credits := make([]wire.AgentCredit, len(transfer.Credits))
	for i, c := range transfer.Credits {
		credits[i] = wire.AgentCredit{Agent: c.Agent, Incarnation: wire.Incarnation(c.Incarnation), Credit: wire.SlotCredit{Slot: c.Slot, Epoch: c.Epoch}}
	}
	idle := []wire.ServiceCount{{Service: s.name, Count: s.queue.IdleCredits()}}
	if p == nil || !p.send(&wire.CreditTransfer{Service: s.name, Credits: credits, IdleCredits: idle}) {
		s.queue.AddCredits(transfer.Credits...)
	}
}

// setHomes passes the current home entries of the service to the queue.
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

func (s *service) peerDisconnected(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.RemovePeer(id)
}

func (s *service) setPeerIdle(id string, count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.SetPeer(id)
	s.queue.SetPeerIdle(id, count)
}

func (s *service) idleCredits() wire.ServiceCount {
	s.mu.Lock()
	defer s.mu.Unlock()
	return wire.ServiceCount{Service: s.name, Count: s.queue.IdleCredits()}
}

// handleCreditRequest handles a peer's credit request.
func (s *service) handleCreditRequest(p *peerLink, m *wire.CreditRequest) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.SetPeer(p.id)
	s.queue.SetPeerRequest(now, p.id, m.Want, time.Duration(m.OldestMS)*time.Millisecond)
	s.dispatch(now)
}

// handleCreditTransfer adds the credits that a peer transferred. Credits of
// agents that are not linked here are left to expire with their lease.
func (s *service) handleCreditTransfer(p *peerLink, m *wire.CreditTransfer) {
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
