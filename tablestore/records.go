package tablestore

// EntryRecord is the row that an entry keeps about itself under PrefixEntries.
type EntryRecord struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
	Addr        string `json:"addr"` // IP:port of the listener for links
	Zone        string `json:"zone"`
	RenewedAt   int64  `json:"renewed"` // Unix seconds
}

// AgentRecord is the row that an agent writes once per incarnation, before it starts
// any task.
type AgentRecord struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
	Zone        string `json:"zone"`
	Service     string `json:"service"`
	StartedAt   int64  `json:"booted"` // Unix seconds
	// Replaced lists earlier incarnations of the same agent with the Unix second
	// of their replacement. What they started is no longer known.
	Replaced []ReplacedIncarnation `json:"replaced,omitempty"`
	// CleanStopAt is the Unix second at which the agent stopped with no task running; 0 while it may run.
	CleanStopAt int64 `json:"left,omitempty"`
}

// ReplacedIncarnation is an earlier incarnation of an agent.
type ReplacedIncarnation struct {
	Incarnation uint64 `json:"incarnation"`
	At          int64  `json:"at"`
	Clean       bool   `json:"clean"` // the incarnation had stopped with no task running
}

// FenceRecord lists tickets that are settled for good. Agents that start up later
// read all fence records before they start any task.
type FenceRecord struct {
	Tickets []TicketKey `json:"tickets"`
	At      int64       `json:"at"` // Unix seconds
}

// TicketKey identifies a ticket in the table.
type TicketKey struct {
	Entry       string `json:"entry"`
	Incarnation uint64 `json:"incarnation"`
	Seq         uint64 `json:"seq"`
}
