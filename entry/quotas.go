package entry

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"bergamotwing.example/release"
	"bergamotwing.example/result"
)

// quotas holds each team's share of its rate at this entry: the deployment's
// rate divided by the number of entries.
type quotas struct {
	mu       sync.Mutex
	limiters map[string]*rate.Limiter
}

func newQuotas() *quotas { return &quotas{limiters: map[string]*rate.Limiter{}} }

// set takes over the teams of a configuration.
func (q *quotas) set(state *release.State, entries int) {
	if state == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for name := range q.limiters {
		if _, ok := state.Teams[name]; !ok {
			delete(q.limiters, name)
		}
	}
	for name, team := range state.Teams {
		limit := rate.Limit(team.TasksPerSecond / float64(entries))
		if team.TasksPerSecond == 0 {
			limit = rate.Inf
		}
		burst := max(team.Burst, 1)
		l, ok := q.limiters[name]
		if !ok {
			q.limiters[name] = rate.NewLimiter(limit, burst)
			continue
		}
		l.SetLimit(limit)
		l.SetBurst(burst)
	}
}

// take spends n tasks of a team's quota and returns the team's weight. Without
// teams in the configuration, every team is taken.
func (q *quotas) take(state *release.State, team string, n int, now time.Time) (int, *result.Error) {
	if len(state.Teams) == 0 {
		return 1, nil
	}
	t, ok := state.Teams[team]
	if !ok {
		return 0, result.Errorf(result.UnknownTeam, "team %q is not in force", team)
	}
	q.mu.Lock()
	l := q.limiters[team]
	q.mu.Unlock()
	if l != nil && !l.AllowN(now, n) {
		return 0, result.Errorf(result.QuotaExceeded, "team %q is over its quota", team)
	}
	return max(1, t.Weight), nil
}
