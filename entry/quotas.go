package entry

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"bergamotwing.example/release"
	"bergamotwing.example/result"
)

// quotas limits each team to this entry's share of the team's rate. Jobs of a
// service arrive at its home entries, so a home has an equal share among the
// homes; any other entry has an equal share among all entries.
type quotas struct {
	mu       sync.Mutex
	limiters map[string]*rate.Limiter // by team
}

func newQuotas() *quotas { return &quotas{limiters: map[string]*rate.Limiter{}} }

// prune removes the limiters of teams that are no longer in force.
func (q *quotas) prune(state *release.State) {
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
}

// take spends n tasks of a team's quota and returns the team's weight. The rate is
// divided into the given number of parts, of which this entry has one. If the
// configuration has no teams, every team is accepted.
func (q *quotas) take(state *release.State, team string, n, parts int, now time.Time) (int, *result.Error) {
	if len(state.Teams) == 0 {
		return 1, nil
	}
	t, ok := state.Teams[team]
	if !ok {
		return 0, result.Errorf(result.UnknownTeam, "team %q is not in force", team)
	}
	if !q.limiter(team, t, parts, now).AllowN(now, n) {
		return 0, result.Errorf(result.QuotaExceeded, "team %q is over its quota", team)
	}
	return max(1, t.Weight), nil
}

// limiter returns a team's limiter, set to its quota in force.
func (q *quotas) limiter(name string, t release.Team, parts int, now time.Time) *rate.Limiter {
	limit := rate.Limit(t.TasksPerSecond / float64(max(1, parts)))
	if t.TasksPerSecond == 0 {
		limit = rate.Inf
	}
	burst := max(t.Burst, 1)
	q.mu.Lock()
	defer q.mu.Unlock()
	l, ok := q.limiters[name]
	if !ok {
		l = rate.NewLimiter(limit, burst)
		q.limiters[name] = l
	}
	if l.Limit() != limit {
		l.SetLimitAt(now, limit)
	}
	if l.Burst() != burst {
		l.SetBurstAt(now, burst)
	}
	return l
}
