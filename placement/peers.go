package placement

import (
	"slices"
	"time"
)

// peerState holds what the queue knows about another entry.
type peerState struct {
	idle          int           // idle credits that it last reported
	requestedAt   time.Time     // when our last request that it has not met was sent; zero if none
	backoff       time.Duration // before the request is repeated: doubles with each unmet request up to requestRetryMax, or is nonHomeRetry
	want          int           // credits that it requested from us and has not received
	wantedAt      time.Time     // when we received its request
	oldestArrival time.Time     // arrival of its oldest waiting task, on our clock
}

// SetPeer adds a peer.
func (q *Queue) SetPeer(id string) {
	if _, ok := q.peers[id]; !ok {
		q.peers[id] = &peerState{}
	}
}

// RemovePeer removes a peer and its credit request.
func (q *Queue) RemovePeer(id string) { delete(q.peers, id) }

// SetPeerIdle records how many idle credits a peer reported.
func (q *Queue) SetPeerIdle(id string, idle int) {
	if p, ok := q.peers[id]; ok {
		p.idle = idle
	}
}

// SetPeerRequest records a peer's credit request: how many credits it wants and
// how long its oldest waiting task has waited. want 0 withdraws the request.
func (q *Queue) SetPeerRequest(now time.Time, id string, want int, oldestWait time.Duration) {
	p, ok := q.peers[id]
	if !ok {
		return
	}
	p.want, p.wantedAt, p.oldestArrival = want, now, now.Add(-oldestWait)
	if want > 0 {
		p.idle = 0
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

// AddPeerCredits adds credits that a peer transferred.
func (q *Queue) AddPeerCredits(id string, credits []Credit) {
	if p, ok := q.peers[id]; ok && len(credits) > 0 {
		p.requestedAt, p.backoff = time.Time{}, 0
	}
	q.AddCredits(credits...)
}

// requestCredits returns the credit request to send, if one is due: to the peer
// that reported the most idle credits, or else to one that was not asked lately.
func (q *Queue) requestCredits(now time.Time) []CreditRequest {
	if now.Sub(q.lastRequest) < nextPeerAfter {
		return nil
	}
	id, p := q.nextPeer(now)
	if p == nil {
		return nil
	}
	p.requestedAt, p.backoff = now, q.retryInterval(id, p)
	p.idle = 0
	q.lastRequest = now
	return []CreditRequest{{Peer: id, Want: q.fair.waiting, OldestWait: q.OldestWait(now)}}
}

// retryInterval returns the time until a request to a peer is repeated. A peer
// that is not a home entry of the service is asked rarely, as it transfers its
// idle credits to a home entry without a request.
func (q *Queue) retryInterval(id string, p *peerState) time.Duration {
	if len(q.homes) > 0 && !slices.Contains(q.homes, id) || q.isHome && len(q.homes) == 0 {
		return nonHomeRetry
	}
	return min(max(requestRetryMin, 2*p.backoff), requestRetryMax)
}

// SetHomes sets which other entries are home entries of the service, and whether
// this one is. An entry that is not a home entry transfers its idle credits to one.
func (q *Queue) SetHomes(others []string, isHome bool) { q.homes, q.isHome = others, isHome }

// Surplus reports whether this entry has idle credits that it should transfer to a
// home entry.
func (q *Queue) Surplus(now time.Time) bool {
	return !q.isHome && len(q.homes) > 0 && q.idle.count > 0 && q.fair.waiting == 0 && now.Sub(q.lastJob) >= surplusAfter
}

// transferToHome transfers surplus credits to a random home entry.
func (q *Queue) transferToHome(now time.Time) []Transfer {
	if !q.Surplus(now) {
		return nil
	}
	credits := q.takeUpTo(now, q.idle.count)
	if len(credits) == 0 {
		return nil
	}
	return []Transfer{{Peer: q.homes[q.rng.IntN(len(q.homes))], Credits: credits}}
}

// withdrawRequests withdraws the requests that may still be pending at peers: a
// credit that is transferred to an entry without waiting tasks stays unused there.
func (q *Queue) withdrawRequests(now time.Time) []CreditRequest {
	var out []CreditRequest
	for id, p := range q.peers {
		if !p.requestedAt.IsZero() && now.Sub(p.requestedAt) < requestLifetime {
			out = append(out, CreditRequest{Peer: id})
		}
		p.requestedAt, p.backoff = time.Time{}, 0
	}
	return out
}

// nextPeer returns the peer to send the next credit request to: the one that
// reported the most idle credits; ties are broken at random. It skips a peer that
// was asked less than its backoff ago, unless the peer has reported idle credits
// since.
func (q *Queue) nextPeer(now time.Time) (string, *peerState) {
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
		if !p.requestedAt.IsZero() && now.Sub(p.requestedAt) < p.backoff && p.idle == 0 {
			continue
		}
		if best == nil || p.idle > best.idle {
			bestID, best = id, p
		}
	}
	return bestID, best
}

// transferIdle transfers credits that no task here can use to the peers with a
// pending request, in the order of their oldest waiting task. A peer gets what it
// requested and half of the remaining idle credits, or all of them if no job has
// arrived here for idleAfter.
func (q *Queue) transferIdle(now time.Time) []Transfer {
	var out []Transfer
	for q.idle.count > 0 {
		id, p := q.longestWaitingPeer(now)
		if p == nil {
			break
		}
		n := p.want + max(0, q.idle.count-p.want)/2
		if now.Sub(q.lastJob) >= idleAfter {
			n = q.idle.count
		}
		t := Transfer{Peer: id, Credits: q.takeUpTo(now, n)}
		if len(t.Credits) == 0 {
			break
		}
		p.want = max(0, p.want-len(t.Credits))
		out = append(out, t)
	}
	return out
}

// takeUpTo removes up to n usable credits.
func (q *Queue) takeUpTo(now time.Time, n int) []Credit {
	var out []Credit
	for len(out) < n {
		c, ok := q.idle.take(func(agent string) bool { return q.usable(now, agent, 0) })
		if !ok {
			break
		}
		out = append(out, c)
	}
	return out
}

// transferToOlder transfers credits to peers whose oldest task has waited longer
// than ours, so that tasks start roughly in their order of arrival across all
// entries.
func (q *Queue) transferToOlder(now time.Time) []Transfer {
	ownArrival, ok := q.fair.oldest()
	if !ok {
		return nil
	}
	var out []Transfer
	for q.idle.count > 0 {
		id, p := q.longestWaitingPeer(now)
		if p == nil || !p.oldestArrival.Before(ownArrival) {
			break
		}
		c, ok := q.idle.take(func(agent string) bool { return q.usable(now, agent, 0) })
		if !ok {
			break
		}
		p.want--
		p.oldestArrival = now // this credit is for its oldest task; the others wait their turn, as if they had arrived now
		out = append(out, Transfer{Peer: id, Credits: []Credit{c}})
	}
	return out
}

// longestWaitingPeer returns, of the peers with a pending request, the one whose
// oldest task has waited longest.
func (q *Queue) longestWaitingPeer(now time.Time) (string, *peerState) {
	var bestID string
	var best *peerState
	for id, p := range q.peers {
		if p.want <= 0 || now.Sub(p.wantedAt) > requestLifetime {
			continue
		}
		if best == nil || p.oldestArrival.Before(best.oldestArrival) || (p.oldestArrival.Equal(best.oldestArrival) && id < bestID) {
			bestID, best = id, p
		}
	}
	return bestID, best
}
