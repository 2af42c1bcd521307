package agent

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// resultLinger is how long results stay available after the last task, so
	// that entries whose link was disconnected can fetch them.
	resultLinger = time.Second
	// abortGrace is how long aborted tasks have to report.
	abortGrace = time.Second
	// cleanStopTimeout bounds the attempts to record the clean stop in the table.
	cleanStopTimeout = 5 * time.Second
)

var errStopTimeout = eris.New("the stop timeout passed")

// drain refuses further starts, waits for the running tasks, and records a clean
// stop in the table.
func (a *Agent) drain() error {
	ctx, cancel := context.WithTimeout(a.killed, a.cfg.StopTimeout.D())
	defer cancel()
	if _, err := a.control.setLeaving(true, true); err != nil {
		a.running.setClosed(true)
		a.log.Error().Err(err).Msg("leaving not announced")
	}
	if !a.running.waitIdle(ctx) {
		return a.abortTasks()
	}
	lingerEnd := time.Now().Add(resultLinger)
	a.recordCleanStop(ctx)
	pause(ctx, time.Until(lingerEnd))
	return nil
}

func (a *Agent) recordCleanStop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, cleanStopTimeout)
	defer cancel()
	if err := a.writeCleanStop(ctx); err != nil {
		a.log.Warn().Err(err).Msg("clean stop not recorded in the table")
	}
}

// abortTasks aborts the tasks that still run. The table then records no clean
// stop, since these tasks may have had effects.
func (a *Agent) abortTasks() error {
	n, _ := a.running.count()
	a.running.cancelAll(errStopTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), abortGrace)
	defer cancel()
	a.running.waitIdle(ctx)
	return eris.Errorf("%d tasks were cut off by the stop timeout", n)
}
