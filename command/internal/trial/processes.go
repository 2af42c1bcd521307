package trial

import (
	"time"

	"bergamotwing.example/agent"
	"bergamotwing.example/entry"
	"bergamotwing.example/settings"
	"bergamotwing.example/tablestore"
	"bergamotwing.example/telemetry"
)

// entryProcess is a running entry.
type entryProcess struct {
	addrs entry.Addrs
	done  chan struct{}
}

// agentProcess is a running agent.
type agentProcess struct {
	agent *agent.Agent
	done  chan struct{}
}

const (
	logLevel    = "info"
	stopTimeout = settings.Duration(2 * time.Second)
)

func (c *cluster) startEntry(id, zone string) error {
	s := settings.DefaultEntry()
	s.ID, s.Zone = id, zone
	s.Listen, s.OperatorListen, s.LinkListen = loopback, loopback, loopback
	s.OperatorToken = c.token
	s.Peers = c.linkAddrs()
	s.Keys = c.keys()
	s.Platform = c.platformSettings()
	s.StopTimeout = stopTimeout
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return err
	}
	log := telemetry.NewLog(c.log, logLevel, "entry", id, zone)
	e, err := entry.New(s, entry.Deps{Log: log, Metrics: metrics, Table: c.table()})
	if err != nil {
		return err
	}
	p := &entryProcess{addrs: e.Addrs(), done: make(chan struct{})}
	c.entries = append(c.entries, p)
	go func() {
		defer close(p.done)
		if err := e.Run(c.ctx); err != nil {
			log.Error().Err(err).Msg("entry ended")
		}
	}()
	return nil
}

func (c *cluster) startAgent(service, zone, id, endpointURL string) error {
	s := settings.DefaultAgent()
	s.ID, s.Zone, s.Service, s.Endpoint = id, zone, service, endpointURL
	s.Slots, s.Connections = slots, connections
	s.Listen = loopback
	s.Entries = c.linkAddrs()
	s.Keys = c.keys()
	s.Platform = c.platformSettings()
	s.StopTimeout = stopTimeout
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return err
	}
	log := telemetry.NewLog(c.log, logLevel, "agent", id, zone)
	a, err := agent.New(s, agent.Deps{Log: log, Metrics: metrics, Table: c.table()})
	if err != nil {
		return err
	}
	p := &agentProcess{agent: a, done: make(chan struct{})}
	c.agents[id] = p
	go func() {
		defer close(p.done)
		if err := a.Run(c.ctx); err != nil {
			log.Error().Err(err).Msg("agent ended")
		}
	}()
	return nil
}

func (c *cluster) table() tablestore.Table {
	p := c.platformSettings()
	return tablestore.NewClient(tablestore.ClientConfig{URL: p.URL, Token: p.Token, Timeout: p.Timeout.D()})
}

// killAgent ends an agent abruptly.
func (c *cluster) killAgent(id string) { c.agents[id].agent.Kill() }
