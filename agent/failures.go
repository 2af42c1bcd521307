package agent

import (
	"math/bits"
	"sync/atomic"
)

// failureWindow is the number of recent tasks that FailurePct covers.
const failureWindow = 16

// failures records which of the recent tasks failed: the low bits are the
// outcomes, the bits above them mark how many outcomes are known.
type failures struct{ bits atomic.Uint32 }

// add adds the outcome of a task.
func (f *failures) add(failed bool) {
	for {
		old := f.bits.Load()
		outcomes, known := old&0xffff, old>>failureWindow
		outcomes = outcomes << 1 & 0xffff
		if failed {
			outcomes |= 1
		}
		known = (known<<1 | 1) & 0xffff
		if f.bits.CompareAndSwap(old, known<<failureWindow|outcomes) {
			return
		}
	}
}

// pct returns the share of failed tasks, 0-100.
func (f *failures) pct() int {
	v := f.bits.Load()
	known := bits.OnesCount32(v >> failureWindow)
	if known == 0 {
		return 0
	}
	return 100 * bits.OnesCount32(v&0xffff) / known
}
