package wire

// Kind numbers a message type on the wire. Numbers are never reused.
type Kind uint8

// Message kinds.
const (
	KindAgentHello    Kind = 1
	KindEntryHello    Kind = 2
	KindOffer         Kind = 3
	KindGrant         Kind = 4
	KindResult        Kind = 5
	KindRefuse        Kind = 6
	KindAgentPing     Kind = 7
	KindEntryBeat     Kind = 8
	KindReturnCredits Kind = 9
	KindConfig        Kind = 10
	KindConfigAck     Kind = 11
	KindResume        Kind = 12
	KindResumeReply   Kind = 13
	KindCancel        Kind = 14
	KindFence         Kind = 15
	KindFenceReply    Kind = 16
	KindPeerHello     Kind = 17
	KindPeerBeat      Kind = 18
	KindCreditAsk     Kind = 19
	KindCreditGive    Kind = 20
	KindForward       Kind = 21
	KindForwardReply  Kind = 22
	KindHandover      Kind = 23
	KindHandoverAck   Kind = 24
	KindHeir          Kind = 25
)

func (*AgentHello) kind() Kind    { return KindAgentHello }
func (*EntryHello) kind() Kind    { return KindEntryHello }
func (*Offer) kind() Kind         { return KindOffer }
func (*Grant) kind() Kind         { return KindGrant }
func (*Result) kind() Kind        { return KindResult }
func (*Refuse) kind() Kind        { return KindRefuse }
func (*AgentPing) kind() Kind     { return KindAgentPing }
func (*EntryBeat) kind() Kind     { return KindEntryBeat }
func (*ReturnCredits) kind() Kind { return KindReturnCredits }
func (*Config) kind() Kind        { return KindConfig }
func (*ConfigAck) kind() Kind     { return KindConfigAck }
func (*Resume) kind() Kind        { return KindResume }
func (*ResumeReply) kind() Kind   { return KindResumeReply }
func (*Cancel) kind() Kind        { return KindCancel }
func (*Fence) kind() Kind         { return KindFence }
func (*FenceReply) kind() Kind    { return KindFenceReply }
func (*PeerHello) kind() Kind     { return KindPeerHello }
func (*PeerBeat) kind() Kind      { return KindPeerBeat }
func (*CreditAsk) kind() Kind     { return KindCreditAsk }
func (*CreditGive) kind() Kind    { return KindCreditGive }
func (*Forward) kind() Kind       { return KindForward }
func (*ForwardReply) kind() Kind  { return KindForwardReply }
func (*Handover) kind() Kind      { return KindHandover }
func (*HandoverAck) kind() Kind   { return KindHandoverAck }
func (*Heir) kind() Kind          { return KindHeir }

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
	case KindEntryBeat:
		return &EntryBeat{}
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
	case KindPeerBeat:
		return &PeerBeat{}
	case KindCreditAsk:
		return &CreditAsk{}
	case KindCreditGive:
		return &CreditGive{}
	case KindForward:
		return &Forward{}
	case KindForwardReply:
		return &ForwardReply{}
	case KindHandover:
		return &Handover{}
	case KindHandoverAck:
		return &HandoverAck{}
	case KindHeir:
		return &Heir{}
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
	case KindEntryBeat:
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
	case KindPeerBeat:
		return "peer_beat"
	case KindCreditAsk:
		return "credit_ask"
	case KindCreditGive:
		return "credit_give"
	case KindForward:
		return "forward"
	case KindForwardReply:
		return "forward_reply"
	case KindHandover:
		return "handover"
	case KindHandoverAck:
		return "handover_ack"
	case KindHeir:
		return "heir"
	default:
		return "unknown"
	}
}
