package agent

import (
	"context"
	"sync"

	"bergamotwing.example/wire"
)

// running holds the tasks that run now, with the functions that cancel them.
type running struct {
	mu      sync.Mutex
	cancels map[wire.TaskRef]context.CancelCauseFunc
	closed  bool
	changed chan struct{} // closed and replaced when a task ends
}

func newRunning() *running {
	return &running{cancels: map[wire.TaskRef]context.CancelCauseFunc{}, changed: make(chan struct{})}
}

// add registers a task that is about to start. It returns false while closed.
func (r *running) add(task wire.TaskRef, cancel context.CancelCauseFunc) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.cancels[task] = cancel
	return true
}

// remove removes a task that ended.
func (r *running) remove(task wire.TaskRef) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.cancels, task)
	close(r.changed)
	r.changed = make(chan struct{})
}

// hasTaskOf reports whether a task issued by entry is running.
func (r *running) hasTaskOf(entry entryIncarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for task := range r.cancels {
		if issuerOf(task.Ticket) == entry {
			return true
		}
	}
	return false
}

// setClosed makes add refuse tasks, or accept them again.
func (r *running) setClosed(closed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = closed
}

// cancelTicket ends the tasks of a ticket.
func (r *running) cancelTicket(ticket wire.TicketID, cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for task, cancel := range r.cancels {
		if task.Ticket == ticket {
			cancel(cause)
		}
	}
}

// cancelAll ends every task.
func (r *running) cancelAll(cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, cancel := range r.cancels {
		cancel(cause)
	}
}

// count returns the number of running tasks and a channel that is closed when
// the next one ends.
func (r *running) count() (int, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.cancels), r.changed
}

// waitIdle returns true once no task runs, or false if ctx ends first.
func (r *running) waitIdle(ctx context.Context) bool {
	for {
		n, changed := r.count()
		if n == 0 {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
