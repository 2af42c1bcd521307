package entry

import (
	"testing"
	"time"

	"bergamotwing.example/release"
	"bergamotwing.example/result"
)

func TestTeamGetsItsWholeRateWhereItsJobsCome(t *testing.T) {
	state := &release.State{Teams: map[string]release.Team{"night": {TasksPerSecond: 100, Burst: 100, Weight: 2}}}
	now := time.Unix(1_000_000, 0)
	for _, c := range []struct {
		parts, wait int // wait in seconds
		code        result.Code
	}{
		{parts: 1, wait: 1, code: result.OK},
		{parts: 4, wait: 1, code: result.QuotaExceeded},
		{parts: 4, wait: 4, code: result.OK},
	} {
		q := newQuotas()
		if weight, err := q.take(state, "night", 100, c.parts, now); err != nil || weight != 2 {
			t.Fatalf("burst: weight %d, %v", weight, err)
		}
		_, err := q.take(state, "night", 100, c.parts, now.Add(time.Duration(c.wait)*time.Second))
		got := result.OK
		if err != nil {
			got = err.Code
		}
		if got != c.code {
			t.Errorf("%d parts after %d s: got %s, want %s", c.parts, c.wait, got, c.code)
		}
	}
	if _, err := newQuotas().take(state, "other", 1, 1, now); err == nil || err.Code != result.UnknownTeam {
		t.Errorf("unknown team: %v", err)
	}
}
