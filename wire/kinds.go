package wire

// Kind numbers a message type on the wire. Numbers are never reused.
type Kind uint8

// Message kinds.
const (
	KindAgentHello     Kind = 1
	KindEntryHello     Kind = 2
	KindOffer          Kind = 3
	KindGrant          Kind = 4
	KindResult         Kind = 5
	KindRefuse         Kind = 6
	KindAgentPing      Kind = 7
	KindEntryHeartbeat Kind = 8
	KindReturnCredits  Kind = 9
	KindConfig         Kind = 10
	KindConfigAck      Kind = 11
	KindResume         Kind = 12
	KindResumeReply    Kind = 13
	KindCancel         Kind = 14
	KindFence          Kind = 15
	KindFenceReply     Kind = 16
	KindPeerHello      Kind = 17
	KindPeerHeartbeat  Kind = 18
	KindCreditRequest  Kind = 19
	KindCreditTransfer Kind = 20
	KindForward        Kind = 21
	KindForwardReply   Kind = 22
	KindHandover       Kind = 23
	KindHandoverAck    Kind = 24
	KindSuccessor      Kind = 25

	KindNodeHello       Kind = 30
	KindNodeHeartbeat   Kind = 31
	KindOperatorUpdate  Kind = 32
	KindMembers         Kind = 33
	KindJobSubmit       Kind = 34
	KindJobCancel       Kind = 35
	KindJobEnd          Kind = 36
	KindEndpointReport  Kind = 37
	KindEndpointGone    Kind = 38
	KindRunsKept        Kind = 39
	KindRunOrder        Kind = 40
	KindRunStop         Kind = 41
	KindRunEnd          Kind = 42
	KindShardCounts     Kind = 43
	KindJobsOpen        Kind = 44
	KindOperatorRequest Kind = 45
	KindJobDelete       Kind = 46
	KindJobDeleted      Kind = 47
	KindOperatorRead    Kind = 48
	KindOperatorRows    Kind = 49

	KindEndpointEvidence Kind = 50

	// NewestKind is the highest kind that this build knows. A link ends at a message of
	// an unknown kind.
	NewestKind = KindEndpointEvidence
)

func (*AgentHello) kind() Kind     { return KindAgentHello }
func (*EntryHello) kind() Kind     { return KindEntryHello }
func (*Offer) kind() Kind          { return KindOffer }
func (*Grant) kind() Kind          { return KindGrant }
func (*Result) kind() Kind         { return KindResult }
func (*Refuse) kind() Kind         { return KindRefuse }
func (*AgentPing) kind() Kind      { return KindAgentPing }
func (*EntryHeartbeat) kind() Kind { return KindEntryHeartbeat }
func (*ReturnCredits) kind() Kind  { return KindReturnCredits }
func (*Config) kind() Kind         { return KindConfig }
func (*ConfigAck) kind() Kind      { return KindConfigAck }
func (*Resume) kind() Kind         { return KindResume }
func (*ResumeReply) kind() Kind    { return KindResumeReply }
func (*Cancel) kind() Kind         { return KindCancel }
func (*Fence) kind() Kind          { return KindFence }
func (*FenceReply) kind() Kind     { return KindFenceReply }
func (*PeerHello) kind() Kind      { return KindPeerHello }
func (*PeerHeartbeat) kind() Kind  { return KindPeerHeartbeat }
func (*CreditRequest) kind() Kind  { return KindCreditRequest }
func (*CreditTransfer) kind() Kind { return KindCreditTransfer }
func (*Forward) kind() Kind        { return KindForward }
func (*ForwardReply) kind() Kind   { return KindForwardReply }
func (*Handover) kind() Kind       { return KindHandover }
func (*HandoverAck) kind() Kind    { return KindHandoverAck }
func (*Successor) kind() Kind      { return KindSuccessor }

func (*NodeHello) kind() Kind       { return KindNodeHello }
func (*NodeHeartbeat) kind() Kind   { return KindNodeHeartbeat }
func (*OperatorUpdate) kind() Kind  { return KindOperatorUpdate }
func (*ShardCounts) kind() Kind     { return KindShardCounts }
func (*JobsOpen) kind() Kind        { return KindJobsOpen }
func (*OperatorRequest) kind() Kind { return KindOperatorRequest }
func (*JobDelete) kind() Kind       { return KindJobDelete }
func (*JobDeleted) kind() Kind      { return KindJobDeleted }
func (*OperatorRead) kind() Kind    { return KindOperatorRead }
func (*OperatorRows) kind() Kind    { return KindOperatorRows }
func (*Members) kind() Kind         { return KindMembers }
func (*JobSubmit) kind() Kind       { return KindJobSubmit }
func (*JobCancel) kind() Kind       { return KindJobCancel }
func (*JobEnd) kind() Kind          { return KindJobEnd }
func (*EndpointReport) kind() Kind  { return KindEndpointReport }
func (*EndpointGone) kind() Kind    { return KindEndpointGone }
func (*RunsKept) kind() Kind        { return KindRunsKept }
func (*RunOrder) kind() Kind        { return KindRunOrder }
func (*RunStop) kind() Kind         { return KindRunStop }
func (*RunEnd) kind() Kind          { return KindRunEnd }

func (*EndpointEvidence) kind() Kind { return KindEndpointEvidence }

