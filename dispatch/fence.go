package dispatch

import "time"

// fenceStep is added to a generation number that an endpoint refuses, in microseconds.
// An earlier agent incarnation has used a higher one if the time of day has jumped back
// since; it jumps by seconds.
const fenceStep = int64(time.Hour / time.Microsecond)

// Fence holds the generation number of an agent incarnation's calls to its endpoint. An
// endpoint does nothing for a number lower than one that it has seen in its lifetime. The
// zero value is for endpoints that check none. Of the incarnations of an agent only one is
// alive: a second process could not listen at the address for its endpoint's heartbeats.
type Fence struct{ number int64 }

// Number returns the number for calls from now on; 0: none.
func (f *Fence) Number() int64 { return f.number }

// Raise begins a number above all earlier ones, for a lifetime that was found at the time
// of day unixMicro.
func (f *Fence) Raise(unixMicro int64) { f.number = max(unixMicro, f.number+1) }

// Refused processes that the endpoint has refused a number as too low. It raises the
// number, unless that has happened since the refused call was sent, and reports whether
// it did.
func (f *Fence) Refused(number int64) bool {
	if number == 0 || number < f.number {
		return false
	}
	f.number = number + fenceStep
	return true
}
