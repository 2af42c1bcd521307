package harness

import (
	"context"
	"crypto/tls"
	"fmt"
	"testing"
	"time"

	"bergamotwing.example/client/api"
	"bergamotwing.example/release"
	"bergamotwing.example/settings"
)

// The service of every deployment, and defaults for zero fields of Options.
const (
	DefaultService = "postlink"
	defaultEntries = 3
	defaultSlots   = 8
)

// readyTimeout bounds the start of a stand-in or of a whole deployment.
const readyTimeout = 30 * time.Second

// Limits of DefaultService in the first release note.
const (
	maxTaskMS   = 10_000
	maxTasks    = 1000
	maxPayloadB = 64 << 10
)

// Settings in the first release note.
const (
	ejectMaxPct    = 50
	retryBudgetPct = 20
)

// Options describe a deployment.
type Options struct {
	Entries   int           // default 3
	Agents    int           // default one per zone
	Zones     []string      // assigned to entries, and to agents, in turn; default three
	Slots     int           // per agent; default 8
	LinkDelay time.Duration // in each direction, on every link and on callers' connections
	// ProxyEndpoints puts a proxy between each agent and its endpoint.
	ProxyEndpoints bool
	ReadTimeout    time.Duration // of a caller's request body; default as in settings.DefaultEntry
	StopTimeout    time.Duration // of entries; default as in settings.DefaultEntry
	// ExpectedResult returns the result that an endpoint gives to a payload.
	// Oracle.Check needs it if an answer with code OK was recorded.
	ExpectedResult func(payload []byte) []byte
	// EntrySettings and AgentSettings change the settings of each process before its start.
	EntrySettings func(*settings.Entry)
	AgentSettings func(*settings.Agent)
	ClientTLS     *tls.Config // for Deployment.Operator, if the entries serve TLS
	// SharedEndpoint gives all agents the endpoint of the first, which halves the
	// number of processes of a large deployment. The oracle cannot be used then: it
	// would count each start once per agent.
	SharedEndpoint bool
}

// Deployment is a running deployment: the platform's stand-in, entries, and
// agents with one endpoint each. Every link goes through a proxy.
type Deployment struct {
	Platform *Standin
	Entries  []*Entry
	Agents   []*Agent
	Zones    []string
	Oracle   *Oracle
	Operator *Caller
	opts     Options
}

// New starts a deployment and posts its first release note. It waits until every
// entry is ready and linked to all other entries and all agents, and all have the
// note's version.
func New(t testing.TB, opts Options) *Deployment {
	t.Helper()
	d := &Deployment{Operator: NewTLSCaller(OperatorToken, opts.ClientTLS), opts: withDefaults(opts)}
	t.Cleanup(d.Operator.Close)
	d.Zones = d.opts.Zones
	d.Platform = startStandin(t, "platform", "platform")
	d.startEntries(t)
	d.startAgents(t)
	d.Oracle = newOracle(d.Agents, d.opts.ExpectedResult)
	d.postFirstNote(t)
	d.WaitReady(t, 1)
	return d
}

func withDefaults(o Options) Options {
	if o.Entries == 0 {
		o.Entries = defaultEntries
	}
	if len(o.Zones) == 0 {
		o.Zones = []string{"gent-noord", "brugge-oost", "kortrijk-zuid"}
	}
	if o.Agents == 0 {
		o.Agents = len(o.Zones)
	}
	if o.Slots == 0 {
		o.Slots = defaultSlots
	}
	if o.EntrySettings == nil {
		o.EntrySettings = func(*settings.Entry) {}
	}
	if o.AgentSettings == nil {
		o.AgentSettings = func(*settings.Agent) {}
	}
	return o
}

func (d *Deployment) startEntries(t testing.TB) {
	t.Helper()
	for i := range d.opts.Entries {
		d.Entries = append(d.Entries, newEntry(t, d, i))
	}
	for _, e := range d.Entries {
		e.start(t, d)
	}
}

func (d *Deployment) startAgents(t testing.TB) {
	t.Helper()
	for i := range d.opts.Agents {
		d.Agents = append(d.Agents, startAgent(t, d, i))
	}
}

// AddAgent starts one more agent and adds it to the deployment and its oracle.
func (d *Deployment) AddAgent(t testing.TB) *Agent {
	t.Helper()
	a := startAgent(t, d, len(d.Agents))
	d.Agents = append(d.Agents, a)
	d.Oracle.addAgent(a)
	return a
}