// newMessage returns an empty message of a kind, or nil for an unknown kind.
func newMessage(k Kind) Message {
	switch k {
	case KindAgentHello:
		return &AgentHello{}
	case KindEntryHello:
		return &EntryHello{}
	case KindOffer:
		return &Offer{}
	case KindGrant:
		return &Grant{}
	case KindResult:
		return &Result{}
	case KindRefuse:
		return &Refuse{}
	case KindAgentPing:
		return &AgentPing{}
	case KindEntryHeartbeat:
		return &EntryHeartbeat{}
	case KindReturnCredits:
		return &ReturnCredits{}
	case KindConfig:
		return &Config{}
	case KindConfigAck:
		return &ConfigAck{}
	case KindResume:
		return &Resume{}
	case KindResumeReply:
		return &ResumeReply{}
	case KindCancel:
		return &Cancel{}
	case KindFence:
		return &Fence{}
	case KindFenceReply:
		return &FenceReply{}
	case KindPeerHello:
		return &PeerHello{}
	case KindPeerHeartbeat:
		return &PeerHeartbeat{}
	case KindCreditRequest:
		return &CreditRequest{}
	case KindCreditTransfer:
		return &CreditTransfer{}
	case KindForward:
		return &Forward{}
	case KindForwardReply:
		return &ForwardReply{}
	case KindHandover:
		return &Handover{}
	case KindHandoverAck:
		return &HandoverAck{}
	case KindSuccessor:
		return &Successor{}
	case KindNodeHello:
		return &NodeHello{}
	case KindNodeHeartbeat:
		return &NodeHeartbeat{}
	case KindOperatorUpdate:
		return &OperatorUpdate{}
	case KindMembers:
		return &Members{}
	case KindJobSubmit:
		return &JobSubmit{}
	case KindJobCancel:
		return &JobCancel{}
	case KindJobEnd:
		return &JobEnd{}
	case KindEndpointReport:
		return &EndpointReport{}
	case KindEndpointGone:
		return &EndpointGone{}
	case KindRunsKept:
		return &RunsKept{}
	case KindRunOrder:
		return &RunOrder{}
	case KindRunStop:
		return &RunStop{}
	case KindRunEnd:
		return &RunEnd{}
	case KindShardCounts:
		return &ShardCounts{}
	case KindJobsOpen:
		return &JobsOpen{}
	case KindOperatorRequest:
		return &OperatorRequest{}
	case KindJobDelete:
		return &JobDelete{}
	case KindJobDeleted:
		return &JobDeleted{}
	case KindOperatorRead:
		return &OperatorRead{}
	case KindOperatorRows:
		return &OperatorRows{}
	case KindEndpointEvidence:
		return &EndpointEvidence{}
	default:
		return nil
	}
}

// KindOf returns the kind of a message.
func KindOf(m Message) Kind { return m.kind() }

// String returns the kind's name.
func (k Kind) String() string {
	switch k {
	case KindAgentHello:
		return "agent_hello"
	case KindEntryHello:
		return "entry_hello"
	case KindOffer:
		return "offer"
	case KindGrant:
		return "grant"
	case KindResult:
		return "result"
	case KindRefuse:
		return "refuse"
	case KindAgentPing:
		return "agent_ping"
	case KindEntryHeartbeat:
		return "entry_beat"
	case KindReturnCredits:
		return "return_credits"
	case KindConfig:
		return "config"
	case KindConfigAck:
		return "config_ack"
	case KindResume:
		return "resume"
	case KindResumeReply:
		return "resume_reply"
	case KindCancel:
		return "cancel"
	case KindFence:
		return "fence"
	case KindFenceReply:
		return "fence_reply"
	case KindPeerHello:
		return "peer_hello"
	case KindPeerHeartbeat:
		return "peer_beat"
	case KindCreditRequest:
		return "credit_ask"
	case KindCreditTransfer:
		return "credit_give"
	case KindForward:
		return "forward"
	case KindForwardReply:
		return "forward_reply"
	case KindHandover:
		return "handover"
	case KindHandoverAck:
		return "handover_ack"
	case KindSuccessor:
		return "heir"
	case KindNodeHello:
		return "node_hello"
	case KindNodeHeartbeat:
		return "node_beat"
	case KindOperatorUpdate:
		return "operator_update"
	case KindMembers:
		return "members"
	case KindJobSubmit:
		return "job_submit"
	case KindJobCancel:
		return "job_cancel"
	case KindJobEnd:
		return "job_end"
	case KindEndpointReport:
		return "endpoint_report"
	case KindEndpointGone:
		return "endpoint_gone"
	case KindRunsKept:
		return "runs_kept"
	case KindRunOrder:
		return "run_order"
	case KindRunStop:
		return "run_stop"
	case KindRunEnd:
		return "run_end"
	case KindShardCounts:
		return "shard_counts"
	case KindJobsOpen:
		return "jobs_open"
	case KindOperatorRequest:
		return "operator_request"
	case KindJobDelete:
		return "job_delete"
	case KindJobDeleted:
		return "job_deleted"
	case KindOperatorRead:
		return "operator_read"
	case KindOperatorRows:
		return "operator_rows"
	case KindEndpointEvidence:
		return "endpoint_evidence"
	default:
		return "unknown"
	}
}
