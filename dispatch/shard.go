package dispatch

import (
	"cmp"
	"slices"
	"strconv"
)

// A service whose endpoints are more than one entry can keep busy is split into
// shards. Each has some of the endpoints and of the jobs, and its own home entry.

const (
	// ShardEndpoints is how many endpoints a shard has at most: at 50 starts a
	// second each, the shard's home does a third of the 20,000 starts a second
	// measured for one entry.
	ShardEndpoints = 128
	// joinHysteresis is the share of its capacity that one shard less would have
	// to leave free before shards are joined, so that a restart joins none.
	joinHysteresis = 0.25
)

// Shard names a part of a service. Services with few endpoints have only part 0.
type Shard struct {
	Service string
	Index   int
}

// key names the shard when its home is chosen. A service in one part is named by
// itself, as agents name it when they choose the entries to link to.
func (s Shard) key() string {
	if s.Index == 0 {
		return s.Service
	}
	return s.Service + "#" + strconv.Itoa(s.Index)
}

// ShardCount returns into how many shards a service that had count before is
// split: as few as hold its endpoints, but no fewer than before unless one shard
// less would have more than joinHysteresis of its capacity free.
func ShardCount(count, endpoints, perShard int) int {
	needed := max((endpoints+perShard-1)/perShard, 1)
	if needed > count {
		return needed
	}
	tooFew := float64((count-1)*perShard) * (1 - joinHysteresis)
	if float64(endpoints) < tooFew {
		return needed
	}
	return count
}

// ShardIndex returns the shard of a job or an endpoint by rendezvous hashing: a
// change of the count moves as few as possible.
func ShardIndex(id string, count int) int {
	best, highest := 0, uint64(0)
	for i := range count {
		if r := HomeRank(strconv.Itoa(i), id); r > highest {
			best, highest = i, r
		}
	}
	return best
}

// ChooseHomes returns the entry that holds the queue of each of a service's
// shards: the first as ChooseHome returns it, the others by rendezvous hashing
// among the large entries that agents link to, a different one each while there
// are enough. A zone gets a further home only when each other zone with such an entry
// has as many, so that the loss of a zone takes as few queues as possible.
func ChooseHomes(service string, count int, candidates []Candidate) []string {
	first := ChooseHome(service, candidates)
	homes := []string{first}
	if first == "" || count <= 1 {
		return homes
	}
	linked := atLeastHalf(candidates, func(c Candidate) float64 { return float64(c.Endpoints) })
	eligible := large(ChooseStandbys(service, linked, MaxStandbys))
	held, heldInZone := map[string]int{first: 1}, map[string]int{}
	for _, c := range candidates {
		if c.Name == first {
			heldInZone[c.Zone]++
		}
	}
	for i := 1; i < count; i++ {
		// Of equal ones, the first by rank.
		home := slices.MinFunc(rank(Shard{service, i}.key(), eligible), func(a, b Candidate) int {
			return cmp.Or(cmp.Compare(held[a.Name], held[b.Name]), cmp.Compare(heldInZone[a.Zone], heldInZone[b.Zone]))
		})
		held[home.Name]++
		heldInZone[home.Zone]++
		homes = append(homes, home.Name)
	}
	return homes
}

// ChooseShard returns the shard to which a job is submitted first, given how many jobs
// wait at each: the one that the job's id names or, if jobs wait there, the next one
// where none does. It answers loads that one shard cannot carry, since its endpoints
// are fewer, slower or lost, while another has room.
func ChooseShard(named int, waiting []int) int {
	for i := range waiting {
		if shard := (named + i) % len(waiting); waiting[shard] == 0 {
			return shard
		}
	}
	return named
}
