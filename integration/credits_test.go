package integration

import (
	"testing"
	"time"

	"bergamotwing.example/integration/harness"
	"bergamotwing.example/result"
)

// slotsReusedWithin bounds the time that the slots of a lost entry stay unused.
const slotsReusedWithin = 2 * time.Second

// loss is a way in which an entry is lost.
type loss struct {
	name string
	lose func(*harness.Entry) error
}

func losses() []loss {
	return []loss{
		{"frozen", func(e *harness.Entry) error { return e.Freeze() }},
		{"killed", func(e *harness.Entry) error { e.Kill(); return nil }},
	}
}

func TestSlotsOfALostEntryAreBackInUseWithin2s(t *testing.T) {
	for _, c := range losses() {
		t.Run(c.name, func(t *testing.T) {
			const slotsEach = 8
			d := deploy(t, harness.Options{Slots: slotsEach})
			lost, other := d.Entries[0], d.Entries[1]
			slots := len(d.Agents) * slotsEach
			// A job with as many tasks as there are slots moves all credits to the
			// entry.
			wide := harness.NewJob("wide", slots, 300*time.Millisecond)
			wantCode(t, submitUntilKnown(t, d, lost, mustTicket(t, newCaller(t), lost), wide), result.OK)

			if err := c.lose(lost); err != nil {
				t.Fatal(err)
			}
			at := time.Now()
			job := harness.NewJob("after", slots, 4*time.Second)
			ticket := mustTicket(t, newCaller(t), other)
			answer := submit(t.Context(), other, ticket, job)
			waitStarted(t, d, 2*slots)
			if took := time.Since(at); took > slotsReusedWithin {
				t.Errorf("all slots were in use after %v, want %v", took, slotsReusedWithin)
			}
			wantCode(t, await(t, d, ticket, job, answer), result.OK)
			d.Oracle.CheckStarts(t)
		})
	}
}

func TestTicketsOfAServiceComeFromItsHomeWhileItAnswers(t *testing.T) {
	for _, c := range losses() {
		t.Run(c.name, func(t *testing.T) {
			d := deploy(t, harness.Options{})
			caller := newCaller(t)
			home := homeOf(t, d, caller)
			var other *harness.Entry
			for _, e := range d.Entries {
				if got := harness.Issuer(t, ticketFor(t, caller, e)); got != home.ID {
					t.Errorf("%s gives a ticket of %s, %s one of %s", d.Entries[0].ID, home.ID, e.ID, got)
				}
				if e != home {
					other = e
				}
			}
			if err := c.lose(home); err != nil {
				t.Fatal(err)
			}
			at := time.Now()
			job := harness.NewJob("after", 8, 50*time.Millisecond)
			ticket := ticketFor(t, caller, other)
			if took := time.Since(at); took > time.Second {
				t.Errorf("the ticket took %v", took)
			}
			wantCode(t, submitUntilKnown(t, d, other, ticket, job), result.OK)
			if took := time.Since(at); took > 2*slotsReusedWithin {
				t.Errorf("the job took %v", took)
			}
			d.Oracle.CheckStarts(t)
		})
	}
}

func ticketFor(t *testing.T, caller *harness.Caller, e *harness.Entry) string {
	t.Helper()
	ticket, err := caller.TicketFor(t.Context(), e.URL, harness.DefaultService)
	if err != nil {
		t.Fatal(err)
	}
	return ticket
}

func homeOf(t *testing.T, d *harness.Deployment, caller *harness.Caller) *harness.Entry {
	t.Helper()
	id := harness.Issuer(t, ticketFor(t, caller, d.Entries[0]))
	for _, e := range d.Entries {
		if e.ID == id {
			return e
		}
	}
	t.Fatalf("no entry %s", id)
	return nil
}
