package hosted

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"bergamotwing.example/integration/harness"
	"bergamotwing.example/platform/fake"
)

const (
	entriesTable   = "bergamotwing-entries"
	endpointsTable = "bergamotwing-endpoints"
	nestedLevels   = 9000 // the most that an answer of the store may hold
)

func nested(levels int) string { return strings.Repeat("[", levels) + strings.Repeat("]", levels) }

// oddMembers are rows of the entries' table, under their keys.
func oddMembers() map[string]string {
	return map[string]string{
		"nested":  nested(300_000),
		"number":  `{"Name":"number","Addr":"10.255.0.1:7720","Cores":1e400}`,
		"largest": `{"Name":"largest","Addr":"10.255.0.1:7720","Cores":1e300,"LinkMbps":1e300}`,
		"port":    `{"Name":"port","Addr":"10.255.0.1:99999"}`,
		"none":    `{"Name":"none","Addr":"10.255.0.1:0"}`,
		"text":    `not JSON`,
		"bytes":   "\xff\xfe\x00",
		"other":   fmt.Sprintf(`{"Name":"entry-1","Addr":%q}`, fake.Addr(address(firstEntry), fake.LinkPort)),
		"alias":   fmt.Sprintf(`{"Name":"alias","Addr":"[::ffff:%s]:%d"}`, address(firstEntry), fake.LinkPort),
		"agent":   fmt.Sprintf(`{"Name":"agent","Addr":%q}`, fake.Addr(address(firstAgent), fake.ControlPort)),
	}
}

// putOddRows leaves odd rows in each table that the processes read.
func putOddRows(s *fake.Store) {
	for key, value := range oddMembers() {
		s.PutBytes(entriesTable, key, []byte(value))
	}
	for i, value := range []string{nested(30_000), `{"Endpoint":{"ID":"i-1"},"Addr":"10.255.0.1:99999","Seq":9000000000000000000}`, "\xff"} {
		s.PutBytes(endpointsTable, fmt.Sprintf("agent-%d", i), []byte(value))
	}
	for _, table := range []string{entriesTable, endpointsTable, "op"} {
		for i, field := range []string{`"Key":5`, `"Key":"agent-2","Value":"*"`, `"Key":"x","Ver":-1`, `"Key":"y","Ver":99999999999999999999`, `"More":` + nested(nestedLevels)} {
			s.PutText(table, fmt.Sprintf("agent-2-%d", i), fmt.Sprintf(`{"Table":%q,"part":"",%s}`, table, field))
		}
	}
}

// sendOddHeartbeats sends an agent heartbeats of another writer.
func sendOddHeartbeats(t *testing.T, h *Host) {
	t.Helper()
	good := fmt.Sprintf(`{"Service":%q,"Address":%q,"Zone":%q,"State":"ready","Capacity":{"Cpu":8000,"MemMb":65536},"Seq":1}`, service, fake.Addr(h.IP, fake.EndpointPort), h.Zone)
	for _, body := range []string{
		nested(20_000), "\xff", `{}`, strings.Replace(good, `"Seq":1`, `"Seq":9000000000000000000`, 1), strings.Replace(good, `"Seq":1`, `"Seq":1,"born":1e300`, 1),
		strings.Replace(good, `8000`, `-8000`, 1), strings.Replace(good, service, "another", 1), strings.Replace(good, `8000`, `9000000000000000000`, 1), strings.Replace(good, "ready", "odd", 1),
		strings.Replace(good, fmt.Sprint(fake.EndpointPort), "99999", 1), strings.Replace(good, fmt.Sprint(fake.EndpointPort), "0", 1),
	} {
		req, err := http.NewRequest(http.MethodPut, "http://"+fake.Addr(h.IP, fake.ControlPort)+"/-/instances/"+h.Endpoint.ID(), bytes.NewReader([]byte(body)))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			continue // the agent restarts
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			t.Errorf("%.80s is acknowledged", body)
		}
	}
}

// An odd row or heartbeat of another writer ends no process and stops no list from
// being followed.
func TestOddRowsAndHeartbeatsStopNothing(t *testing.T) {
	c := Start(t, Options{Entries: 3, Agents: 3, Prepare: putOddRows})
	tr := c.StartTraffic(6, 20*time.Millisecond)
	c.Agents[0].Endpoint.SetOddRow(`["odd",1e400,` + nested(50) + `]`)
	putOddRows(c.Store)
	own := c.Store.Value(entriesTable, "entry-0")
	c.Store.PutBytes(entriesTable, "entry-0", []byte(`{"Name":"entry-0","Addr":"10.255.0.1:7720"}`))
	for _, h := range c.Agents {
		sendOddHeartbeats(t, h)
	}
	c.Entries[1].Kill()
	c.Agents[1].Kill()
	c.Entries[1].Start(t)
	c.Agents[1].Start(t)
	harness.Eventually(t, 5*time.Second, "the restarted entry is ready", c.Entries[1].Ready)
	waitServed(t, c, 5*time.Second)
	harness.Eventually(t, 5*time.Second, "the entry registers again", func() bool { return bytes.Equal(c.Store.Value(entriesTable, "entry-0"), own) })

	c.Store.Evacuate(c.Agents[2].Zone)
	c.Store.PutBytes("op", "config", []byte(nested(20_000)))
	served := func(h *Host) bool {
		before := c.Record.StartsAt(h.Endpoint.ID())
		for range 10 {
			c.Submit(c.Entries[0], NewJobID(), fake.Tasks(6, 20))
		}
		return c.Record.StartsAt(h.Endpoint.ID()) > before
	}
	harness.Eventually(t, 4*time.Second, "the zone gets no task", func() bool { return !served(c.Agents[2]) })
	c.Store.EndEvacuation(c.Agents[2].Zone)
	harness.Eventually(t, 4*time.Second, "the zone gets tasks again", func() bool { return served(c.Agents[2]) })
	if !served(c.Agents[0]) {
		t.Error("an endpoint that lists an odd run gets no task")
	}
	c.SetConfig(2, "/new/")
	harness.Eventually(t, 4*time.Second, "a configuration is in force at every entry", func() bool {
		for _, e := range c.Entries {
			if !c.SubmitWithin(t.Context(), e, "/new/", NewJobID(), fake.Tasks(1, 10)).Completed() {
				return false
			}
		}
		return true
	})
	tr.Stop()
	tr.Check()
	checkLogs(t, c)
}

// checkLogs fails the test if a process has ended, an entry or an agent has lost a link
// other than those to the entry that was killed, or odd rows are logged at each reading.
func checkLogs(t *testing.T, c *Cluster) {
	t.Helper()
	for _, h := range append(append([]*Host{}, c.Entries...), c.Agents...) {
		if !h.Running() {
			t.Errorf("%s has ended", h.Name)
		}
		odd := 0
		for line := range strings.Lines(h.Log()) {
			if strings.Contains(line, `"event":"odd_row"`) {
				odd++
			}
			if strings.Contains(line, `"event":"entry_link_lost"`) && !strings.Contains(line, `"entry":"entry-1"`) {
				t.Errorf("%s: %s", h.Name, line)
			}
		}
		if odd > 60 {
			t.Errorf("%s logs odd rows %d times", h.Name, odd)
		}
	}
}
