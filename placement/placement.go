// Package placement decides which waiting task of a service starts on which
// slot credit, when an entry requests credits from its peers and when it
// transfers its own to them.
//
// The package has no side effects: it sends nothing, starts no goroutine and
// reads no clock. Times are passed in, and the caller carries out the returned
// Decision. A Queue is not safe for concurrent use.
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

// Job holds what the queue needs to know about a submitted job.
type Job struct {
	ID       JobID
	Team     string
	Weight   int // of the team, at least 1
	Deadline time.Time
	Tasks    []Task
}

// Credit is the right to start one task on one slot of an agent's incarnation.
type Credit struct {
	Agent       string
	Incarnation uint64
	Slot        int
	Epoch       uint64
}

// Agent holds what the queue needs to know about an agent.
type Agent struct {
	ID       string
	Slots    int
	MemoryMB int
	Usable   bool // linked, zone in service, not leaving
}

// Placement pairs a task with the credit that it is to start on.
type Placement struct {
	Task   Task
	Credit Credit
}

// CreditRequest asks a peer for credits. Want 0 withdraws an earlier request.
type CreditRequest struct {
	Peer       string
	Want       int
	OldestWait time.Duration // how long the oldest waiting task has waited
}

// Transfer is a set of credits to be sent to a peer.
type Transfer struct {
	Peer    string
	Credits []Credit
}

// Decision lists what an entry has to send after an event.
type Decision struct {
	Placements []Placement
	Dropped    []JobID // jobs removed from the queue: none of their tasks has started, and they would miss their deadline
	Requests   []CreditRequest
	Transfers  []Transfer
}

// Times of the exchange of credits between entries.
const (
	requestRetryMin = 300 * time.Millisecond // before an unmet request to a peer is first repeated
	requestRetryMax = 600 * time.Millisecond // upper limit for the doubled time between repeats
	nextPeerAfter   = 8 * time.Millisecond   // between requests: the next peer is asked if the last one sent no credits
	nonHomeRetry    = 3 * time.Second        // between requests to a peer that is not a home entry of the service
	surplusAfter    = 100 * time.Millisecond // after the last job arrived, before idle credits go to a home entry
	requestLifetime = 700 * time.Millisecond // how long a peer's unmet request is remembered
	idleAfter       = 2 * time.Second        // without a new job, before a peer's request gets all idle credits
)
