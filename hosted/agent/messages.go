package agent

import (
	"time"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/platform"
)

// Messages of the control actor.
type (
	askLinked struct{ reply chan bool }
	announced struct {
		n     platform.Announcement
		taken chan struct{}
	}
	recalled      struct{ n platform.Announcement }
	left          struct{ id string }
	startAnswered struct {
		endpoint dispatch.EndpointID
		run      dispatch.RunRef
		res      dispatch.CallResult
		err      error
	}
	stopAnswered struct {
		endpoint dispatch.EndpointID
		run      dispatch.RunRef
		res      dispatch.CallResult
		err      error
	}
	looked struct {
		endpoint dispatch.EndpointID
		received time.Duration
		snapshot dispatch.Snapshot
		err      error
		next     chan nextWatch // gets what the next look is to carry; nil: not wanted
	}
	nextWatch struct {
		acknowledge int64 // sequence number of the last end taken in
		wait        time.Duration
	}
)
