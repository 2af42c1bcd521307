// Package connlimit bounds what clients of a process's listeners can make it hold: connections,
// bytes and time. Clients inside the limits of the pages do not meet the bounds.
package connlimit

import (
	"time"

	"github.com/rotisserie/eris"
)

const (
	defaultMemoryMB    = 184  // of a machine whose settings state none: the smallest of entries
	defaultDescriptors = 4096 // as defaultMemoryMB
	filesReserved      = 200  // descriptors that the platform keeps for files
	minDescriptors     = 64   // besides filesReserved, for the shares below to leave each listener some

	heldShare        = 6 // one part in so many of the memory is for the bytes held
	connectionsShare = 4 // and one for the connections
	memoryLimitShare = 4 // one part of the memory lies outside the runtime's limit: the binary, stacks of the kernel, what is not returned yet
	connectionBytes  = 20 << 10
	ownShare         = 8  // one part in so many of the descriptors is for what the process dials: the store, other entries, an endpoint
	linksShare       = 4  // and one for links that others open
	serviceShare     = 16 // and one for each listener of probes, metrics and endpoints
	serviceMost      = 64 // connections of such a listener; a few are in use
	unlinkedMost     = 64 // links without a hello; a hello takes milliseconds

	headerBytes = 4 << 10 // of a request's header; net/http adds 4 KiB. Clients of the pages send some 200 bytes
	headerMost  = 100     // fields of a header
	bodyTime    = 10 * time.Second
	answerTime  = 10 * time.Second // for a client to take a write of an answer
	idleTime    = 5 * time.Minute  // between two requests on a connection
)

// Options replace bounds that otherwise follow from the machine. 0: as follows.
type Options struct {
	Clients   int // connections of clients
	Links     int // links that others open
	HeldBytes int64
	BodyTime  time.Duration
}

// Limits are the bounds of one process.
type Limits struct {
	Clients  int   // connections of clients
	Links    int   // links that others open
	Unlinked int   // of these, without a hello
	Service  int   // connections of each listener of probes, metrics and endpoints
	Held     int64 // bytes of requests and jobs that are not answered yet, of all listeners

	HeaderBytes int // of a request's header
	Fields      int // of a request's header

	BodyTime   time.Duration // from the end of a header to the end of its body
	AnswerTime time.Duration // for a client to take a write of an answer
	IdleTime   time.Duration // between two requests
}

// LimitsOf returns the bounds for a machine. A memory or number of descriptors of 0 is
// not stated.
func LimitsOf(memoryMB, descriptors int, o Options) (Limits, error) {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	memory := int64(memoryMB) << 20
	usable := max(descriptors-filesReserved, minDescriptors)
	service := min(usable/serviceShare, serviceMost)
	l := Limits{
		Links: usable / linksShare, Service: service, Held: memory / heldShare,
		HeaderBytes: headerBytes, Fields: headerMost, BodyTime: bodyTime, AnswerTime: answerTime, IdleTime: idleTime,
	}
	l.Clients = min(usable-usable/ownShare-l.Links-3*service, int(memory/connectionsShare/connectionBytes))
	if o.Links > 0 {
		l.Links = o.Links
	}
	if o.Clients > 0 {
		l.Clients = o.Clients
	}
	if o.HeldBytes > 0 {
		l.Held = o.HeldBytes
	}
	if o.BodyTime > 0 {
		l.BodyTime = o.BodyTime
	}
	l.Unlinked = min(unlinkedMost, max(l.Links/2, 1))
	if sum := l.Clients + l.Links + 3*service; sum > usable {
		return l, eris.Errorf("%d connections of clients, %d links and %d others are more than the %d descriptors of the machine without those for files", l.Clients, l.Links, 3*service, usable)
	}
	if l.Held > memory/2 {
		return l, eris.Errorf("%d MB held for clients are more than half of the machine's %d MB", l.Held>>20, memoryMB)
	}
	return l, nil
}

// MemoryLimit returns the runtime's memory limit on a machine; 0: none, since the settings
// state no memory.
func MemoryLimit(memoryMB int) int64 {
	memory := int64(memoryMB) << 20
	return memory - memory/memoryLimitShare
}
