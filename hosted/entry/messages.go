package entry

import (
	"time"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/platform"
	"bergamotwing.example/wire"
)

// Messages of the control actor.
type (
	tick     struct{}
	stop     struct{}
	reload   struct{ node platform.Node }
	askJobs  struct{ reply chan int }
	linkUp   struct{ link *mesh.Link }
	linkDown struct{ link *mesh.Link }
	refused  struct{ addr string }
	received struct {
		link *mesh.Link
		m    wire.Message
	}
	membersRead  struct{ members []mesh.MemberRow }
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
