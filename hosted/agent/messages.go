package agent

import (
	"time"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/platform"
	"bergamotwing.example/wire"
)

// Messages of the control actor.
type (
	askLinked struct{ reply chan bool }
	announced struct {
		n    platform.Announcement
		done chan struct{}
	}
	endpointRead     struct{ n platform.Announcement }
	endpointEnded    struct{ id string }
	operatorRowsRead struct {
		link *mesh.Link // of the entry that has asked
		rows *wire.OperatorRows
	}
	startAnswered struct {
		endpoint dispatch.EndpointID
		run      dispatch.RunRef
		res      dispatch.CallResult
		err      error
	}
	stopAnswered struct {
		endpoint dispatch.EndpointID
		born     int64 // dispatch.Guard.Born when the stop was sent
		run      dispatch.RunRef
		res      dispatch.CallResult
		err      error
	}
	polled struct {
		endpoint dispatch.EndpointID
		received time.Duration
		snapshot dispatch.Snapshot
		err      error
		next     chan nextPoll // receives the parameters of the next long poll; nil: there is none
	}
	nextPoll struct {
		acknowledge int64 // sequence number of the last end received
		wait        time.Duration
		fence       int64 // generation number
	}
)
