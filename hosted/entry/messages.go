package entry

import (
	"time"

	"bergamotwing.example/dispatch"
)

// Messages of the control actor.
type (
	endRequests   struct{} // the time to stop is over
	askUnfinished struct{ reply chan unfinished }
	operatorRead  struct{ state dispatch.OperatorState }
	submit        struct {
		job      dispatch.Job
		route    dispatch.Route
		wait     time.Duration
		deadline dispatch.Time
		reply    chan dispatch.Outcome // has room for one
	}
	clientGone struct {
		job   string
		reply chan dispatch.Outcome // of the submission that is given up
	}
	deleteJob struct {
		job   string
		known chan bool
	}
	askWaiting struct {
		route dispatch.Route
		reply chan int
	}
)

// unfinished is what an entry must not end with.
type unfinished struct {
	jobs   int // open, of clients here or of other entries
	untold int // ends of jobs that other entries may not have heard of
}
