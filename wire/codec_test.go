package wire

import (
	"errors"
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"bergamotwing.example/result"
)

// generators makes a filled message of each kind.
var generators = map[Kind]*rapid.Generator[Message]{
	KindAgentHello:     messages[AgentHello](),
	KindEntryHello:     messages[EntryHello](),
	KindOffer:          messages[Offer](),
	KindGrant:          messages[Grant](),
	KindResult:         messages[Result](),
	KindRefuse:         messages[Refuse](),
	KindAgentPing:      messages[AgentPing](),
	KindEntryHeartbeat: messages[EntryHeartbeat](),
	KindReturnCredits:  messages[ReturnCredits](),
	KindConfig:         messages[Config](),
	KindConfigAck:      messages[ConfigAck](),
	KindResume:         messages[Resume](),
	KindResumeReply:    messages[ResumeReply](),
	KindCancel:         messages[Cancel](),
	KindFence:          messages[Fence](),
	KindFenceReply:     fenceReplies(),
	KindPeerHello:      messages[PeerHello](),
	KindPeerHeartbeat:  messages[PeerHeartbeat](),
	KindCreditRequest:  messages[CreditRequest](),
	KindCreditTransfer: messages[CreditTransfer](),
	KindForward:        messages[Forward](),
	KindForwardReply:   messages[ForwardReply](),
	KindHandover:       messages[Handover](),
	KindHandoverAck:    messages[HandoverAck](),
	KindSuccessor:      messages[Successor](),

	KindNodeHello:       messages[NodeHello](),
	KindNodeHeartbeat:   messages[NodeHeartbeat](),
	KindOperatorUpdate:  messages[OperatorUpdate](),
	KindMembers:         messages[Members](),
	KindJobSubmit:       messages[JobSubmit](),
	KindJobCancel:       messages[JobCancel](),
	KindJobEnd:          jobEnds(),
	KindEndpointReport:  messages[EndpointReport](),
	KindEndpointGone:    messages[EndpointGone](),
	KindRunsKept:        messages[RunsKept](),
	KindRunOrder:        messages[RunOrder](),
	KindRunStop:         messages[RunStop](),
	KindRunEnd:          messages[RunEnd](),
	KindShardCounts:     messages[ShardCounts](),
	KindJobsOpen:        messages[JobsOpen](),
	KindOperatorRequest: messages[OperatorRequest](),
	KindJobDelete:       messages[JobDelete](),
	KindJobDeleted:      messages[JobDeleted](),
	KindOperatorRead:    messages[OperatorRead](),
	KindOperatorRows:    messages[OperatorRows](),

	KindEndpointEvidence: messages[EndpointEvidence](),
}

func messages[T any, P interface {
	*T
	Message
}]() *rapid.Generator[Message] {
	return rapid.Map(rapid.Make[T](), func(v T) Message { return P(&v) })
}

// fenceReplies keeps the nested lists short.
func fenceReplies() *rapid.Generator[Message] {
	return rapid.Custom(func(t *rapid.T) Message {
		started := rapid.SliceOfN(rapid.SliceOfN(rapid.Make[StartedTask](), 0, 3), 0, 3)
		return &FenceReply{Request: rapid.Uint64().Draw(t, "request"), Started: started.Draw(t, "started")}
	})
}

// jobEnds leaves out the outcome's field that is not sent.
func jobEnds() *rapid.Generator[Message] {
	return rapid.Map(rapid.Make[JobEnd](), func(m JobEnd) Message {
		m.Outcome.Home = ""
		return &m
	})
}

// sameMessages compares what the encoding preserves: an empty list may be decoded as nil.
var sameMessages = cmp.Options{cmpopts.EquateEmpty(), cmpopts.EquateNaNs()}

func TestEveryKindHasAMessageANameAndAGenerator(t *testing.T) {
	names := map[string]Kind{}
	for k := Kind(1); k < math.MaxUint8; k++ {
		if newMessage(k) == nil {
			continue
		}
		if k > NewestKind {
			t.Errorf("kind %d is known and higher than NewestKind", k)
		}
		if got := KindOf(newMessage(k)); got != k {
			t.Errorf("kind %d makes a message of kind %d", k, got)
		}
		if other, ok := names[k.String()]; ok || k.String() == Kind(0).String() {
			t.Errorf("kinds %d and %d are both named %s", k, other, k)
		}
		names[k.String()] = k
	}
	if len(names) != len(generators) {
		t.Errorf("%d kinds, %d generators", len(names), len(generators))
	}
}

func TestMessagesOfEveryKindRoundTrip(t *testing.T) {
	for kind, generator := range generators {
		t.Run(kind.String(), rapid.MakeCheck(func(t *rapid.T) {
			want := rapid.SliceOfN(generator, 1, 2).Draw(t, "messages")
			var frame []byte
			for _, m := range want {
				var err error
				if frame, err = AppendMessage(frame, m); err != nil {
					t.Fatal(err)
				}
			}
			got, err := DecodeFrame(frame)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(want, got, sameMessages); diff != "" {
				t.Fatal(diff)
			}
		}))
	}
}

// Processes of the build before and after a change are linked to each other during an
// upgrade.
func TestFieldsThatThisBuildDoesNotKnowAreIgnored(t *testing.T) {
	frame, err := encMode.Marshal(KindNodeHello)
	if err != nil {
		t.Fatal(err)
	}
	body, err := encMode.Marshal(map[int]any{1: "name", 99: []string{"unknown"}})
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeFrame(append(frame, body...))
	if diff := cmp.Diff([]Message{&NodeHello{Name: "name"}}, got); diff != "" || err != nil {
		t.Error(err, diff)
	}
}

func TestDecodedMessagesShareNoMemoryWithTheFrame(t *testing.T) {
	frame, err := AppendMessage(nil, &Forward{Body: []byte("body"), Ticket: "ticket"})
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeFrame(frame)
	clear(frame)
	if diff := cmp.Diff([]Message{&Forward{Body: []byte("body"), Ticket: "ticket"}}, got); diff != "" || err != nil {
		t.Error(err, diff)
	}
}

func FuzzDecodeFrame(f *testing.F) {
	for _, generator := range generators {
		frame, err := AppendMessage(nil, generator.Example(1))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		decoded, err := DecodeFrame(frame)
		if err != nil {
			if !errors.Is(err, &result.Error{Code: result.BadMessage}) || decoded != nil {
				t.Fatalf("got %v and %d messages", err, len(decoded))
			}
			return
		}
		var again []byte
		for _, m := range decoded {
			if again, err = AppendMessage(again, m); err != nil {
				t.Fatal(err)
			}
		}
		got, err := DecodeFrame(again)
		if diff := cmp.Diff(decoded, got, sameMessages); diff != "" || err != nil {
			t.Fatal(err, diff)
		}
	})
}