// FirstNote returns the release note that New posts.
func (d *Deployment) FirstNote() release.Note {
	zones := map[string]release.Zone{}
	for _, z := range d.Zones {
		zones[z] = release.Zone{InService: true}
	}
	service := release.Service{MaxTaskMS: maxTaskMS, MaxTasks: maxTasks, MaxPayloadB: maxPayloadB}
	return release.Note{
		ID:       "first",
		Zones:    release.ZoneDelta{Add: zones},
		Services: release.ServiceDelta{Add: map[string]release.Service{DefaultService: service}},
		Settings: &release.Settings{EjectMaxPct: ejectMaxPct, RetryBudgetPct: retryBudgetPct},
	}
}

// postFirstNote posts the first note until it is accepted. Posting it again is
// safe, since the same id with the same content has the same outcome.
func (d *Deployment) postFirstNote(t testing.TB) {
	t.Helper()
	var last string
	Eventually(t, readyTimeout, "the first note is accepted", func() bool {
		answer, err := d.Operator.Note(t.Context(), d.Entries[0].OperatorURL, d.FirstNote())
		outcome := fmt.Sprintf("first note: %s %s %v", answer.Name, answer.Detail, err)
		if outcome != last {
			t.Log(outcome)
			last = outcome
		}
		return err == nil && answer.Code == 0
	})
}

// WaitReady waits until every entry is ready, is linked to all other entries, has
// version or a later one in force, and sees every agent at version or later.
func (d *Deployment) WaitReady(t testing.TB, version uint64) {
	t.Helper()
	for _, e := range d.Entries {
		Eventually(t, readyTimeout, e.ID+" is ready with all links", func() bool {
			status, err := d.Operator.Status(t.Context(), e.OperatorURL)
			return err == nil && d.complete(status, version) && d.Operator.Ready(t.Context(), e.URL+api.PathHealth)
		})
	}
}

// complete reports whether an entry's status meets the conditions of WaitReady,
// save for readiness.
func (d *Deployment) complete(s api.Status, version uint64) bool {
	linked, current := 0, 0
	for _, e := range s.Entries {
		if e.Linked && e.ID != s.Entry {
			linked++
		}
	}
	for _, a := range s.Agents {
		if a.Version >= version {
			current++
		}
	}
	return s.Version >= version && linked == len(d.Entries)-1 && current == len(d.Agents)
}

// AgentsInZone returns the agents in a zone.
func (d *Deployment) AgentsInZone(zone string) []*Agent {
	var agents []*Agent
	for _, a := range d.Agents {
		if a.Zone == zone {
			agents = append(agents, a)
		}
	}
	return agents
}

// PartitionAgents drops all bytes between the agents and all entries, in both
// directions, until HealAgents. Connections stay open. A link that an agent dials
// meanwhile gets through its HTTP upgrade, since the proxy learns the source from
// the first message after it.
func (d *Deployment) PartitionAgents(agents ...*Agent) {
	for _, e := range d.Entries {
		for _, a := range agents {
			e.Links.DropDirection(ToTarget, a.ID)
			e.Links.DropDirection(FromTarget, a.ID)
		}
	}
}

// HealAgents ends PartitionAgents.
func (d *Deployment) HealAgents(agents ...*Agent) {
	for _, e := range d.Entries {
		for _, a := range agents {
			e.Links.Heal(a.ID)
		}
	}
}

// DisconnectPeers closes the links between an entry and all other entries, and
// prevents new ones until HealPeers.
func (d *Deployment) DisconnectPeers(entry *Entry) {
	for _, e := range d.Entries {
		if e != entry {
			e.Links.Disconnect(entry.ID)
			entry.Links.Disconnect(e.ID)
		}
	}
}

// HealPeers ends DisconnectPeers.
func (d *Deployment) HealPeers(entry *Entry) {
	for _, e := range d.Entries {
		if e != entry {
			e.Links.Heal(entry.ID)
			entry.Links.Heal(e.ID)
		}
	}
}

// Version returns the version that an entry has in force, or 0 if its status cannot be read.
func (d *Deployment) Version(ctx context.Context, e *Entry) uint64 {
	status, err := d.Operator.Status(ctx, e.OperatorURL)
	if err != nil {
		return 0
	}
	return status.Version
}
