package dispatch

import (
	"hash/fnv"
)

// Candidate is an entry that may hold a service's queue.
type Candidate struct {
	Name      string
	Endpoints int // that it may place tasks on
}

// ChooseHome returns the entry that holds a service's queue: the first by
// rendezvous hashing among the entries that reach at least half as many
// endpoints as the best connected one. Entries that differ about the choice lose
// only the order between their jobs, since agents check each start. It returns
// "" without candidates.
func ChooseHome(service string, candidates []Candidate) string {
	most := 0
	for _, c := range candidates {
		most = max(most, c.Endpoints)
	}
	best, bestRank := "", uint64(0)
	for _, c := range candidates {
		if 2*c.Endpoints < most {
			continue
		}
		if rank := rendezvous(service, c.Name); best == "" || rank > bestRank || rank == bestRank && c.Name < best {
			best, bestRank = c.Name, rank
		}
	}
	return best
}

func rendezvous(service, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(service))
	return h.Sum64()
}
