package dispatchtest

import (
	"container/heap"

	"bergamotwing.example/dispatch"
)

// Queue holds what a simulation does at which time, in order. The zero value is empty.
type Queue struct {
	events events
	seq    int
}

// Add adds what is done at a time, after what was added for that time before.
func (q *Queue) Add(at dispatch.Time, do func()) {
	q.seq++
	heap.Push(&q.events, event{at, q.seq, do})
}

// Next removes and returns what is done next, if that is before a time.
func (q *Queue) Next(before dispatch.Time) (at dispatch.Time, do func(), ok bool) {
	if len(q.events) == 0 || q.events[0].at >= before {
		return 0, nil, false
	}
	ev := heap.Pop(&q.events).(event)
	return ev.at, ev.do, true
}

type event struct {
	at  dispatch.Time
	seq int
	do  func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
