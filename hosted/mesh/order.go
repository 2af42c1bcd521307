package mesh

import (
	"cmp"
	"time"

	"bergamotwing.example/wire"
)

// linkNumber returns the number that orders a link among those between two processes: that
// of the side with the lower address, the empty one of an agent first. Were each side to go
// by the other's number, they could keep different ones of two links made at once, and so none.
func linkNumber(own, other *wire.NodeHello) uint64 {
	if other.Link == 0 || cmp.Or(cmp.Compare(own.Addr, other.Addr), cmp.Compare(own.Name, other.Name)) > 0 {
		return other.Link
	}
	return own.Link
}

// Order keeps which link to each process the control actor has taken last. The actors of
// both sides take links only in the order of their numbers, whatever the moment at which
// these were given, so what one side sends on a link is not read after what it sends later
// on another.
type Order struct{ newest map[process]taken }

type process struct{ role, name string }

type taken struct {
	incarnation wire.Incarnation
	number      uint64
	at          time.Duration
}

// NewOrder returns the order of no link yet.
func NewOrder() *Order { return &Order{newest: map[process]taken{}} }

// Refuse returns why a link has to be closed, or takes it and returns an empty string.
// A link that is refused in error is dialed again, and then has a higher number and a
// later beginning.
func (o *Order) Refuse(now time.Duration, l *Link) string {
	if l.Number == 0 {
		return ""
	}
	key := process{l.Hello.Role, l.Hello.Name}
	newest, known := o.newest[key]
	switch {
	case !known:
	case newest.incarnation == l.Hello.Incarnation:
		if l.Number < newest.number {
			return "earlier link"
		}
	case l.Began <= newest.at:
		// Its process may have ended before the other one began. On a link that began
		// later, a process sends its hello only if it is alive after the other one.
		return "maybe an earlier process"
	}
	o.newest[key] = taken{l.Hello.Incarnation, l.Number, now}
	return ""
}
