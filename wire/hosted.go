package wire

import (
	"time"

	"bergamotwing.example/dispatch"
)

// Messages between the processes, entries and agents, that run on the hosting
// platform.

// Roles of a node.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// NodeHello is the first message of each side of a link.
type NodeHello struct {
	Name        string      `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
	Role        string      `cbor:"3,keyasint"`
	Zone        string      `cbor:"4,keyasint"`
	Addr        string      `cbor:"5,keyasint,omitempty"` // IP:port of the listener for links; entries only
	Cores       float64     `cbor:"6,keyasint,omitempty"` // processor time that the process may use, in cores; entries only
	LinkMbps    float64     `cbor:"7,keyasint,omitempty"` // bandwidth of the host; entries only
	NewestKind  Kind        `cbor:"8,keyasint,omitempty"` // highest kind of message that the sender knows; 0: as if KindShardCounts
	Link        uint64      `cbor:"9,keyasint,omitempty"` // number of this link, which rises from 1 in each incarnation; 0: the sender's build numbers none
}

// NodeHeartbeat is the heartbeat between entries, and between entries and agents.
type NodeHeartbeat struct {
	Clock        time.Duration `cbor:"1,keyasint"`           // reading of the sender's clock
	Echo         time.Duration `cbor:"2,keyasint"`           // newest Clock that the sender has received from the receiver; 0: none
	StoreVersion uint64        `cbor:"3,keyasint"`           // of the operator's state that the sender has; 0: none
	Draining     bool          `cbor:"4,keyasint,omitempty"` // takes no new work
	Endpoints    int           `cbor:"5,keyasint,omitempty"` // number of available endpoints that the sender may place tasks on; entries only
	Home         bool          `cbor:"6,keyasint,omitempty"` // the sender places tasks; entries only
	Waiting      int           `cbor:"7,keyasint,omitempty"` // number of jobs with tasks that wait for capacity at the sender; entries only
	// ReceiverHome says that the sender takes the receiver for the home of a shard, which
	// the receiver may not know, and so expects frequent heartbeats; between entries only.
	ReceiverHome bool `cbor:"8,keyasint,omitempty"`
	// StoreLost says that the sender's latest call of the store has failed; between entries
	// only. Builds that do not send it leave it false.
	StoreLost bool `cbor:"9,keyasint,omitempty"`
}

// Member returns the sender as a member.
func (h *NodeHello) Member() Member {
	return Member{Name: h.Name, Addr: h.Addr, Cores: h.Cores, LinkMbps: h.LinkMbps}
}

// OperatorUpdate carries the operator's state to a process that may have an older
// version.
type OperatorUpdate struct {
	State dispatch.OperatorState `cbor:"1,keyasint"`
}

// OperatorRequest asks an entry for the operator's state, which it sends as an
// OperatorUpdate.
type OperatorRequest struct{}

// OperatorRead asks an agent to read the changes of the operator's rows from the store
// for an entry that the store does not serve. The agent answers with OperatorRows.
type OperatorRead struct {
	After uint64        `cbor:"1,keyasint"` // version of the store after which changes are wanted; 0: all rows
	Wait  time.Duration `cbor:"2,keyasint"` // for a change, if there is none yet
	// Cancelled asks for all rows of the table of cancelled jobs instead.
	Cancelled bool `cbor:"3,keyasint,omitempty"`
}

// OperatorRows answers an OperatorRead.
type OperatorRows struct {
	After   uint64     `cbor:"1,keyasint"`           // of the request
	Version uint64     `cbor:"2,keyasint"`           // of the store when it was read
	Whole   bool       `cbor:"3,keyasint,omitempty"` // Rows are all rows, not changes
	Failed  bool       `cbor:"4,keyasint,omitempty"` // nothing was read
	Rows    []StoreRow `cbor:"5,keyasint,omitempty"` // at most one for each key

	Cancelled bool          `cbor:"6,keyasint,omitempty"` // the rows are those of the table of cancelled jobs
	Now       time.Duration `cbor:"7,keyasint,omitempty"` // by the store's clock, for cancelled jobs
}

// StoreRow is a row as the store holds it.
type StoreRow struct {
	Key     string `cbor:"1,keyasint"`
	Value   []byte `cbor:"2,keyasint,omitempty"`
	Version uint64 `cbor:"3,keyasint"`
	Removed bool   `cbor:"4,keyasint,omitempty"`
}

// Member is an entry as the other processes know it. The entry's row in the store is
// JSON under the same field names.
type Member struct {
	Name     string  `cbor:"1,keyasint"`
	Addr     string  `cbor:"2,keyasint"`
	Cores    float64 `cbor:"3,keyasint,omitempty"` // processor time that it may use, in cores
	LinkMbps float64 `cbor:"4,keyasint,omitempty"` // bandwidth of its host
}

// Members lists the entries known to the sender.
type Members struct {
	Entries []Member `cbor:"1,keyasint"`
}

// JobSubmit passes a job to the entry that holds the queue of its shard.
type JobSubmit struct {
	Job        dispatch.Job   `cbor:"1,keyasint"`
	Route      dispatch.Route `cbor:"2,keyasint"`
	Wait       time.Duration  `cbor:"3,keyasint"` // time left until the client stops waiting
	MayHaveRun bool           `cbor:"4,keyasint,omitempty"`
	Shard      int            `cbor:"5,keyasint,omitempty"` // of the service, from 0
	Echo       time.Duration  `cbor:"6,keyasint,omitempty"` // newest clock reading that the sender has received from the receiver; 0: from a build that sends none
	// Request numbers the clients' requests of the sender's incarnation, from 1. A request
	// that is submitted again keeps its number. 0: from a build that sends none.
	Request uint64 `cbor:"7,keyasint,omitempty"`
	// Elsewhere is a shard, from 1, to which the job is to be submitted if the receiver does
	// not have it, since jobs wait at the receiver and not there. 0: none.
	Elsewhere int  `cbor:"8,keyasint,omitempty"`
	Stays     bool `cbor:"9,keyasint,omitempty"` // at this shard: another one has refused it, or all name each other
}

// ShardCounts holds the number of shards of each service, as the sender has it.
// Services that are not in Counts have one shard.
type ShardCounts struct {
	Counts map[string]int `cbor:"1,keyasint"`
}

// JobCancel cancels a job: its client has disconnected or cancelled it, or the
// sender stops.
type JobCancel struct {
	Job string `cbor:"1,keyasint"`
}

// JobsOpen lists, on a new link, the jobs whose outcomes the sender still waits for at
// the receiver. The receiver cancels the sender's other jobs.
type JobsOpen struct {
	Jobs []string `cbor:"1,keyasint"`
	// CancelsKnown says that the sender knows all acknowledged cancels, and has sent those
	// that it keeps before this message.
	CancelsKnown bool `cbor:"2,keyasint,omitempty"`
}

// JobEnd answers a JobSubmit. The code StartTooLate says that this submission came too
// late and has started nothing; it may be sent again.
type JobEnd struct {
	Job     string           `cbor:"1,keyasint"`
	Outcome dispatch.Outcome `cbor:"2,keyasint"`
	Shard   int              `cbor:"3,keyasint,omitempty"` // of the submission, from 1; 0: from a build that does not say
	Request uint64           `cbor:"4,keyasint,omitempty"` // of the submission; 0: from a build that does not say
	// Elsewhere is the shard, from 1, to which the job is to be submitted instead; the code
	// is Overloaded then. 0: none.
	Elsewhere int `cbor:"5,keyasint,omitempty"`
}

// JobDelete cancels a job for its client, whichever entry has submitted it. The receiver
// answers later submissions of the job as cancelled.
type JobDelete struct {
	Job    string `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"` // of the sender's incarnation, repeated in the answer
	// Host and Path are those of the client's request if the sender has no route for it.
	// They have to be those of the route with which the job was submitted.
	Host string        `cbor:"3,keyasint,omitempty"`
	Path string        `cbor:"4,keyasint,omitempty"`
	Keep time.Duration `cbor:"5,keyasint,omitempty"` // how long submissions of the job are answered as cancelled; 0: the receiver's usual time
}

