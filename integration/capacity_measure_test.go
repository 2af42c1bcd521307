//go:build measure

package integration

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"bergamotwing.example/integration/harness"
	"bergamotwing.example/load"
	"bergamotwing.example/release"
	"bergamotwing.example/result"
	"bergamotwing.example/wire"
)

// These tests measure the slopes of docs/CAPACITY.md, each with
//
//	go test -tags measure -run TestCapacityX -timeout 30m -v ./integration
//
// where X is Agents, Entries, OpenJobs, Tasks, Notes or Teams. Each prints one
// table: a row for each size, and the slope of each column.
const (
	capacityWarmUp  = 5 * time.Second
	capacityWindow  = 15 * time.Second
	capacityEntries = 3
	capacityAgents  = 30
)

// resourceUse is the mean resource use of the processes of one role.
type resourceUse struct {
	cpu     float64 // per cent of a core
	rss     float64 // MB
	sent    float64 // messages a second
	bytes   float64 // bytes sent a second
	control float64 // part of bytes: in messages that carry no work
	kinds   load.Counters
}

// capacityPoint is the resource use of a deployment of one size, x.
type capacityPoint struct {
	x             float64
	entry, agent  resourceUse
	agentReceives float64 // control bytes a second from all entries
}

// workKinds are the kinds of messages that carry work.
var workKinds = []string{
	wire.KindGrant.String(), wire.KindResult.String(), wire.KindForward.String(),
	wire.KindForwardReply.String(), wire.KindHandover.String(),
}

// agentKinds are the kinds of control messages that entries send only to agents;
// a configuration goes to other entries as well.
var agentKinds = []string{
	wire.KindEntryHello.String(), wire.KindEntryHeartbeat.String(),
	wire.KindReturnCredits.String(), wire.KindResume.String(), wire.KindFence.String(),
}

// measureWindow runs during for one window, or waits if it is nil, and returns the
// resource use in that window.
func measureWindow(t *testing.T, d *harness.Deployment, x float64, during func(context.Context)) capacityPoint {
	t.Helper()
	if during == nil {
		during = func(ctx context.Context) { <-ctx.Done() }
	}
	sleep(t.Context(), capacityWarmUp)
	entries, agents := metricsURLs(d)
	entriesBefore, agentsBefore := scrapeAll(t, entries), scrapeAll(t, agents)
	began := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), capacityWindow)
	defer cancel()
	during(ctx)
	entriesAfter, agentsAfter := scrapeAll(t, entries), scrapeAll(t, agents)
	span := time.Since(began).Seconds()
	p := capacityPoint{x: x, entry: meanUse(entriesBefore, entriesAfter, span), agent: meanUse(agentsBefore, agentsAfter, span)}
	for _, kind := range agentKinds {
		p.agentReceives += p.entry.kinds[kind] * float64(len(entries)) / float64(len(agents))
	}
	return p
}

func sleep(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-ctx.Done()
}

func metricsURLs(d *harness.Deployment) (entries, agents []string) {
	for _, e := range d.Entries {
		entries = append(entries, e.MetricsURL)
	}
	for _, a := range d.Agents {
		agents = append(agents, a.MetricsURL)
	}
	return entries, agents
}

func scrapeAll(t *testing.T, urls []string) []load.Metrics {
	t.Helper()
	all := make([]load.Metrics, 0, len(urls))
	for _, url := range urls {
		m, err := load.Scrape(t.Context(), url)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, m)
	}
	return all
}

func meanUse(before, after []load.Metrics, span float64) resourceUse {
	u := resourceUse{kinds: load.Counters{}}
	share := 1 / float64(len(after))
	for i := range after {
		u.cpu += share * (after[i].CPUSeconds - before[i].CPUSeconds) / span * 100
		u.rss += share * after[i].RSSBytes / 1e6
		for kind, n := range after[i].Sent {
			u.sent += share * (n - before[i].Sent[kind]) / span
		}
		for kind, n := range after[i].Bytes {
			u.kinds[kind] += share * (n - before[i].Bytes[kind]) / span
		}
	}
	for kind, n := range u.kinds {
		u.bytes += n
		if !slices.Contains(workKinds, kind) {
			u.control += n
		}
	}
	return u
}

// columns returns the figures of a point in the order of the table's columns.
func (p capacityPoint) columns() []float64 {
	return []float64{
		p.entry.cpu, p.entry.rss, p.entry.sent, p.entry.bytes, p.entry.control,
		p.agent.cpu, p.agent.rss, p.agent.sent, p.agent.bytes, p.agent.control, p.agentReceives,
	}
}

