package integration

import (
	"testing"
	"time"

	"bergamotwing.example/integration/harness"
	"bergamotwing.example/result"
)

func TestIssuerKilledJobIsSettled(t *testing.T) {
	t.Run("tasks were running", func(t *testing.T) {
		d := deploy(t, harness.Options{})
		job := harness.NewJob("running", 6, 2*time.Second)
		ticket := mustTicket(t, newCaller(t), d.Entries[0])
		forwarded := submit(t.Context(), d.Entries[1], ticket, job)
		waitStarted(t, d, len(job.Tasks))
		d.Entries[0].Kill()
		if r := <-forwarded; r.err != nil {
			t.Fatalf("the forwarding entry gave no answer: %v", r.err)
		}
		wantCode(t, submitUntilKnown(t, d, d.Entries[1], ticket, job), result.OK, result.SettledFailed)
		d.Oracle.Check(t)
	})
	t.Run("job was never submitted", func(t *testing.T) {
		d := deploy(t, harness.Options{})
		job := harness.NewJob("never", 6, 50*time.Millisecond)
		ticket := mustTicket(t, newCaller(t), d.Entries[0])
		d.Entries[0].Kill()
		wantCode(t, submitUntilKnown(t, d, d.Entries[1], ticket, job), result.SettledNotRun)
		d.Entries[0].Restart(t)
		d.WaitReady(t, 1)
		for _, e := range d.Entries {
			wantCode(t, submitUntilKnown(t, d, e, ticket, job), result.SettledNotRun)
		}
		d.Oracle.Check(t)
	})
}

func TestIssuerFrozenOverSettlement(t *testing.T) {
	t.Run("job was never submitted", func(t *testing.T) {
		d := deploy(t, harness.Options{})
		job := harness.NewJob("never", 6, 50*time.Millisecond)
		ticket := mustTicket(t, newCaller(t), d.Entries[0])
		mustSignal(t, d.Entries[0].Freeze)
		wantCode(t, submitUntilKnown(t, d, d.Entries[1], ticket, job), result.SettledNotRun)
		mustSignal(t, d.Entries[0].Thaw)
		answer := submitUntilKnown(t, d, d.Entries[0], ticket, job)
		if answer.Code == result.OK {
			t.Error("a settled job ran after all")
		}
		d.Oracle.Check(t)
	})
	t.Run("tasks were running and waiting", func(t *testing.T) {
		d := deploy(t, harness.Options{})
		job := harness.NewJob("half", 60, 400*time.Millisecond)
		ticket := mustTicket(t, newCaller(t), d.Entries[0])
		first := submit(t.Context(), d.Entries[0], ticket, job)
		waitStarted(t, d, 10)
		mustSignal(t, d.Entries[0].Freeze)
		wantCode(t, submitUntilKnown(t, d, d.Entries[1], ticket, job), result.SettledFailed)
		mustSignal(t, d.Entries[0].Thaw)
		if answer := await(t, d, ticket, job, first); answer.Code == result.OK {
			t.Error("a job settled as failed was answered whole")
		}
		wantCode(t, submitNew(t, d, d.Entries[0], harness.NewJob("after", 8, 50*time.Millisecond)), result.OK)
		d.Oracle.Check(t)
	})
}

func TestIssuerCutOffLosesOnlyTheSettledJob(t *testing.T) {
	d := deploy(t, harness.Options{})
	cut := d.Entries[0]
	settled := harness.NewJob("settled", 4, 50*time.Millisecond)
	ticket := mustTicket(t, newCaller(t), cut)
	d.CutPeers(cut)
	wantCode(t, submitUntilKnown(t, d, d.Entries[1], ticket, settled), result.SettledNotRun)
	if answer := submitUntilKnown(t, d, cut, ticket, settled); answer.Code == result.OK {
		t.Error("a settled job ran after all")
	}
	wantCode(t, submitNew(t, d, cut, harness.NewJob("other", 4, 50*time.Millisecond)), result.OK)
	d.HealPeers(cut)
	d.WaitReady(t, 1)
	d.Oracle.Check(t)
}

// mustSignal sends a signal to a process that must be running.
func mustSignal(t *testing.T, send func() error) {
	t.Helper()
	if err := send(); err != nil {
		t.Fatal(err)
	}
}
