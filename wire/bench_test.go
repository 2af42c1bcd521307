package wire

import (
	"testing"
)

func exampleGrant() *Grant {
	return &Grant{
		Task:         TaskRef{Ticket: TicketID{Entry: "entry-1", Incarnation: 1 << 60, Seq: 123456}, Index: 17},
		Attempt:      1,
		Credit:       SlotCredit{Slot: 3, Epoch: 4711},
		Payload:      make([]byte, 200),
		Confirmation: Confirmation{Version: 12, Echo: 987654321},
		Held:         []SlotCredit{{Slot: 1, Epoch: 7}, {Slot: 2, Epoch: 8}},

		StartInMS: 900, TimeoutMS: 1000, Team: "night-crew",
	}
}

func exampleResult() *Result {
	return &Result{
		Task:    exampleGrant().Task,
		Attempt: 1,
		Body:    make([]byte, 200),
		RunUS:   51234,
		Credit:  &SlotCredit{Slot: 3, Epoch: 4712},
		Clock:   987654999,
	}
}

// BenchmarkLinkOneWay sends grants with a bounded number in flight.
func BenchmarkLinkOneWay(b *testing.B) {
	from, to := pair(b)
	window := make(chan struct{}, 4096)
	all := make(chan struct{})
	n := 0
	serve(from, ignore)
	serve(to, func(Message) {
		<-window
		if n++; n == b.N {
			close(all)
		}
	})
	m := exampleGrant()
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		window <- struct{}{}
		if err := from.Send(m); err != nil {
			b.Fatal(err)
		}
	}
	<-all
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "msg/s")
}

// BenchmarkLinkRoundTrip answers each grant with a result, 64 in flight.
func BenchmarkLinkRoundTrip(b *testing.B) {
	from, to := pair(b)
	results := make(chan struct{}, 64)
	serve(from, func(Message) { results <- struct{}{} })
	answer := exampleResult()
	serve(to, func(Message) { _ = to.Send(answer) })
	m := exampleGrant()
	for range cap(results) {
		results <- struct{}{}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		<-results
		if err := from.Send(m); err != nil {
			b.Fatal(err)
		}
	}
	for range cap(results) {
		<-results
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "trips/s")
}

func BenchmarkAppendMessage(b *testing.B) {
	m := exampleGrant()
	frame := make([]byte, 0, 4096)
	b.ReportAllocs()
	for b.Loop() {
		var err error
		if frame, err = AppendMessage(frame[:0], m); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDecodeFrame(b *testing.B) {
	frame, err := AppendMessage(nil, exampleGrant())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := DecodeFrame(frame); err != nil {
			b.Fatal(err)
		}
	}
}
