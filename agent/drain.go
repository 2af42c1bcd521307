package agent

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// resultLinger is how long results stay available after the last task, so
	// that entries whose link was cut can fetch them.
	resultLinger = time.Second
	// cutOffGrace is how long tasks that are cut off have to report.
	cutOffGrace = time.Second
	// leftTimeout bounds the attempts to note the stop in the table.
	leftTimeout = 5 * time.Second
)

var errCutOff = eris.New("the stop timeout passed")

// drain lets no task start any more, waits for the running ones, and notes in
// the table that the agent left.
func (a *Agent) drain() error {
	ctx, cancel := context.WithTimeout(a.killed, a.cfg.StopTimeout.D())
	defer cancel()
	if _, err := a.control.setLeaving(true, true); err != nil {
		a.running.setClosed(true)
		a.log.Error().Err(err).Msg("leaving not announced")
	}
	if !a.running.waitIdle(ctx) {
		return a.cutOff()
	}
	lingerEnd := time.Now().Add(resultLinger)
	a.noteLeft(ctx)
	pause(ctx, time.Until(lingerEnd))
	return nil
}

func (a *Agent) noteLeft(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leftTimeout)
	defer cancel()
	if err := a.markLeft(ctx); err != nil {
		a.log.Warn().Err(err).Msg("stop not noted in the table")
	}
}

// cutOff ends the tasks that still run. The table does not say that the agent
// left, since they may have had effects.
func (a *Agent) cutOff() error {
	n, _ := a.running.count()
	a.running.cancelAll(errCutOff)
	ctx, cancel := context.WithTimeout(context.Background(), cutOffGrace)
	defer cancel()
	a.running.waitIdle(ctx)
	return eris.Errorf("%d tasks were cut off by the stop timeout", n)
}
