package dispatch

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Candidate is an entry that may hold a service's queue.
type Candidate struct {
	Name      string
	Zone      string  // empty: not known
	Endpoints int     // that it may place tasks on
	Cores     float64 // processor time of its host
	LinkMbps  float64 // bandwidth of its host
}

// ChooseHome returns the entry that holds a service's queue, its home entry: the
// first by rendezvous hashing among the entries that have at least half of the
// endpoints, processor time and bandwidth of the best one. The home entry sends
// every order, so a small link would delay its heartbeats. Entries that disagree
// about the home entry lose only the common order of their jobs, since agents
// check each start. Without candidates the result is "".
func ChooseHome(service string, candidates []Candidate) string {
	candidates = atLeastHalf(candidates, func(c Candidate) float64 { return float64(c.Endpoints) })
	ranked := rank(service, candidates)
	if len(ranked) == 0 {
		return ""
	}
	return ranked[0].Name
}

// MaxStandbys is how many entries an agent is linked to, besides seeds and owners
// of runs: enough for the loss of a zone and some more.
const MaxStandbys = 12

// ChooseStandbys returns the entries to which the agents of a service keep
// links: those that come first when its home is chosen, so that the links of a
// deployment do not grow with the product of entries and agents.
func ChooseStandbys(service string, candidates []Candidate, most int) []Candidate {
	ranked := rank(service, candidates)
	return ranked[:min(most, len(ranked))]
}

// rank orders candidates for a service: those with large hosts first, then by
// rendezvous hashing.
func rank(service string, candidates []Candidate) []Candidate {
	first := large(candidates)
	ranked := slices.Clone(candidates)
	slices.SortFunc(ranked, func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(boolRank(!slices.Contains(first, a)), boolRank(!slices.Contains(first, b))),
			cmp.Compare(HomeRank(service, b.Name), HomeRank(service, a.Name)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return ranked
}

// large returns the candidates with a large link and processor.
func large(candidates []Candidate) []Candidate {
	wellConnected := atLeastHalf(candidates, func(c Candidate) float64 { return c.LinkMbps })
	return atLeastHalf(wellConnected, func(c Candidate) float64 { return c.Cores })
}

// atLeastHalf returns the candidates with at least half of the best one's measure.
func atLeastHalf(candidates []Candidate, measure func(Candidate) float64) []Candidate {
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
	return kept
}

// HomeRank orders the entries for a service by rendezvous hashing: the highest
// comes first.
func HomeRank(service, entry string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(service))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(entry))
	x := h.Sum64() // mixed, because similar inputs give similar sums
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
