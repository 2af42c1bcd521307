package hosted

import (
	"encoding/json"
	"strings"
	"testing"
	"time"
)

// lateLinksOfAgents returns how many links of agents an entry has closed as late.
func lateLinksOfAgents(e *Host) (n int) {
	for line := range strings.Lines(e.Log()) {
		var event struct{ Event, Peer string }
		if json.Unmarshal([]byte(line), &event) == nil && event.Event == "link_late" && strings.HasPrefix(event.Peer, "agent") {
			n++
		}
	}
	return n
}

// Agents lose links whose hello and reports are still on their way, and dial again by a
// quicker path. What arrives then says nothing about runs ordered on the later links.
func TestReportsOnLinksThatAreLostOnTheirWayRunNoTaskTwice(t *testing.T) {
	const (
		rounds  = 25
		slowest = 230 * time.Millisecond // less than a dialing process waits
		apart   = 40 * time.Millisecond
	)
	c := Start(t, Options{Entries: 3, Agents: 5, Proxied: true})
	tr := c.StartTraffic(6, 20*time.Millisecond)
	for round := range rounds {
		links := c.Entries[round%len(c.Entries)].Links
		lag := slowest - time.Duration(round%4)*apart
		links.Lag(lag)
		links.Disconnect()
		links.Heal()
		time.Sleep(lag + time.Duration(round%6)*apart) // some links are made
		links.Lag(0)
		links.LoseClients()
		time.Sleep(2 * slowest) // what is on its way arrives
	}
	tr.Stop()
	for _, task := range c.Record.Overlapping() {
		t.Errorf("ran twice at the same time: %s", task)
	}
	late := 0
	for _, e := range c.Entries {
		late += lateLinksOfAgents(e)
	}
	if late == 0 {
		t.Error("no link of an agent came late: nothing was tested")
	}
	t.Logf("%d links of agents came late", late)
}
