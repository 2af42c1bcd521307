// Package trial runs a whole deployment in one process over loopback. It puts the
// deployment under load while a zone is taken out of service and brought back and
// an agent is killed, and checks every answer.
package trial

import (
	"context"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"bergamotwing.example/client"
)

// Config says how to run a trial.
type Config struct {
	Seed     uint64
	Log      io.Writer // the processes' logs
	Progress io.Writer // a line at each phase
}

// Lengths of the phases.
const (
	steadyTime  = 2 * time.Second
	zoneOutTime = 5 * time.Second // longer than the bound on late starts
	zoneInTime  = 2 * time.Second
	agentTime   = 2 * time.Second
)

const (
	readyTimeout = 5 * time.Second
	trialTimeout = 20 * time.Second
)

// trial is the state of one trial: the deployment, its clients and the records.
type trial struct {
	cfg      Config
	log      zerolog.Logger
	cluster  *cluster
	operator *client.Operator
	clients  []*client.Client
	journal  *journal
	report   *Report
	stopped  stoppedAgent
	lostJobs int // failed jobs for which failureAllowed holds
	outage   outage
}

// Run runs the trial. It returns an error if the trial could not be carried out;
// broken guarantees of the deployment are in the report.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	t := &trial{cfg: cfg, log: zerolog.New(cfg.Log), journal: &journal{}, report: &Report{}}
	defer t.stop()
	if err := t.setUp(ctx); err != nil {
		return nil, err
	}
	if err := t.phases(ctx); err != nil {
		return nil, err
	}
	if err := t.check(ctx); err != nil {
		return nil, err
	}
	return t.report, nil
}

// setUp starts the deployment, applies the first note and waits until all agents
// have it in force.
func (t *trial) setUp(ctx context.Context) error {
	t.logProgress("starting a platform, 2 entries, %d agents and endpoints", agentCount())
	var err error
	if t.cluster, err = startCluster(ctx, t.cfg.Log); err != nil {
		return eris.Wrap(err, "start")
	}
	if t.operator, err = client.NewOperator(client.Config{Entries: t.cluster.operatorURLs(), Token: t.cluster.token}); err != nil {
		return err
	}
	t.logProgress("applying the first release note")
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := applyFirstNote(ctx, t.operator); err != nil {
		return eris.Wrap(err, "apply the first note")
	}
	return eris.Wrap(t.untilReady(ctx), "wait for the agents")
}

// phases runs the load of both users through all phases.
func (t *trial) phases(ctx context.Context) error {
	loads := t.startLoad(ctx)
	for _, p := range t.plan() {
		t.logProgress("%s", p.title)
		t.journal.enter(p.title)
		if err := p.begin(ctx); err != nil {
			loads.stop()
			return eris.Wrap(err, p.title)
		}
		if err := pause(ctx, p.length); err != nil {
			loads.stop()
			return err
		}
	}
	loads.stop()
	return nil
}

// phase is a part of the load that begins with an event.
type phase struct {
	title  string
	length time.Duration
	begin  func(ctx context.Context) error
}

func (t *trial) plan() []phase {
	return []phase{
		{"steady load", steadyTime, func(context.Context) error { return nil }},
		{outZone + " out", zoneOutTime, t.zoneOut},
		{outZone + " back", zoneInTime, t.zoneBack},
		{"agent " + stoppedAgentID + " stopped", agentTime, t.killAgent},
	}
}

func (t *trial) stop() {
	for _, c := range t.clients {
		c.Close()
	}
	if t.operator != nil {
		t.operator.Close()
	}
	if t.cluster != nil {
		t.cluster.stop()
	}
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
