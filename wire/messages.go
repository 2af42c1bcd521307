// Package wire defines the messages between the processes of a deployment and
// the links that carry them: WebSocket connections whose binary frames are
// sequences of CBOR items.
//
// The package holds no policy: packages entry and agent decide what a message leads
// to.
package wire

import (
	"bergamotwing.example/release"
	"bergamotwing.example/result"
)

// Incarnation is the random number that a process draws at its start. It tells the
// incarnations of a process apart: no two of them share one.
type Incarnation uint64

// TicketID names one submission: the entry incarnation that issued the ticket
// and its sequence number there.
type TicketID struct {
	Entry       string      `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
	Seq         uint64      `cbor:"3,keyasint"`
}

// TaskRef names one task of a submission.
type TaskRef struct {
	Ticket TicketID `cbor:"1,keyasint"`
	Index  int      `cbor:"2,keyasint"` // position in the job, from 0
}

// SlotCredit is the right to start one task on one free slot of an agent. The
// epoch of a slot increases each time its credit is spent, returned or taken back,
// so an old credit is refused.
type SlotCredit struct {
	Slot  int    `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
}

// AgentCredit is a slot credit together with the agent incarnation that issued it.
type AgentCredit struct {
	Agent       string      `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
	Credit      SlotCredit  `cbor:"3,keyasint"`
}

// Confirmation is an entry's statement that Version was the configuration in force at
// a moment not earlier than the agent's own clock reading Echo. The agent may
// start tasks until Echo plus its permission lifetime.
type Confirmation struct {
	Version uint64 `cbor:"1,keyasint"`
	Echo    int64  `cbor:"2,keyasint"` // milliseconds on the agent's monotonic clock; 0 is none
}

// Peer is one entry as the others know it.
type Peer struct {
	ID          string      `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
	Addr        string      `cbor:"3,keyasint"` // IP:port of the listener for links
	Zone        string      `cbor:"4,keyasint"`
	Leaving     bool        `cbor:"5,keyasint,omitempty"`
}

// Message is implemented by every message type.
type Message interface{ kind() Kind }

