package hosted

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"bergamotwing.example/integration/harness"
	"bergamotwing.example/platform/fake"
)

const deleteLimit = time.Second // from a DELETE until it is answered, and until the runs are over

// wantDeleted has a client delete a job of abandonedTasks tasks that run, at an entry, and
// send it again there. answer is that of the job's submission.
func wantDeleted(t *testing.T, c *Cluster, e *Host, id string, answer <-chan fake.Answer) {
	t.Helper()
	harness.Eventually(t, 2*time.Second, "the tasks run", func() bool { return c.Record.Running() == abandonedTasks })
	starts := c.Record.Starts(id)
	sent := time.Now()
	if a := call(t.Context(), http.MethodDelete, e, prefix+id, ""); a.Status != http.StatusOK || time.Since(sent) > deleteLimit {
		t.Errorf("the DELETE is answered %+v after %v", a, time.Since(sent))
	}
	harness.Eventually(t, deleteLimit, "the runs are over", func() bool { return c.Record.Running() == 0 })
	if a := <-answer; !isCancelled(a) {
		t.Errorf("the submission is answered %+v", a)
	}
	if a := c.Submit(e, id, fake.Tasks(abandonedTasks, 10)); !isCancelled(a) || c.Record.Starts(id) != starts {
		t.Errorf("sent again, the job is answered %+v, %d runs started", a, c.Record.Starts(id)-starts)
	}
}

func isCancelled(a fake.Answer) bool {
	return a.Status == http.StatusOK && strings.Contains(a.Body, `"State":"cancelled"`)
}

// The platform takes a new connection of the same client to another entry.
func TestADeleteAtAnyEntryCancelsTheJob(t *testing.T) {
	c := New(t, 3, 2)
	home, others := homeAndOthers(t, c)
	for _, tc := range []struct {
		name               string
		submitted, deleted *Host
	}{
		{"at the job's entry", others[0], others[0]},
		{"at another entry", others[0], others[1]},
		{"at the home", others[0], home},
		{"submitted at the home", home, others[0]},
	} {
		t.Run(tc.name, func(t *testing.T) {
			id := NewJobID()
			_, answer := submitInBackground(t, c, tc.submitted, id)
			wantDeleted(t, c, tc.deleted, id, answer)
		})
	}
}

// Jobs of a route that an operator removes go on.
func TestADeleteCancelsAJobWhoseRouteWasRemoved(t *testing.T) {
	c := New(t, 3, 2)
	home, others := homeAndOthers(t, c)
	version := 1
	setPrefix := func(pathPrefix string) {
		version++
		c.SetConfig(version, pathPrefix)
		harness.Eventually(t, 2*time.Second, "the configuration is in force at all entries", func() bool {
			for _, e := range c.Entries {
				if !strings.Contains(e.Log(), fmt.Sprintf(`"config":%d,"evacuated"`, version)) {
					return false
				}
			}
			return true
		})
	}
	for _, tc := range []struct {
		name, left string // the prefix of the route that is left
		unknown    int    // status of a DELETE of an unknown job
		deleted    *Host
	}{
		{"at the job's entry", "/other/", http.StatusNotFound, others[0]},
		{"at another entry", "/other/", http.StatusNotFound, others[1]},
		{"at the home", "/other/", http.StatusNotFound, home},
		{"with a route of a shorter prefix", "/", http.StatusBadRequest, others[1]},
	} {
		t.Run(tc.name, func(t *testing.T) {
			setPrefix(prefix)
			id := NewJobID()
			_, answer := submitInBackground(t, c, others[0], id)
			harness.Eventually(t, 2*time.Second, "the tasks run", func() bool { return c.Record.Running() == abandonedTasks })
			setPrefix(tc.left)
			for _, path := range []string{"/not/" + id, prefix + NewJobID()} {
				if a := call(t.Context(), http.MethodDelete, tc.deleted, path, ""); a.Status != tc.unknown || c.Record.Running() != abandonedTasks {
					t.Errorf("the DELETE of %s is answered %+v, %d tasks run", path, a, c.Record.Running())
				}
			}
			if a := call(t.Context(), http.MethodDelete, tc.deleted, prefix+id, ""); a.Status != http.StatusOK {
				t.Errorf("the DELETE is answered %+v", a)
			}
			harness.Eventually(t, deleteLimit, "the runs are over", func() bool { return c.Record.Running() == 0 })
			if a := <-answer; !isCancelled(a) {
				t.Errorf("the submission is answered %+v", a)
			}
		})
	}
}

// Clients may read a job's state at any time.
func TestAGetCancelsNoJob(t *testing.T) {
	c := New(t, 1, 2)
	id := NewJobID()
	_, answer := submitInBackground(t, c, c.Entries[0], id)
	harness.Eventually(t, 2*time.Second, "the tasks run", func() bool { return c.Record.Running() == abandonedTasks })
	call(t.Context(), http.MethodGet, c.Entries[0], prefix+id, "")
	if a := <-answer; !a.Completed() || c.Record.Starts(id) != abandonedTasks {
		t.Errorf("the submission is answered %+v, %d runs", a, c.Record.Starts(id))
	}
}