// printSlopes prints the points and the least-squares slope of each column.
func printSlopes(what string, points []capacityPoint) {
	fmt.Printf("\n| %s | entry CPU %% | MB | msg/s | B/s | control B/s | agent CPU %% | MB | msg/s | B/s | control B/s | control B/s received |\n", what)
	fmt.Println("|---|" + strings.Repeat("---:|", 11))
	var xs []float64
	var columns [][]float64
	for _, p := range points {
		fmt.Printf("| %g%s |\n", p.x, formatted(p.columns()))
		xs = append(xs, p.x)
		columns = append(columns, p.columns())
	}
	slopes := make([]float64, len(columns[0]))
	for c := range slopes {
		slopes[c] = slope(xs, func(i int) float64 { return columns[i][c] })
	}
	fmt.Printf("| slope%s |\n", formatted(slopes))
	last := points[len(points)-1]
	fmt.Printf("largest kinds at %g, bytes a second: entry %s; agent %s\n", last.x, largest(last.entry.kinds), largest(last.agent.kinds))
}

func formatted(values []float64) string {
	var b strings.Builder
	for _, v := range values {
		fmt.Fprintf(&b, " | %.4g", v)
	}
	return b.String()
}

func slope(xs []float64, y func(i int) float64) float64 {
	n := float64(len(xs))
	var sx, sy, sxx, sxy float64
	for i, x := range xs {
		sx, sy, sxx, sxy = sx+x, sy+y(i), sxx+x*x, sxy+x*y(i)
	}
	return (n*sxy - sx*sy) / (n*sxx - sx*sx)
}

func largest(kinds load.Counters) string {
	names := slices.SortedFunc(maps.Keys(kinds), func(a, b string) int { return cmp.Compare(kinds[b], kinds[a]) })
	var out []string
	for _, name := range names[:min(4, len(names))] {
		out = append(out, fmt.Sprintf("%s %.0f", name, kinds[name]))
	}
	return strings.Join(out, ", ")
}

// capacityDeployment deploys without a delay on the links. No task may be
// submitted to it, since its agents share one endpoint.
func capacityDeployment(t *testing.T, entries, agents int) *harness.Deployment {
	t.Helper()
	return deploy(t, harness.Options{Entries: entries, Agents: agents, OneEndpoint: true})
}

// measureSizes measures one deployment of each size.
func measureSizes(t *testing.T, what string, sizes []int, measure func(t *testing.T, size int) capacityPoint) {
	t.Helper()
	var points []capacityPoint
	for _, size := range sizes {
		t.Run(fmt.Sprint(size), func(t *testing.T) { points = append(points, measure(t, size)) })
	}
	printSlopes(what, points)
}

func TestCapacityAgents(t *testing.T) {
	measureSizes(t, "agents", []int{10, 50, 150}, func(t *testing.T, agents int) capacityPoint {
		return measureWindow(t, capacityDeployment(t, capacityEntries, agents), float64(agents), nil)
	})
}

func TestCapacityEntries(t *testing.T) {
	measureSizes(t, "entries", []int{1, 3, 6}, func(t *testing.T, entries int) capacityPoint {
		return measureWindow(t, capacityDeployment(t, entries, capacityAgents), float64(entries), nil)
	})
}

// TestCapacityOpenJobs keeps jobs of 10 tasks waiting at one entry. All of them
// can end by their deadline, or else the entry would refuse them.
func TestCapacityOpenJobs(t *testing.T) {
	const run = 150 * time.Millisecond
	measureSizes(t, "open jobs", []int{100, 500, 1500}, func(t *testing.T, jobs int) capacityPoint {
		d := deploy(t, harness.Options{Entries: 1, Agents: 3})
		p := measureWindow(t, d, float64(jobs), func(ctx context.Context) { waitingJobs(ctx, d, jobs, run) })
		status, err := d.Operator.Status(t.Context(), d.Entries[0].OperatorURL)
		if err != nil {
			t.Fatal(err)
		}
		p.x = float64(status.OpenJobs) // still open, though their callers have left
		return p
	})
}

// waitingJobs submits jobs that stay open until ctx ends.
func waitingJobs(ctx context.Context, d *harness.Deployment, jobs int, run time.Duration) {
	c := harness.NewCaller("")
	defer c.Close()
	var all sync.WaitGroup
	for n := range jobs {
		job := harness.NewJob(fmt.Sprint(n), 10, run)
		job.DeadlineMS = (2 * time.Minute).Milliseconds()
		all.Go(func() {
			if ticket, err := c.Ticket(ctx, d.Entries[0].URL); err == nil {
				_, _ = c.Submit(ctx, d.Entries[0].URL, ticket, job) // aborted when ctx ends
			}
		})
	}
	<-ctx.Done()
	all.Wait()
}

