package load

import (
	"slices"

	"bergamotwing.example/wire"
)

// KindCount counts the messages of one kind.
type KindCount struct {
	Kind    string  `json:"kind"`
	Sent    float64 `json:"sent"`
	PerTask float64 `json:"perTask"`
	Wasted  float64 `json:"wasted"` // those without use; each refusal counts its grant as well
}

// ProcessUse holds the resources that one process used.
type ProcessUse struct {
	Name                  string  `json:"name"`
	CPUSeconds            float64 `json:"cpuSeconds"`
	RSSBytes              float64 `json:"rssBytes"`
	ControlBytesPerSecond float64 `json:"controlBytesPerSecond"` // sent, in messages that carry no work
}

// usefulKinds are the kinds of messages that a task, a release note or a stop
// needs; all others count as wasted.
var usefulKinds = kindNames(
	wire.KindGrant, wire.KindResult, wire.KindCancel, wire.KindConfig, wire.KindConfigAck,
	wire.KindForward, wire.KindForwardReply, wire.KindHandover, wire.KindHandoverAck, wire.KindSuccessor,
)

// workKinds are the kinds of messages that carry work.
var workKinds = kindNames(
	wire.KindGrant, wire.KindResult, wire.KindForward, wire.KindForwardReply, wire.KindHandover,
)

func kindNames(kinds ...wire.Kind) []string {
	names := make([]string, len(kinds))
	for i, k := range kinds {
		names[i] = k.String()
	}
	return names
}

// addUsage adds the messages that the processes sent and their resource use.
func (p *Report) addUsage(u usage) {
	sent := Counters{}
	p.Refused, p.Retried = Counters{}, Counters{}
	for i, m := range u.increase {
		sent.add(m.Sent)
		p.Refused.add(m.Refused)
		p.Retried.add(m.Retried)
		if slices.Contains(u.missing, u.sources[i].Name) {
			continue
		}
		p.Processes = append(p.Processes, ProcessUse{
			Name:                  u.sources[i].Name,
			CPUSeconds:            m.CPUSeconds,
			RSSBytes:              m.RSSBytes,
			ControlBytesPerSecond: controlBytes(m.Bytes) / u.span.Seconds(),
		})
	}
	p.addMessages(sent)
}

func (p *Report) addMessages(sent Counters) {
	tasks := float64(max(1, p.Tasks))
	for kind, n := range sent {
		w := wasted(kind, n)
		p.Messages = append(p.Messages, KindCount{Kind: kind, Sent: n, PerTask: n / tasks, Wasted: w})
		p.WastedPerTask += w / tasks
	}
	slices.SortFunc(p.Messages, func(a, b KindCount) int {
		if a.Kind < b.Kind {
			return -1
		}
		return 1
	})
}

// wasted returns how many wasted messages n messages of a kind stand for. A
// refusal also wastes the grant that it answers.
func wasted(kind string, n float64) float64 {
	switch {
	case kind == wire.KindRefuse.String():
		return 2 * n
	case slices.Contains(usefulKinds, kind):
		return 0
	default:
		return n
	}
}

func controlBytes(sent Counters) float64 {
	var sum float64
	for kind, n := range sent {
		if !slices.Contains(workKinds, kind) {
			sum += n
		}
	}
	return sum
}
