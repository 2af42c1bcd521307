package dispatch

import "math"

// Bounds for noticing and forgetting a pair. The effect is that of the usual neighbours.
const (
	windowKept   = 0.95 // of a window's weight is left after the next one: half after 13 s
	pairKept     = 0.99 // likewise, after a window that shows nothing since the tasks are apart: half after a minute
	noticeErrors = 5.0  // standard errors above zero; kinds are judged with each window, so chance has many tries
	forgetErrors = 2.0
	minWindows   = 6.5 // sum of the weights of eight windows; fewer show no spread
	keptWindows  = 4.0
)

// Logarithms of the factors at which a pair is noticed and forgotten: less than a
// tenth is lost in the errors of declared times.
var noticeEffect, forgetEffect = math.Log(1.1), math.Log(1.05)

// interferencePair holds weighted sums over the windows of a pair of kinds. The weight of
// a window is the inverse of its variance.
type interferencePair struct {
	noticed        bool
	usual          float64 // share of the processors that the neighbours have beside the slowed kind, or one of them needs
	windows        float64 // that showed something
	w, ww, wv, wvv float64
}

// add adds a window in which one neighbour needed the share one of the processors.
func (p *interferencePair) add(c contrast, one float64) {
	if !p.noticed { // once tasks are kept apart, few neighbours are seen
		p.usual = max(one, c.share)
	}
	informs := c.variance > 0 && c.variance*p.usual*p.usual <= noticeEffect*noticeEffect
	kept := pairKept
	if informs {
		kept = windowKept
	}
	p.windows, p.w, p.wv, p.wvv, p.ww = p.windows*kept, p.w*kept, p.wv*kept, p.wvv*kept, p.ww*kept*kept
	if !informs {
		return
	}
	w := 1 / c.variance
	p.windows++
	p.w += w
	p.ww += w * w
	p.wv += w * c.value
	p.wvv += w * c.value * c.value
}

// effect returns the logarithm of the factor by which the usual neighbours slow a task.
func (p *interferencePair) effect() float64 { return p.mean() * p.usual }

func (p *interferencePair) mean() float64 {
	if p.w <= 0 {
		return 0
	}
	return p.wv / p.w
}

// standardError returns that of the effect: the larger of the errors that follow from
// the spread between windows and from the one within them.
func (p *interferencePair) standardError() float64 {
	if p.w*p.w <= p.ww { // one window or none
		return math.Inf(1)
	}
	mean := p.mean()
	between := max(p.wvv/p.w-mean*mean, 0) / (p.w*p.w/p.ww - 1)
	return p.usual * math.Sqrt(max(between, 1/p.w))
}

// judge notices or forgets the pair, and reports whether that has changed.
func (p *interferencePair) judge() (changed bool) {
	windows, effect, errors := minWindows, noticeEffect, noticeErrors
	if p.noticed {
		windows, effect, errors = keptWindows, forgetEffect, forgetErrors
	}
	was := p.noticed
	p.noticed = p.windows >= windows && p.effect() >= max(effect, errors*p.standardError())
	return p.noticed != was
}
