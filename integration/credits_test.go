package integration

import (
	"testing"
	"time"

	"bergamotwing.example/integration/harness"
	"bergamotwing.example/result"
)

// slotsBackWithin is how long the slots of a lost entry may stay unused.
const slotsBackWithin = 2 * time.Second

func TestSlotsOfALostEntryAreBackInUseWithin2s(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(*harness.Entry) error
	}{
		{"frozen", func(e *harness.Entry) error { return e.Freeze() }},
		{"killed", func(e *harness.Entry) error { e.Kill(); return nil }},
	} {
		t.Run(c.name, func(t *testing.T) {
			const slotsEach = 8
			d := deploy(t, harness.Options{Slots: slotsEach})
			lost, other := d.Entries[0], d.Entries[1]
			slots := len(d.Agents) * slotsEach
			// A job as wide as all slots draws all credits to the entry.
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
			if took := time.Since(at); took > slotsBackWithin {
				t.Errorf("all slots were in use after %v, want %v", took, slotsBackWithin)
			}
			wantCode(t, await(t, d, ticket, job, answer), result.OK)
			d.Oracle.CheckStarts(t)
		})
	}
}