// TestCapacityTasks offers tasks of 100 ms at rising rates.
func TestCapacityTasks(t *testing.T) {
	const agents, slots, runTime = 10, 8, 100 * time.Millisecond
	measureSizes(t, "tasks a second", []int{100, 300, 600}, func(t *testing.T, rate int) capacityPoint {
		d := deploy(t, harness.Options{Entries: capacityEntries, Agents: agents, Slots: slots})
		o := load.Options{
			Seed: 1, Jobs: measuredMaxJobs, Duration: capacityWindow - time.Second, Sizes: load.Sizes{Mean: 8, Max: 100},
			Utilization: float64(rate) * runTime.Seconds() / (agents * slots),
			RunTimes:    load.RunTimes{Min: runTime, Max: runTime},
			Mix:         []load.Share{{Service: harness.DefaultService, Weight: 1, Slots: agents * slots}},
			Callers:     measuredCallers, Deadline: measuredDeadline, Expected: expectedAnswer,
		}
		for _, e := range d.Entries {
			o.Entries = append(o.Entries, e.URL)
		}
		var done float64
		p := measureWindow(t, d, float64(rate), func(ctx context.Context) {
			report, err := load.Run(ctx, o, nopWriter{})
			if err != nil {
				t.Error(err)
				return
			}
			done = report.TasksPerSecond
		})
		p.x = done
		return p
	})
}

type nopWriter struct{}

// Write discards b.
func (nopWriter) Write(b []byte) (int, error) { return len(b), nil }

// TestCapacityNotes changes one team's quota at rising rates per minute.
func TestCapacityNotes(t *testing.T) {
	measureSizes(t, "notes a minute", []int{0, 30, 120}, func(t *testing.T, notes int) capacityPoint {
		d := capacityDeployment(t, capacityEntries, capacityAgents)
		addTeams(t, d, 1)
		return measureWindow(t, d, float64(notes), func(ctx context.Context) { postNotes(ctx, t, d, notes) })
	})
}

// TestCapacityTeams posts 60 notes a minute with a rising number of teams in
// force.
func TestCapacityTeams(t *testing.T) {
	measureSizes(t, "teams, 60 notes a minute", []int{1, 50, 350}, func(t *testing.T, teams int) capacityPoint {
		d := capacityDeployment(t, capacityEntries, capacityAgents)
		addTeams(t, d, teams)
		return measureWindow(t, d, float64(teams), func(ctx context.Context) { postNotes(ctx, t, d, 60) })
	})
}

func addTeams(t *testing.T, d *harness.Deployment, n int) {
	t.Helper()
	teams := map[string]release.Team{}
	for i := range n {
		teams[fmt.Sprintf("team-%03d", i)] = release.Team{TasksPerSecond: 100, Burst: 200, Weight: 1}
	}
	note := release.Note{ID: "teams", WrittenAgainst: 1, Teams: release.TeamDelta{Add: teams}}
	answer, err := d.Operator.Note(t.Context(), d.Entries[0].OperatorURL, note)
	if err != nil || answer.Code != result.OK {
		t.Fatalf("teams: %s %s, error %v", answer.Name, answer.Detail, err)
	}
	d.WaitReady(t, answer.Version)
}

// postNotes posts perMinute notes a minute until ctx ends.
func postNotes(ctx context.Context, t *testing.T, d *harness.Deployment, perMinute int) {
	t.Helper()
	if perMinute == 0 {
		<-ctx.Done()
		return
	}
	ticker := time.NewTicker(time.Minute / time.Duration(perMinute))
	defer ticker.Stop()
	for version := uint64(2); ; version++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		team := release.Team{TasksPerSecond: 100, Burst: 200 + int(version), Weight: 1} //nolint:gosec // small
		note := release.Note{
			ID: fmt.Sprintf("quota-%d", version), WrittenAgainst: version,
			Teams: release.TeamDelta{Change: map[string]release.Team{"team-000": team}},
		}
		answer, err := d.Operator.Note(t.Context(), d.Entries[0].OperatorURL, note)
		if err != nil || answer.Code != result.OK {
			t.Errorf("note %d: %s %s, error %v", version, answer.Name, answer.Detail, err)
			return
		}
	}
}
