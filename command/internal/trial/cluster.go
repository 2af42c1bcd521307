package trial

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"

	"bergamotwing.example/entry"
	"bergamotwing.example/settings"
	"bergamotwing.example/standin"
)

const loopback = "127.0.0.1:0"

// cluster is the deployment of the trial.
type cluster struct {
	ctx       context.Context // of the processes; ended by stop
	cancel    context.CancelFunc
	log       io.Writer
	key       string
	token     string
	platform  *server
	entries   []*entryProcess
	agents    map[string]*agentProcess
	endpoints []*endpoint
}

// endpoint is a stand-in endpoint.
type endpoint struct {
	id, zone string
	server   *server
}

// startCluster starts all processes. If one of them cannot start, it stops the
// others.
func startCluster(ctx context.Context, log io.Writer) (*cluster, error) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	c := &cluster{ctx: ctx, cancel: cancel, log: log, key: rand.Text(), token: rand.Text(), agents: map[string]*agentProcess{}}
	if err := c.start(); err != nil {
		c.stop()
		return nil, err
	}
	return c, nil
}

func (c *cluster) start() error {
	var err error
	if c.platform, err = startServer(standin.NewPlatform()); err != nil {
		return err
	}
	for i, u := range users {
		if err := c.startEntry(fmt.Sprintf("entry-%d", i+1), u.zones[0]); err != nil {
			return err
		}
	}
	for _, u := range users {
		if err := c.startUser(u); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) startUser(u user) error {
	for _, zone := range u.zones {
		for i := range agentsPerZone {
			if err := c.startWorker(u.service, zone, fmt.Sprintf("%s-%d", zone, i+1)); err != nil {
				return err
			}
		}
	}
	return nil
}

// startWorker starts an endpoint and the agent beside it.
func (c *cluster) startWorker(service, zone, id string) error {
	config := standin.EndpointConfig{Slots: slots, Connections: connections, Zone: zone, ID: id}
	s, err := startServer(standin.NewEndpoint(config))
	if err != nil {
		return err
	}
	c.endpoints = append(c.endpoints, &endpoint{id: id, zone: zone, server: s})
	return c.startAgent(service, zone, id, s.url())
}

func (c *cluster) platformSettings() settings.Platform {
	p := settings.DefaultEntry().Platform
	p.URL = c.platform.url()
	return p
}

func (c *cluster) keys() []settings.Key { return []settings.Key{{Secret: c.key}} }

func (c *cluster) linkAddrs() []string {
	return c.mapEntries(func(a entry.Addrs) string { return a.Links })
}

func (c *cluster) callerURLs() []string {
	return c.mapEntries(func(a entry.Addrs) string { return "http://" + a.Callers })
}

func (c *cluster) operatorURLs() []string {
	return c.mapEntries(func(a entry.Addrs) string { return "http://" + a.Operators })
}

func (c *cluster) mapEntries(f func(entry.Addrs) string) []string {
	mapped := make([]string, 0, len(c.entries))
	for _, e := range c.entries {
		mapped = append(mapped, f(e.addrs))
	}
	return mapped
}

// stop stops the agents and entries, then the stand-ins.
func (c *cluster) stop() {
	c.cancel()
	for _, a := range c.agents {
		<-a.done
	}
	for _, e := range c.entries {
		<-e.done
	}
	for _, e := range c.endpoints {
		e.server.stop()
	}
	if c.platform != nil {
		c.platform.stop()
	}
}