// JobDeleted answers a JobDelete.
type JobDeleted struct {
	Number    uint64 `cbor:"1,keyasint"`
	Cancelled bool   `cbor:"2,keyasint,omitempty"` // the job was open at the sender
}

// EndpointReport reports the status of an endpoint to an entry.
type EndpointReport struct {
	Status dispatch.EndpointStatus `cbor:"1,keyasint"`
	// Evidence is the last word of a home about this lifetime of the endpoint, and
	// EvidenceAge how old it is. Nil: there is none, or it is of no use any more, or the
	// sender's build keeps none.
	Evidence    *dispatch.EndpointEvidence `cbor:"2,keyasint,omitempty"`
	EvidenceAge time.Duration              `cbor:"3,keyasint,omitempty"`
}

// EndpointEvidence tells an agent what a home knows of its endpoint, for the agent to repeat
// to the next home.
type EndpointEvidence struct {
	Endpoint dispatch.EndpointID       `cbor:"1,keyasint"`
	Evidence dispatch.EndpointEvidence `cbor:"2,keyasint"`
}

// EndpointGone reports to an entry that a lifetime of an endpoint is over.
type EndpointGone struct {
	Endpoint dispatch.EndpointID `cbor:"1,keyasint"`
}

// RunsKept lists, on a new link, the orders whose runs the agent still has for the
// entry, and the lifetimes of endpoints that it has. Builds that do not list the
// lifetimes leave Endpoints nil.
type RunsKept struct {
	Orders    []uint64              `cbor:"1,keyasint"`
	Endpoints []dispatch.EndpointID `cbor:"2,keyasint"`
}

// RunOrder asks an agent for runs of tasks of one job at one endpoint.
type RunOrder struct {
	Endpoint dispatch.EndpointID `cbor:"1,keyasint"`
	Echo     time.Duration       `cbor:"2,keyasint"` // newest clock reading that the sender has received from the agent
	Payload  string              `cbor:"3,keyasint"`
	Runs     []OrderedRun        `cbor:"4,keyasint"`
}

// OrderedRun is one run of a RunOrder.
type OrderedRun struct {
	Run   dispatch.RunRef    `cbor:"1,keyasint"`
	Need  dispatch.Resources `cbor:"2,keyasint"`
	Order uint64             `cbor:"3,keyasint"` // unique among the sender's orders
}

// RunStop asks an agent to end runs.
type RunStop struct {
	Endpoint dispatch.EndpointID `cbor:"1,keyasint"`
	Runs     []dispatch.RunRef   `cbor:"2,keyasint"`
	// Orders holds the order of each run if the runs were ordered from an earlier
	// incarnation of the agent, which may have sent their starts.
	Orders []uint64 `cbor:"3,keyasint,omitempty"`
}

// RunEnd reports to an entry that runs are over, or never began.
type RunEnd struct {
	Ends []EndedRun `cbor:"1,keyasint"`
}

// EndedRun is one run of a RunEnd.
type EndedRun struct {
	Run    dispatch.RunRef    `cbor:"1,keyasint"`
	Reason dispatch.EndReason `cbor:"2,keyasint"`
	Age    time.Duration      `cbor:"3,keyasint"` // from the order to the end, at the agent
	Order  uint64             `cbor:"4,keyasint"`
}
