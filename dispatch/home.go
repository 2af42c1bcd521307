package dispatch

import (
	"hash/fnv"
)

// Candidate is an entry that may hold a service's queue.
type Candidate struct {
	Name      string
	Endpoints int     // that it may place tasks on
	Cores     float64 // processor time of its host
	LinkMbps  float64 // bandwidth of its host
}

// ChooseHome returns the entry that holds a service's queue: the first by
// rendezvous hashing among the entries that have at least half of the endpoints,
// processor time and bandwidth of the best one. The home sends every order, so a
// small link would delay its heartbeats. Entries that differ about the choice lose
// only the order between their jobs, since agents check each start. It returns
// "" without candidates.
func ChooseHome(service string, candidates []Candidate) string {
	fit := fittest(candidates)
	best, bestRank := "", uint64(0)
	for _, c := range fit {
		if rank := HomeRank(service, c.Name); best == "" || rank > bestRank || rank == bestRank && c.Name < best {
			best, bestRank = c.Name, rank
		}
	}
	return best
}

// fittest leaves out the candidates with less than half of the best one's
// endpoints, then of its bandwidth, then of its processor time.
func fittest(candidates []Candidate) []Candidate {
	for _, measure := range []func(Candidate) float64{
		func(c Candidate) float64 { return float64(c.Endpoints) },
		func(c Candidate) float64 { return c.LinkMbps },
		func(c Candidate) float64 { return c.Cores },
	} {
		most := 0.0
		for _, c := range candidates {
			most = max(most, measure(c))
		}
		var kept []Candidate
		for _, c := range candidates {
			if 2*measure(c) >= most {
				kept = append(kept, c)
			}
		}
		candidates = kept
	}
	return candidates
}

// HomeRank orders the entries for a service by rendezvous hashing: the highest
// comes first.
func HomeRank(service, entry string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(service))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(entry))
	x := h.Sum64() // mixed, because close inputs give close sums
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
