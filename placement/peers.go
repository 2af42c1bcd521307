package placement

import (
	"slices"
	"time"
)

// peerState is what the queue believes of another entry.
type peerState struct {
	spare   int           // credits it said it could spare
	askedAt time.Time     // our last ask that it has not met
	backoff time.Duration // before it is asked again; doubles with each unmet ask
	want    int           // credits it asked us for and did not get yet
	wantAt  time.Time
	head    time.Time // arrival of its oldest waiting task, on our clock
}

// SetPeer makes a peer known.
func (q *Queue) SetPeer(id string) {
	if _, ok := q.peers[id]; !ok {
		q.peers[id] = &peerState{}
	}
}

// RemovePeer forgets a peer and what it asked for.
func (q *Queue) RemovePeer(id string) { delete(q.peers, id) }

// SetPeerIdle notes how many idle credits a peer reported.
func (q *Queue) SetPeerIdle(id string, spare int) {
	if p, ok := q.peers[id]; ok {
		p.spare = spare
	}
}

// SetPeerRequest remembers a peer's credit request. want 0 withdraws it.
func (q *Queue) SetPeerRequest(now time.Time, id string, want int, oldest time.Duration) {
	p, ok := q.peers[id]
	if !ok {
		return
	}
	p.want, p.wantAt, p.head = want, now, now.Add(-oldest)
	if want > 0 {
		p.spare = 0
	}
}

// HasPeerRequest reports whether a credit request of a peer may be pending.
func (q *Queue) HasPeerRequest() bool {
	for _, p := range q.peers {
		if p.want > 0 {
			return true
		}
	}
	return false
}

// AddPeerCredits takes credits that a peer passed on.
func (q *Queue) AddPeerCredits(id string, credits []Credit) {
	if p, ok := q.peers[id]; ok && len(credits) > 0 {
		p.askedAt, p.backoff = time.Time{}, 0
	}
	q.AddCredits(credits...)
}

// ask returns the ask to send, if it is time for one: to the peer believed
// richest, or else to one that was not asked lately.
func (q *Queue) ask(now time.Time) []CreditRequest {
	if now.Sub(q.lastAsk) < askNextAfter {
		return nil
	}
	id, p := q.richest(now)
	if p == nil {
		return nil
	}
	p.askedAt, p.backoff = now, q.askAgain(id, p)
	p.spare = 0
	q.lastAsk = now
	return []CreditRequest{{Peer: id, Want: q.fair.waiting, OldestWait: q.OldestWait(now)}}
}

// askAgain returns the time until a peer is asked again. One that is no home of
// the service passes its credits on unasked.
func (q *Queue) askAgain(id string, p *peerState) time.Duration {
	if len(q.homes) > 0 && !slices.Contains(q.homes, id) || q.isHome && len(q.homes) == 0 {
		return askOtherAgain
	}
	return min(max(askAgainAfter, 2*p.backoff), askAgainMax)
}

// SetHomes tells which other entries are homes of the service and whether this
// one is. An entry that is none passes its spare credits on to a home.
func (q *Queue) SetHomes(others []string, isHome bool) { q.homes, q.isHome = others, isHome }

// Surplus reports whether there are spare credits for a home entry.
func (q *Queue) Surplus(now time.Time) bool {
	return !q.isHome && len(q.homes) > 0 && q.spare.count > 0 && q.fair.waiting == 0 && now.Sub(q.lastJob) >= keepFor
}

// giveHome passes spare credits on to a home entry.
func (q *Queue) giveHome(now time.Time) []Transfer {
	if !q.Surplus(now) {
		return nil
	}
	credits := q.takeUpTo(now, q.spare.count)
	if len(credits) == 0 {
		return nil
	}
	return []Transfer{{Peer: q.homes[q.rng.IntN(len(q.homes))], Credits: credits}}
}

// withdraw takes back the asks that may still stand at peers: a credit that is
// given to an entry without waiting tasks lies idle there.
func (q *Queue) withdraw(now time.Time) []CreditRequest {
	var out []CreditRequest
	for id, p := range q.peers {
		if !p.askedAt.IsZero() && now.Sub(p.askedAt) < wantLifetime {
			out = append(out, CreditRequest{Peer: id})
		}
		p.askedAt, p.backoff = time.Time{}, 0
	}
	return out
}

// richest returns the peer to ask next: the most credits to spare; ties are
// broken at random. Peers whose earlier ask still stands are left out.
func (q *Queue) richest(now time.Time) (string, *peerState) {
	var bestID string
	var best *peerState
	ids := make([]string, 0, len(q.peers))
	for id := range q.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	q.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids {
		p := q.peers[id]
		if !p.askedAt.IsZero() && now.Sub(p.askedAt) < p.backoff && p.spare == 0 {
			continue
		}
		if best == nil || p.spare > best.spare {
			bestID, best = id, p
		}
	}
	return bestID, best
}

// give passes credits that nothing waits for here on to the peers that asked,
// oldest waiting task first: what a peer asked for and half of the surplus, or
// all of it if no job came here lately.
func (q *Queue) give(now time.Time) []Transfer {
	var out []Transfer
	for q.spare.count > 0 {
		id, p := q.neediest(now)
		if p == nil {
			break
		}
		n := p.want + max(0, q.spare.count-p.want)/2
		if now.Sub(q.lastJob) >= idleAfter {
			n = q.spare.count
		}
		g := Transfer{Peer: id, Credits: q.takeUpTo(now, n)}
		if len(g.Credits) == 0 {
			break
		}
		p.want = max(0, p.want-len(g.Credits))
		out = append(out, g)
	}
	return out
}

// takeUpTo removes up to n usable credits.
func (q *Queue) takeUpTo(now time.Time, n int) []Credit {
	var out []Credit
	for len(out) < n {
		c, ok := q.spare.take(func(agent string) bool { return q.usable(now, agent, 0) })
		if !ok {
			break
		}
		out = append(out, c)
	}
	return out
}

// giveOlder passes credits on to peers whose oldest task has waited longer than
// ours, so that tasks start about in the order of arrival over all entries.
func (q *Queue) giveOlder(now time.Time) []Transfer {
	first, ok := q.fair.oldest()
	if !ok {
		return nil
	}
	var out []Transfer
	for q.spare.count > 0 {
		id, p := q.neediest(now)
		if p == nil || !p.head.Before(first) {
			break
		}
		c, ok := q.spare.take(func(agent string) bool { return q.usable(now, agent, 0) })
		if !ok {
			break
		}
		p.want--
		p.head = now // one credit for its oldest task; the rest wait their turn
		out = append(out, Transfer{Peer: id, Credits: []Credit{c}})
	}
	return out
}

// neediest returns the peer with a standing ask whose task has waited longest.
func (q *Queue) neediest(now time.Time) (string, *peerState) {
	var bestID string
	var best *peerState
	for id, p := range q.peers {
		if p.want <= 0 || now.Sub(p.wantAt) > wantLifetime {
			continue
		}
		if best == nil || p.head.Before(best.head) || (p.head.Equal(best.head) && id < bestID) {
			bestID, best = id, p
		}
	}
	return bestID, best
}
