package entry

import (
	"time"

	"bergamotwing.example/dispatch"
)

// Messages of the control actor.
type (
	askJobs      struct{ reply chan int }
	endRequests  struct{} // the time to stop is over
	askUntold    struct{ reply chan int }
	operatorRead struct{ state dispatch.OperatorState }
	submit       struct {
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
