// Package placement decides which waiting task of a service starts on which
// slot credit, when an entry asks its peers for credits and when it passes its
// own on.
//
// It is pure: it sends nothing, starts no goroutine and reads no clock. Times
// are passed in, and what is to be done is returned as a Decision. A Queue is
// not safe for concurrent use.
package placement

import "time"

// JobID names a job within one entry.
type JobID uint64

// Task is one waiting task.
type Task struct {
	Job      JobID
	Index    int // position in the job
	MemoryMB int // declared size; only agents with at least this much are used
}

// Job is what the queue needs to know of a submission.
type Job struct {
	ID       JobID
	Team     string
	Weight   int // of the team, at least 1
	Deadline time.Time
	Tasks    []Task
}

// Credit is the right to start one task on one slot of an agent's run.
type Credit struct {
	Agent       string
	Incarnation uint64
	Slot        int
	Epoch       uint64
}

// Agent is what the queue needs to know of an agent.
type Agent struct {
	ID       string
	Slots    int
	MemoryMB int
	Usable   bool // linked, zone in service, not leaving
}

// Placement is a task to start on a credit.
type Placement struct {
	Task   Task
	Credit Credit
}

// CreditRequest is a request for credits to be sent to a peer.
type CreditRequest struct {
	Peer       string
	Want       int
	OldestWait time.Duration // how long the oldest waiting task has waited
}

// Transfer is a set of credits to be passed on to a peer.
type Transfer struct {
	Peer    string
	Credits []Credit
}

// Decision is what an entry has to send after an event.
type Decision struct {
	Placements []Placement
	Dropped    []JobID // removed from the queue; they started nothing and would miss their deadline
	Requests   []CreditRequest
	Transfers  []Transfer
}

// Times of the exchange of credits between entries.
const (
	askAgainAfter = 300 * time.Millisecond // an unmet ask to the same peer is repeated first
	askAgainMax   = 600 * time.Millisecond
	askNextAfter  = 8 * time.Millisecond   // the next peer is asked if the last gave nothing
	askOtherAgain = 3 * time.Second        // of a peer that is no home of the service
	keepFor       = 100 * time.Millisecond // after a job, before spare credits go to a home
	wantLifetime  = 700 * time.Millisecond // a peer's unmet ask is remembered
	idleAfter     = 2 * time.Second        // without a job, all spare credits are given
)
