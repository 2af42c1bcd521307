// Package api holds the paths and messages that callers and operators exchange
// with an entry over HTTP. The entry and the public client share it.
package api

import (
	"bergamotwing.example/release"
	"bergamotwing.example/result"
)

// Paths of the callers' and the operators' listeners.
const (
	PathTickets = "/v1/tickets" // POST ?count=N&service=S: Tickets of an entry that places S's tasks
	PathJobs    = "/v1/jobs"    // POST, PUT|GET|DELETE /{ticket}: Answer
	PathHealth  = "/healthz"    // callers: 200 ready, 503 not
	PathNotes   = "/v1/notes"   // operators: POST a note, GET the list, GET /{id}
	PathZones   = "/v1/zones"   // operators: GET, POST /{zone}/out and /{zone}/back
	PathStatus  = "/v1/status"  // operators: Status
)

// Tickets answers a request for tickets.
type Tickets struct {
	Tickets []string `json:"tickets"`
}

// Task is one task of a job.
type Task struct {
	Payload    []byte `json:"payload"`            // base64 in JSON
	MemoryMB   int    `json:"memoryMb,omitempty"` // declared size, a hint
	RunMS      int64  `json:"runMs,omitempty"`    // declared run time, a hint
	Idempotent bool   `json:"idempotent,omitempty"`
}

// Job is a submission.
type Job struct {
	Service    string `json:"service"`
	Team       string `json:"team,omitempty"`
	DeadlineMS int64  `json:"deadlineMs"` // from the entry's receipt of the job
	Tasks      []Task `json:"tasks"`
}

// Answer is the one answer to a job: complete (code 0, a result for each task in
// order) or failed (no results). It is also the body of every refusal.
type Answer struct {
	Code    result.Code `json:"code"`
	Name    string      `json:"name"`
	Detail  string      `json:"detail,omitempty"`
	Ticket  string      `json:"ticket,omitempty"`
	Running bool        `json:"running,omitempty"` // GET only: no answer yet
	Started int         `json:"started"`           // tasks that started
	Tasks   int         `json:"tasks"`
	Results [][]byte    `json:"results,omitempty"` // base64 in JSON
}

// NoteAnswer answers an operator's note or zone command.
type NoteAnswer struct {
	Code        result.Code `json:"code"`
	Name        string      `json:"name"`
	Detail      string      `json:"detail,omitempty"`
	NoteID      string      `json:"noteId"`
	Version     uint64      `json:"version"`               // in force after the note
	ConflictsAt string      `json:"conflictsAt,omitempty"` // id of the note that came first
	InForce     []string    `json:"inForce,omitempty"`     // processes that acknowledged the version
	Missing     []string    `json:"missing,omitempty"`     // processes that have not
}

// NoteView is a note with where it is in force.
type NoteView struct {
	Note    release.Note `json:"note"`
	Version uint64       `json:"version"`
	InForce []string     `json:"inForce"`
	Missing []string     `json:"missing"`
}

// Notes lists notes, newest first.
type Notes struct {
	Notes []NoteView `json:"notes"`
}

// ZoneView is a zone with the agents and slots there.
type ZoneView struct {
	Zone      string `json:"zone"`
	InService bool   `json:"inService"`
	Held      bool   `json:"held"` // out of service by an order that is not durable yet
	Agents    int    `json:"agents"`
	Slots     int    `json:"slots"`
}

// Zones lists zones.
type Zones struct {
	Version uint64     `json:"version"`
	Zones   []ZoneView `json:"zones"`
}

// AgentView is an agent as one entry sees it.
type AgentView struct {
	ID         string `json:"id"`
	Zone       string `json:"zone"`
	Service    string `json:"service"`
	Slots      int    `json:"slots"`
	Held       int    `json:"held"`    // credits this entry holds there
	Running    int    `json:"running"` // tasks of this entry there
	Version    uint64 `json:"version"`
	SilentMS   int64  `json:"silentMs"` // time since the last message from it
	FailurePct int    `json:"failurePct"`
	Ejected    bool   `json:"ejected"`
	Leaving    bool   `json:"leaving"`
}

// EntryView is an entry as one entry sees it.
type EntryView struct {
	ID       string `json:"id"`
	Zone     string `json:"zone"`
	Addr     string `json:"addr"`
	Version  uint64 `json:"version"`
	SilentMS int64  `json:"silentMs"`
	Linked   bool   `json:"linked"`
}

// ServiceView is a service's queue at one entry.
type ServiceView struct {
	Service  string `json:"service"`
	Waiting  int    `json:"waiting"`
	Running  int    `json:"running"`
	Spare    int    `json:"spare"` // credits held and not in use
	OldestMS int64  `json:"oldestMs"`
}

// Status is the deployment as one entry sees it.
type Status struct {
	Entry      string         `json:"entry"`
	Version    uint64         `json:"version"`
	NoteID     string         `json:"noteId"`
	StoreAgeMS int64          `json:"storeAgeMs"` // since the version was last read in the store; -1 never
	VouchAgeMS int64          `json:"vouchAgeMs"` // since the version was last known current; -1 never
	Holds      []release.Hold `json:"holds,omitempty"`
	OpenJobs   int            `json:"openJobs"`
	Members    []string       `json:"members,omitempty"` // ids of the entries that majorities are counted of
	Entries    []EntryView    `json:"entries"`
	Agents     []AgentView    `json:"agents"`
	Services   []ServiceView  `json:"services"`
	Warnings   []string       `json:"warnings,omitempty"`
}
