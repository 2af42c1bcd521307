package command

import (
	"context"
	"fmt"

	"bergamotwing.example/client"
	"bergamotwing.example/client/api"
)

const statusHelp = `Shows the deployment as one entry sees it. The NOTE column marks what
is off; warnings come first.

Examples:
$ bergamotwing status --operators http://127.0.0.1:8081
$ bergamotwing status --json | jq .warnings`

// Thresholds at which status marks an entry, an agent or a service.
const (
	silentThresholdMS   = 20_000 // idle links are pinged every 15 s
	failureThresholdPct = 10
	waitingThresholdMS  = 1000
)

type statusCommand struct {
	out     *output
	Options operatorOptions
}

// Execute prints the status.
func (c *statusCommand) Execute([]string) error {
	return c.Options.call(func(ctx context.Context, op *client.Operator) error {
		s, err := op.Status(ctx)
		if err != nil {
			return err
		}
		if c.Options.JSON {
			return c.out.printJSON(s)
		}
		return writeStatus(c.out, s)
	})
}

func writeStatus(out *output, s *api.Status) error {
	out.printf("entry %s  version %d (note %s)  open jobs %d\n", s.Entry, s.Version, s.NoteID, s.OpenJobs)
	out.printf("version read in the store %s ago, known current %s ago\n", age(s.StoreAgeMS), age(s.VouchAgeMS))
	for _, w := range s.Warnings {
		out.printf("WARNING  %s\n", w)
	}
	for _, t := range []*table{entryTable(s), agentTable(s), serviceTable(s)} {
		out.printf("\n")
		if err := t.write(out.stdout); err != nil {
			return err
		}
	}
	return nil
}

func entryTable(s *api.Status) *table {
	t := newTable("ENTRY", "ZONE", "ADDRESS", "VERSION", "SILENT", "NOTE")
	for _, e := range s.Entries {
		self := e.ID == s.Entry
		notes := processNotes(e.Version, s.Version, e.SilentMS)
		if !e.Linked && !self {
			notes = append(notes, "not linked")
		}
		t.add(e.ID, e.Zone, e.Addr, e.Version, age(e.SilentMS), joined(notes))
	}
	return t
}

func agentTable(s *api.Status) *table {
	t := newTable("AGENT", "ZONE", "SERVICE", "SLOTS", "RUNNING", "HELD", "VERSION", "SILENT", "FAILED", "NOTE")
	for _, a := range s.Agents {
		t.add(a.ID, a.Zone, a.Service, a.Slots, a.Running, a.Held, a.Version, age(a.SilentMS),
			fmt.Sprintf("%d%%", a.FailurePct), joined(agentNotes(a, s.Version)))
	}
	return t
}

func agentNotes(a api.AgentView, version uint64) []string {
	notes := processNotes(a.Version, version, a.SilentMS)
	if a.Ejected {
		notes = append(notes, "ejected")
	}
	if a.Leaving {
		notes = append(notes, "leaving")
	}
	if a.FailurePct >= failureThresholdPct {
		notes = append(notes, "failing")
	}
	return notes
}

// processNotes returns the notes that entries and agents share: "behind" if the
// version is behind the one in force, "silent" if nothing was received from the
// process for silentThresholdMS.
func processNotes(version, current uint64, silentMS int64) []string {
	var notes []string
	if version < current {
		notes = append(notes, "behind")
	}
	if silentMS >= silentThresholdMS {
		notes = append(notes, "silent")
	}
	return notes
}

func serviceTable(s *api.Status) *table {
	t := newTable("SERVICE", "WAITING", "RUNNING", "SPARE", "OLDEST", "NOTE")
	for _, v := range s.Services {
		note := ""
		if v.OldestMS >= waitingThresholdMS {
			note = "slow"
		}
		t.add(v.Service, v.Waiting, v.Running, v.Spare, age(v.OldestMS), note)
	}
	return t
}
