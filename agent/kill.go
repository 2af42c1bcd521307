package agent

import "github.com/rotisserie/eris"

var errKilled = eris.New("the agent was killed")

// Kill ends the agent at once, as a crash of its process would: no entry is
// notified, no result is sent, nothing is recorded in the table, and running tasks
// are aborted. Run then returns an error. Kill may be called at any time after New.
func (a *Agent) Kill() {
	a.kill()
	a.running.setClosed(true)
	a.dialers.stop() // before the tasks end, so that none of them is reported
	a.running.cancelAll(errKilled)
}
