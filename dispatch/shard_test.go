package dispatch

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func TestAServiceIsSplitOnlyBeyondOneShardsEndpoints(t *testing.T) {
	for _, c := range []struct{ count, endpoints, want int }{
		{1, 0, 1},
		{1, 128, 1},
		{1, 129, 2},
		{2, 128, 2}, // some endpoints restart
		{2, 97, 2},
		{2, 95, 1},
		{2, 400, 4},
		{9, 1100, 9},
		{9, 30, 1},
	} {
		if got := ShardCount(c.count, c.endpoints, 128); got != c.want {
			t.Errorf("%d endpoints in %d shards: %d, want %d", c.endpoints, c.count, got, c.want)
		}
	}
}

func TestAnotherShardTakesOnlyItsPart(t *testing.T) {
	const ids = 3000
	for count := 1; count < 9; count++ {
		sizes := make([]int, count+1)
		for i := range ids {
			id := fmt.Sprintf("i-%d", i)
			before, after := ShardIndex(id, count), ShardIndex(id, count+1)
			sizes[after]++
			if after != before && after != count {
				t.Fatalf("%s moves from shard %d to %d of %d", id, before, after, count+1)
			}
		}
		mean := ids / (count + 1)
		if slices.Min(sizes) < mean*3/4 || slices.Max(sizes) > mean*5/4 {
			t.Errorf("uneven shards: %v", sizes)
		}
	}
}

func TestShardsHaveHomesOfTheirOwnAmongTheStandbys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawEntries(t)
		count := rapid.IntRange(1, 9).Draw(t, "shards")
		homes := ChooseHomes("svc", count, all)
		if len(homes) != count || homes[0] != ChooseHome("svc", all) {
			t.Fatalf("homes %v of %d shards, the first should be %s", homes, count, ChooseHome("svc", all))
		}
		standbys := ChooseStandbys("svc", all, MaxStandbys)
		enough := len(large(standbys)) >= count
		seen := map[string]bool{}
		for _, home := range homes {
			if !slices.ContainsFunc(standbys, func(c Candidate) bool { return c.Name == home }) {
				t.Errorf("home %s is not among the standbys", home)
			}
			if seen[home] && enough {
				t.Errorf("%s has two of %d shards, though %d entries are large", home, count, len(large(standbys)))
			}
			seen[home] = true
		}
		slices.Reverse(all)
		if diff := cmp.Diff(homes, ChooseHomes("svc", count, all)); diff != "" {
			t.Errorf("the order of the candidates matters: %s", diff)
		}
	})
}

// The loss of a zone takes the queues of all homes there at once.
func TestHomesOfAServicesShardsAreInDifferentZones(t *testing.T) {
	for zones := 2; zones <= 5; zones++ {
		all := make([]Candidate, 0, 55)
		for i := range 55 {
			c := Candidate{Name: fmt.Sprintf("entry-%d", i), Zone: fmt.Sprintf("zone-%d", i%zones), Cores: 0.2, LinkMbps: 25, Endpoints: 240}
			if i < 15 {
				c.Cores, c.LinkMbps = 0.8, 200
			}
			all = append(all, c)
		}
		for service := range 20 {
			homes := ChooseHomes(fmt.Sprintf("svc-%d", service), zones, all)
			standbys := ChooseStandbys(fmt.Sprintf("svc-%d", service), all, MaxStandbys)
			linked, perZone := map[string]bool{}, map[string]int{}
			for _, c := range standbys {
				linked[c.Zone] = true
			}
			for _, c := range all {
				if slices.Contains(homes, c.Name) {
					perZone[c.Zone]++
				}
			}
			if len(perZone) != len(linked) {
				t.Errorf("%d shards have homes in zones %v; entries that agents link to are in %v", zones, perZone, linked)
			}
		}
	}
}
