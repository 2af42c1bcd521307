package agent

import (
	"math"
	"time"

	"bergamotwing.example/result"
	"bergamotwing.example/wire"
)

// checkGrant returns the reason why a grant must not start, or spends its credit
// and returns OK. The first check that fails decides which reason is reported.
func (a *Agent) checkGrant(s *session, g *wire.Grant, now, startBy time.Duration) result.Code {
	if !validGrant(g) {
		return result.BadMessage
	}
	if !a.snapshot().registered {
		return result.NotRegistered
	}
	if issuerOf(g.Task.Ticket) != s.entry {
		return result.NotIssuer
	}
	if code := a.records.check(g.Task); code != result.OK {
		return code
	}
	if code := a.mayStart(now, startBy); code != result.OK {
		return code
	}
	if !a.slots.take(g.Credit) {
		return result.StaleCredit
	}
	return result.OK
}

// mayStart makes the checks whose outcome can change over time. They are repeated
// right before the task is sent.
func (a *Agent) mayStart(now, startBy time.Duration) result.Code {
	snap := a.snapshot()
	switch {
	case snap.leaving:
		return result.EndpointLeaving
	case !snap.inService:
		return result.ZoneOut
	case a.permission.remaining(snap.version(), now) <= 0:
		return result.PermissionLapsed
	case now >= startBy:
		return result.StartTooLate
	}
	return result.OK
}

func validGrant(g *wire.Grant) bool {
	return g.Task.Index >= 0 && g.Task.Index <= math.MaxInt32 && g.TimeoutMS > 0
}
