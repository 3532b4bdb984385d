package cost

import (
	"time"
)

// fit holds the sums of a weighted least-squares fit y = a·x1 + b·x2 without an
// intercept, where x1 is the number of tokens to prefill and x2 the difference of the
// squares.
type fit struct{ s11, s12, s22, t1, t2 float64 }

// tokenUnit scales token counts to keep the sums well conditioned.
const tokenUnit = 1024

func (f *fit) decay(keep float64) {
	f.s11 *= keep
	f.s12 *= keep
	f.s22 *= keep
	f.t1 *= keep
	f.t2 *= keep
}

// add adds an observation of y nanoseconds with weight w.
func (f *fit) add(prompt, cached uint64, y, w float64) {
	p, q := float64(prompt)/tokenUnit, float64(cached)/tokenUnit
	x1, x2 := p-q, p*p-q*q
	f.s11 += w * x1 * x1
	f.s12 += w * x1 * x2
	f.s22 += w * x2 * x2
	f.t1 += w * x1 * y
	f.t2 += w * x2 * y
}

// plus returns the fit to the observations of both.
func (f fit) plus(g fit) fit {
	return fit{f.s11 + g.s11, f.s12 + g.s12, f.s22 + g.s22, f.t1 + g.t1, f.t2 + g.t2}
}

// solve returns the coefficients, constrained to be non-negative.
func (f *fit) solve() (perToken time.Duration, perTokenSquared float64) {
	a, b := f.solveUnconstrained()
	if b < 0 {
		a, b = f.t1/f.s11, 0
	}
	if a < 0 {
		a, b = 0, f.t2/f.s22
	}
	micros := b / (tokenUnit * tokenUnit) / float64(time.Microsecond)
	return max(1, time.Duration(a/tokenUnit)), micros
}

func (f *fit) solveUnconstrained() (a, b float64) {
	det := f.s11*f.s22 - f.s12*f.s12
	if det <= 1e-9*f.s11*f.s22 {
		return f.t1 / f.s11, 0
	}
	a = (f.t1*f.s22 - f.t2*f.s12) / det
	b = (f.t2*f.s11 - f.t1*f.s12) / det
	return a, b
}