// AgentHello is the first message of an agent on a link that the agent dialed.
type AgentHello struct {
	Agent       string      `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
	Zone        string      `cbor:"3,keyasint"`
	Service     string      `cbor:"4,keyasint"`
	Slots       int         `cbor:"5,keyasint"`
	MemoryMB    int         `cbor:"6,keyasint"` // largest declared size a task may have
	Version     uint64      `cbor:"7,keyasint"` // configuration version the agent holds
	Clock       int64       `cbor:"8,keyasint"` // milliseconds on the agent's monotonic clock, as in its later messages
	Leaving     bool        `cbor:"9,keyasint,omitempty"`
	// State is the newest configuration the agent holds. An entry that starts while
	// the store is down gets it from here.
	State *release.State `cbor:"10,keyasint,omitempty"`
}

// EntryHello is an entry's answer to AgentHello and PeerHello.
type EntryHello struct {
	Self         Peer           `cbor:"1,keyasint"`
	Peers        []Peer         `cbor:"2,keyasint"`
	State        *release.State `cbor:"3,keyasint,omitempty"`
	Holds        []release.Hold `cbor:"4,keyasint,omitempty"`
	Confirmation Confirmation   `cbor:"5,keyasint"`
	Refused      result.Code    `cbor:"6,keyasint,omitempty"` // not 0: the link is refused
}

// Offer gives slot credits to an entry.
type Offer struct {
	Credits []SlotCredit `cbor:"1,keyasint"`
	Clock   int64        `cbor:"2,keyasint"`
}

// Grant asks an agent to start one task on the slot of a credit.
type Grant struct {
	Task         TaskRef      `cbor:"1,keyasint"`
	Attempt      int          `cbor:"2,keyasint"` // from 1; counts placements of the task
	Credit       SlotCredit   `cbor:"3,keyasint"`
	Payload      []byte       `cbor:"4,keyasint"`
	Digest       [16]byte     `cbor:"5,keyasint"` // of the whole job, compared at settlement
	StartInMS    int64        `cbor:"6,keyasint"` // refuse if it cannot start within this
	TimeoutMS    int64        `cbor:"7,keyasint"` // run at most this long
	Idempotent   bool         `cbor:"8,keyasint,omitempty"`
	Team         string       `cbor:"9,keyasint,omitempty"`
	Confirmation Confirmation `cbor:"10,keyasint"`
	Held         []SlotCredit `cbor:"11,keyasint,omitempty"` // other credits of this agent that the entry still holds
}

// Result reports a finished task and offers its slot back to the entry.
type Result struct {
	Task    TaskRef     `cbor:"1,keyasint"`
	Attempt int         `cbor:"2,keyasint"`
	Code    result.Code `cbor:"3,keyasint"` // OK, TaskFailed, EndpointTimeout, ResultTooLarge, Cancelled
	Body    []byte      `cbor:"4,keyasint"`
	RunUS   int64       `cbor:"5,keyasint"` // run time in microseconds
	Credit  *SlotCredit `cbor:"6,keyasint,omitempty"`
	Clock   int64       `cbor:"7,keyasint"`
	// FailurePct is the share of the endpoint's recent tasks that failed, 0-100.
	FailurePct int `cbor:"8,keyasint,omitempty"`
}

// Refuse reports that a grant was not started and never will be.
type Refuse struct {
	Task    TaskRef     `cbor:"1,keyasint"`
	Attempt int         `cbor:"2,keyasint"`
	Code    result.Code `cbor:"3,keyasint"` // a 5xx code
	Credit  *SlotCredit `cbor:"4,keyasint,omitempty"`
	Clock   int64       `cbor:"5,keyasint"`
}

// AgentPing reports the agent's condition, and asks for a fresh confirmation when no
// traffic has brought one.
type AgentPing struct {
	Clock      int64  `cbor:"1,keyasint"`
	Version    uint64 `cbor:"2,keyasint"`
	Leaving    bool   `cbor:"3,keyasint,omitempty"`
	FailurePct int    `cbor:"4,keyasint,omitempty"`
	Busy       int    `cbor:"5,keyasint,omitempty"` // running tasks
}

// EntryHeartbeat renews an agent's permission and the leases of the credits that
// the entry holds.
type EntryHeartbeat struct {
	Confirmation Confirmation `cbor:"1,keyasint"`
	Held         []SlotCredit `cbor:"2,keyasint,omitempty"`
}

// ReturnCredits returns unused credits to their agent.
type ReturnCredits struct {
	Credits []SlotCredit `cbor:"1,keyasint"`
}

// Config carries a configuration, the holds whose notes are not durable yet, and
// the entries known to the sender.
type Config struct {
	State *release.State `cbor:"1,keyasint,omitempty"`
	Holds []release.Hold `cbor:"2,keyasint,omitempty"`
	Peers []Peer         `cbor:"3,keyasint,omitempty"`
}

// ConfigAck says which version a process now has in force.
type ConfigAck struct {
	Version uint64 `cbor:"1,keyasint"`
}

// Resume lists, after a reconnect, the grants of which the entry does not know
// whether they were started or how they ended.
type Resume struct {
	Tasks []TaskRef `cbor:"1,keyasint"`
}

// TaskState is the state of a task at an agent.
type TaskState int

// Values of TaskState.
const (
	TaskNeverSeen TaskState = iota // not started; a later grant for the task is refused unless the task is placed anew
	TaskRunning
	TaskFinished // the result follows as a Result message
	TaskForgotten
)

// ResumeReply answers Resume, in the same order. Results of finished tasks are
// sent as Result messages before it.
type ResumeReply struct {
	Tasks  []TaskRef   `cbor:"1,keyasint"`
	States []TaskState `cbor:"2,keyasint"`
}

// Cancel ends the tasks of a submission that are still running.
type Cancel struct {
	Ticket TicketID `cbor:"1,keyasint"`
}

// Fence makes an agent refuse every later grant for the tickets, for good.
type Fence struct {
	Request uint64     `cbor:"1,keyasint"`
	Tickets []TicketID `cbor:"2,keyasint"`
}

// StartedTask is what an agent reports of one started task at a settlement.
type StartedTask struct {
	Index    int         `cbor:"1,keyasint"`
	Finished bool        `cbor:"2,keyasint"`
	Held     bool        `cbor:"3,keyasint"` // Code and Body are still held
	Code     result.Code `cbor:"4,keyasint"`
	Body     []byte      `cbor:"5,keyasint"`
	Digest   [16]byte    `cbor:"6,keyasint"`
}

// FenceReply answers Fence: for each ticket, the tasks the agent ever started.
type FenceReply struct {
	Request uint64          `cbor:"1,keyasint"`
	Started [][]StartedTask `cbor:"2,keyasint"` // same order as Fence.Tickets
}

// PeerHello is the first message of an entry on a link to another entry.
type PeerHello struct {
	Self  Peer           `cbor:"1,keyasint"`
	Peers []Peer         `cbor:"2,keyasint"`
	State *release.State `cbor:"3,keyasint,omitempty"`
}

// PeerHeartbeat is the heartbeat between entries.
type PeerHeartbeat struct {
	Clock   int64  `cbor:"1,keyasint"` // sender's monotonic milliseconds
	Echo    int64  `cbor:"2,keyasint"` // newest Clock received from the other side; 0 is none
	Version uint64 `cbor:"3,keyasint"` // configuration version of the sender
	// Confirmation says that Version was in force at a moment not earlier than the
	// receiver's clock reading Confirmation.Echo.
	Confirmation Confirmation   `cbor:"4,keyasint"`
	Holds        []release.Hold `cbor:"5,keyasint,omitempty"`
	IdleCredits  []ServiceCount `cbor:"6,keyasint,omitempty"`
	Fast         bool           `cbor:"7,keyasint,omitempty"` // the sender cannot read the store and needs frequent heartbeats
	// Leaving says that the sender is stopping and issues no more tickets.
	Leaving bool `cbor:"8,keyasint,omitempty"`
	// Probe asks for a heartbeat at once, as a sign of life.
	Probe bool `cbor:"9,keyasint,omitempty"`
}

// ServiceCount is a number of credits for one service.
type ServiceCount struct {
	Service string `cbor:"1,keyasint"`
	Count   int    `cbor:"2,keyasint"`
}

// CreditRequest asks a peer for credits. What the peer cannot transfer yet stays a
// pending request there.
type CreditRequest struct {
	Service string `cbor:"1,keyasint"`
	Want    int    `cbor:"2,keyasint"` // 0 withdraws an earlier request
	// OldestMS is how long the sender's oldest waiting task has waited.
	OldestMS    int64          `cbor:"4,keyasint"`
	IdleCredits []ServiceCount `cbor:"3,keyasint,omitempty"`
}

// CreditTransfer transfers credits to a peer.
type CreditTransfer struct {
	Service     string         `cbor:"1,keyasint"`
	Credits     []AgentCredit  `cbor:"2,keyasint"` // empty: no surplus, the request stays pending
	IdleCredits []ServiceCount `cbor:"3,keyasint,omitempty"`
}

// Forward passes a caller's request on to the entry that issued its ticket.
type Forward struct {
	Request uint64 `cbor:"1,keyasint"`
	Method  string `cbor:"2,keyasint"`
	Ticket  string `cbor:"3,keyasint"`
	Body    []byte `cbor:"4,keyasint"`
}

// ForwardReply answers Forward.
type ForwardReply struct {
	Request uint64 `cbor:"1,keyasint"`
	Body    []byte `cbor:"3,keyasint"` // the answer as JSON
}

// SettledJob is the final answer of one ticket.
type SettledJob struct {
	Seq     uint64      `cbor:"1,keyasint"`
	Digest  [16]byte    `cbor:"2,keyasint"`
	Code    result.Code `cbor:"3,keyasint"`
	Detail  string      `cbor:"4,keyasint,omitempty"`
	Started int         `cbor:"5,keyasint"`
	Tasks   int         `cbor:"6,keyasint"`
	Results [][]byte    `cbor:"7,keyasint,omitempty"`
}

// Handover transfers the complete ledger of a stopping entry to a peer, in parts.
// Last marks the last part; from then on the peer answers for every ticket of
// Incarnation.
type Handover struct {
	Entry       string       `cbor:"1,keyasint"`
	Incarnation Incarnation  `cbor:"2,keyasint"`
	Jobs        []SettledJob `cbor:"3,keyasint"`
	Last        bool         `cbor:"4,keyasint"`
}

// HandoverAck acknowledges a complete Handover.
type HandoverAck struct {
	Incarnation Incarnation `cbor:"1,keyasint"`
}

// Successor tells the entries which entry answers for the tickets of an incarnation
// that stopped.
type Successor struct {
	Incarnation          Incarnation `cbor:"1,keyasint"`
	SuccessorID          string      `cbor:"2,keyasint"`
	SuccessorIncarnation Incarnation `cbor:"3,keyasint"`
}
