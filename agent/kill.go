package agent

import "github.com/rotisserie/eris"

var errKilled = eris.New("the agent was killed")

// Kill ends the agent at once, as the death of its process would: no entry is
// told, no result is sent, nothing is noted in the table, and running tasks are
// cut off. Run then returns an error. Kill may be called at any time after New.
func (a *Agent) Kill() {
	a.kill()
	a.running.setClosed(true)
	a.dialers.stop() // before the tasks end, so that none of them is reported
	a.running.cancelAll(errKilled)
}
