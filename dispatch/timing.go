package dispatch

import "time"

// Timing holds the times of a deployment that decisions go by.
type Timing struct {
	ResendAfter Time // after which a client sends an unanswered job again
}

// defaultResendAfter holds where the platform's settings do not say.
const defaultResendAfter = 1300 * time.Millisecond

// NewTiming returns the timing of a deployment whose clients send an unanswered
// job again after resendAfter; 0 stands for the default.
func NewTiming(resendAfter Time) Timing {
	if resendAfter <= 0 {
		resendAfter = defaultResendAfter
	}
	return Timing{ResendAfter: resendAfter}
}
