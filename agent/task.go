package agent

import (
	"context"
	"time"

	"bergamotwing.example/result"
	"bergamotwing.example/wire"
)

// task is a received grant; once it passes its checks, it runs on the slot of its
// credit.
type task struct {
	grant    *wire.Grant
	issuer   entryIncarnation
	received time.Time
	startBy  time.Duration // on the agent's clock
}

// handleGrant starts a task or refuses it. It does not wait for the task.
func (a *Agent) handleGrant(s *session, g *wire.Grant, now time.Duration) {
	a.permission.update(g.Confirmation, now)
	a.slots.acknowledge(s.entry, g.Held, now)
	a.slots.recordGrant(s.entry, now)
	t := &task{grant: g, issuer: s.entry, received: time.Now()}
	t.startBy = now + time.Duration(g.StartInMS)*time.Millisecond
	if code := a.checkGrant(s, g, now, t.startBy); code != result.OK {
		a.refuse(t, code, a.replaceCredit(g.Credit, s.entry, code))
		return
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	if code := a.record(t, cancel, now); code != result.OK {
		cancel(nil)
		a.refuse(t, code, a.slots.release(g.Credit.Slot, s.entry, now))
		return
	}
	go a.run(ctx, cancel, t)
}

// record registers the start before anything is sent to the endpoint. It returns
// the reason why the task must not start, or OK.
func (a *Agent) record(t *task, cancel context.CancelCauseFunc, now time.Duration) result.Code {
	if !a.running.add(t.grant.Task, cancel) {
		return result.EndpointLeaving
	}
	code := a.records.begin(t.grant.Task, t.grant.Digest, now)
	if code != result.OK {
		a.running.remove(t.grant.Task)
	}
	return code
}

// replaceCredit replaces the credit of a refused grant by a fresh one. It returns nil
// if the slot may not be offered now, or if the permission has lapsed: a grant on
// the fresh credit could not start, so the slot is only freed.
func (a *Agent) replaceCredit(c credit, entry entryIncarnation, code result.Code) *credit {
	if code == result.PermissionLapsed {
		a.slots.returnCredits([]credit{c})
		return nil
	}
	return a.slots.renew(c, entry, a.clock.now())
}

// run sends the task to the endpoint and reports its outcome to the issuer.
func (a *Agent) run(ctx context.Context, cancel context.CancelCauseFunc, t *task) {
	defer cancel(nil)
	defer a.running.remove(t.grant.Task)
	ctx, stop := context.WithTimeout(ctx, time.Duration(t.grant.TimeoutMS)*time.Millisecond)
	defer stop()
	out := a.endpoint.do(ctx, call{
		grant:    t.grant,
		startBy:  t.received.Add(time.Duration(t.grant.StartInMS) * time.Millisecond),
		mayStart: func() result.Code { return a.mayStart(a.clock.now(), t.startBy) },
	})
	if out.notStarted != result.OK {
		a.notStarted(t, out)
		return
	}
	a.finished(t, out, time.Since(t.received))
}

// notStarted removes the record of a task that provably did not start, and refuses
// its grant.
func (a *Agent) notStarted(t *task, out outcome) {
	now := a.clock.now()
	a.records.undo(t.grant.Task)
	var fresh *credit
	switch {
	case out.unreachable:
		a.failures.add(true)
		a.slots.pause(t.grant.Credit.Slot, now+unreachablePause)
	case out.busy:
		a.slots.pause(t.grant.Credit.Slot, now+busyPause)
	case out.notStarted == result.PermissionLapsed:
		a.slots.pause(t.grant.Credit.Slot, now)
	default:
		fresh = a.slots.release(t.grant.Credit.Slot, t.issuer, now)
	}
	a.refuse(t, out.notStarted, fresh)
}

// finished records a result and sends it with the slot's new credit.
func (a *Agent) finished(t *task, out outcome, ran time.Duration) {
	held := &wire.Result{
		Task:    t.grant.Task,
		Attempt: t.grant.Attempt,
		Code:    out.code,
		Body:    out.body,
		RunUS:   ran.Microseconds(),
	}
	a.records.finish(held)
	a.failures.add(out.code != result.OK && out.code != result.Cancelled)
	res := a.stamped(held)
	res.Credit = a.freeSlot(t, out.code)
	a.links.send(t.issuer, res)
	if res.Credit == nil {
		a.control.send(&slotsFreed{})
	}
}

// freeSlot ends the use of a task's slot and returns its new credit, if there is
// one. The endpoint may still be working on a call that was aborted, so its slot
// is not offered at once: the next task on it would be refused and its job would fail.
func (a *Agent) freeSlot(t *task, code result.Code) *credit {
	now := a.clock.now()
	if code == result.Cancelled || code == result.EndpointTimeout {
		a.slots.pause(t.grant.Credit.Slot, now+abortedPause)
		return nil
	}
	return a.slots.release(t.grant.Credit.Slot, t.issuer, now)
}

// stamped returns a copy of a held result with the current clock reading and
// failure rate.
func (a *Agent) stamped(held *wire.Result) *wire.Result {
	res := *held
	res.Clock = a.clock.millis()
	res.FailurePct = a.failures.pct()
	return &res
}

// refuse reports to the issuer that a grant was not started.
func (a *Agent) refuse(t *task, code result.Code, fresh *credit) {
	a.metrics.Refused(code)
	a.links.send(t.issuer, &wire.Refuse{
		Task:    t.grant.Task,
		Attempt: t.grant.Attempt,
		Code:    code,
		Credit:  fresh,
		Clock:   a.clock.millis(),
	})
}
