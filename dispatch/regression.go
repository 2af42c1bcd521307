package dispatch

// interferenceTerms are the terms of the regression: the share of the processors that each
// kind has, and the square of the share of all of them.
const interferenceTerms = maxKinds + 1

// ridge is added to the sum of squares of each term, in squares of a share of an
// endpoint's processors, so that a term that hardly varies gets no effect.
const ridge = 0.1

// minOtherShare is the least part of the load that other kinds have to be for a kind
// to be judged against them.
const minOtherShare = 0.05

type terms [interferenceTerms]float64

// regressionSums are sums over runs.
type regressionSums struct {
	runs float64
	x    terms
	y    float64
}

// interferenceWindow holds the runs of one kind for some time: the logarithm of the
// ratio of actual to declared run time, and the terms on which it may depend.
type interferenceWindow struct {
	opened Time
	runs   int
	xx     [interferenceTerms]terms
	xy     terms
	yy     float64
	sums   map[*endpoint]*regressionSums
}

func (w *interferenceWindow) add(e *endpoint, share *kindSet, y float64) {
	var x terms
	load := 0.0
	for i, v := range share {
		x[i] = v
		load += v
	}
	x[maxKinds] = load * load
	s := w.sums[e]
	if s == nil {
		s = &regressionSums{}
		w.sums[e] = s
	}
	w.runs++
	s.runs++
	s.y += y
	w.yy += y * y
	for i, v := range x {
		if v == 0 {
			continue
		}
		s.x[i] += v
		w.xy[i] += v * y
		for k, u := range x {
			w.xx[i][k] += v * u
		}
	}
}

// contrast is the slowdown by a kind, as the logarithm for all of an endpoint's
// processors, less the mean one of the other kinds.
type contrast struct {
	value, variance float64 // variance 0: not known
	share           float64 // of the processors that the kind had on average
}

// contrasts returns the contrast of each kind. Each endpoint has a mean of its own, so
// that the speed of endpoints does not count.
func (w *interferenceWindow) contrasts(kinds int) []contrast {
	out := make([]contrast, kinds)
	var share terms
	for _, s := range w.sums {
		for i, v := range s.x {
			share[i] += v
			w.xy[i] -= v * s.y / s.runs
			for k, u := range s.x {
				w.xx[i][k] -= v * u / s.runs
			}
		}
		w.yy -= s.y * s.y / s.runs
	}
	inverse := w.inverse()
	var slope terms
	explained, all := 0.0, 0.0
	for i := range slope {
		for k := range slope {
			slope[i] += inverse[i][k] * w.xy[k]
		}
		explained += slope[i] * w.xy[i]
		if i < kinds {
			all += share[i]
		}
	}
	noise := max(w.yy-explained, 0) / float64(w.runs-len(w.sums)-interferenceTerms)
	for b := range out {
		out[b].share = share[b] / float64(w.runs)
		others := all - share[b]
		if others < minOtherShare*all || share[b] == 0 {
			continue
		}
		var weight terms
		for i := range kinds {
			weight[i] = -share[i] / others
		}
		weight[b] = 1
		for i := range kinds {
			out[b].value += weight[i] * slope[i]
			for k := range kinds {
				out[b].variance += noise * weight[i] * inverse[i][k] * weight[k]
			}
		}
	}
	return out
}

// inverse returns the inverse of xx with the ridge, by elimination. It needs no order of
// the pivots, since the matrix is positive definite.
func (w *interferenceWindow) inverse() (inv [interferenceTerms]terms) {
	a := w.xx
	for i := range a {
		a[i][i] += ridge
		inv[i][i] = 1
	}
	for p := range a {
		pivot := max(a[p][p], ridge/2) // at least the ridge, rounding aside
		for k := range a {
			a[p][k] /= pivot
			inv[p][k] /= pivot
		}
		for i := range a {
			if f := a[i][p]; i != p {
				for k := range a {
					a[i][k] -= f * a[p][k]
					inv[i][k] -= f * inv[p][k]
				}
			}
		}
	}
	return inv
}
