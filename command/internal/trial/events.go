package trial

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"bergamotwing.example/client"
	"bergamotwing.example/release"
)

// outage is when the zone was out of service.
type outage struct {
	out  time.Time // the command to take it out was answered
	back time.Time // the command to bring it back was sent
}

// stoppedAgent is how and when the agent was stopped.
type stoppedAgent struct {
	at     time.Time
	abrupt bool
}

const readyPoll = 50 * time.Millisecond

func (t *trial) logProgress(format string, args ...any) {
	_, _ = fmt.Fprintf(t.cfg.Progress, format+"\n", args...)
}

func applyFirstNote(ctx context.Context, op *client.Operator) error {
	note, err := json.Marshal(firstNote())
	if err != nil {
		return err
	}
	_, err = op.ApplyNote(ctx, note)
	return err
}

func firstNote() release.Note {
	n := release.Note{
		ID:       "trial-1",
		Text:     "services and zones of both users",
		Settings: &release.Settings{EjectMaxPct: 30, RetryBudgetPct: 10},
	}
	n.Services.Add = map[string]release.Service{}
	n.Zones.Add = map[string]release.Zone{}
	for _, u := range users {
		n.Services.Add[u.service] = release.Service{MaxTaskMS: 5000, MaxTasks: 100, MaxPayloadB: 4096}
		for _, z := range u.zones {
			n.Zones.Add[z] = release.Zone{InService: true}
		}
	}
	return n
}

// untilReady waits until an entry reports all agents with the note in force.
func (t *trial) untilReady(ctx context.Context) error {
	for {
		status, err := t.operator.Status(ctx)
		if err != nil {
			return err
		}
		ready := 0
		for _, a := range status.Agents {
			if status.Version > 0 && a.Version >= status.Version {
				ready++
			}
		}
		if ready == agentCount() {
			return nil
		}
		if err := pause(ctx, readyPoll); err != nil {
			return fmt.Errorf("%d of %d agents are ready: %w", ready, agentCount(), err)
		}
	}
}

func (t *trial) zoneOut(ctx context.Context) error {
	a, err := t.operator.ZoneOut(ctx, outZone, "")
	if err != nil {
		return err
	}
	t.outage.out = time.Now()
	t.report.event("zone %s out: %s, version %d, in force at %d, missing at %d", outZone, a.Code, a.Version, len(a.InForce), len(a.Missing))
	return nil
}

func (t *trial) zoneBack(ctx context.Context) error {
	t.outage.back = time.Now()
	a, err := t.operator.ZoneBack(ctx, outZone, "")
	if err != nil {
		return err
	}
	t.report.event("zone %s back: %s, version %d, in force at %d, missing at %d", outZone, a.Code, a.Version, len(a.InForce), len(a.Missing))
	return nil
}

// killAgent kills the agent right after a task started at its endpoint, so that
// a running task is lost.
func (t *trial) killAgent(ctx context.Context) error {
	if err := t.cluster.untilStart(ctx, stoppedAgentID); err != nil {
		return err
	}
	t.stopped.at = time.Now()
	t.stopped.abrupt = true
	t.cluster.killAgent(stoppedAgentID)
	t.report.event("agent %s stopped abruptly, its links closed", stoppedAgentID)
	return nil
}
