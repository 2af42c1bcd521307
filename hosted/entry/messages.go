package entry

import (
	"time"

	"bergamotwing.example/dispatch"
)

// Messages of the control actor.
type (
	endRequests   struct{} // the time to stop is over
	askUnfinished struct{ reply chan unfinished }
	operatorRead  struct {
		state     dispatch.OperatorState
		hasConfig bool   // state has a configuration
		readAt    uint64 // version of the store when it was read
	}
	storeServes struct{ ok bool } // whether the store answers has changed
	submit      struct {
		job      dispatch.Job
		route    dispatch.Route
		wait     time.Duration
		deadline dispatch.Time
		reply    chan dispatch.Outcome // buffered: one outcome
		left     func() bool           // reports whether the client has left, as far as the kernel knows; nil: it has not
		before   func() bool           // reports whether the request may have been received before this process woke; nil: it has not
	}
	abandonRequest struct {
		job   string
		reply chan dispatch.Outcome // of the submission that the client has given up
	}
	deleteJob struct {
		job        string
		known      chan deleteResult
		host, path string // of the request if no route in force names the job
	}
	cancelsWritten struct {
		set, remove []string // job ids
		err         error
	}
	cancelsRead struct {
		jobs   []keptCancel
		doubts uint64 // cancelDoubts before the read
	}
	askWaiting struct {
		route dispatch.Route
		reply chan int
	}
)

func (m submit) clientLeft() bool { return m.left != nil && m.left() }

func (m submit) receivedBefore() bool { return m.before != nil && m.before() }

// unfinished is the work that is left before an entry may end.
type unfinished struct {
	jobs           int // open, of clients here or of other entries
	unacknowledged int // ends of jobs that other entries have not acknowledged
}
