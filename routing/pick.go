package routing

import (
	"math"
	"time"
)

const (
	// noiseBits is the size of the table of noise, as a power of two.
	noiseBits = 10
	// maxAge bounds the age of a report that counts as uncertainty: a quiet
	// endpoint has nothing to report.
	maxAge = 250 * time.Millisecond
)

// gumbel holds quantiles of the standard Gumbel distribution. Taking the
// least score minus such noise draws candidates with probabilities that fall
// exponentially with their score: gateways with the same view spread over what
// is about equally good.
var gumbel = func() (t [1 << noiseBits]float64) {
	for i := range t {
		u := (float64(i) + 0.5) / float64(len(t))
		t[i] = -math.Log(-math.Log(u))
	}
	return t
}()

// noise is a small generator (splitmix64): one random number of the caller's
// seeds it for the whole scan.
type noise uint64

// next returns the noise of the next candidate.
func (n *noise) next() float64 {
	*n += 0x9e3779b97f4a7c15
	z := uint64(*n)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return gumbel[(z^(z>>31))>>(64-noiseBits)]
}

// spreadSamples is the number of candidates from which the scale of the noise
// is taken.
const spreadSamples = 16

// spread returns the scale of the noise in nanoseconds: a part of what the
// request itself takes, and a part of the reports' mean age, in which other
// gateways may have sent work. Every so many candidates stand for all.
func (c *Config) spread(req *Request, view []Candidate) float64 {
	var age, own, n float64
	step := len(view)/spreadSamples + 1
	for i := 0; i < len(view); i += step {
		age += float64(min(view[i].Age, maxAge))
		own += float64(view[i].Cost.OrDefault().Prefill(req.PromptTokens, 0))
		n++
	}
	return (c.SpreadWork*own + c.SpreadAge*age) / n
}

// best keeps the candidate with the least drawn score. Its size does not grow
// with the view.
type best struct {
	found bool
	index int
	drawn float64
	score float64       // without the draw
	work  time.Duration // prefill there
}

func (b *best) add(index int, score, spread float64, work time.Duration) {
	if !b.excludes(score + spread) {
		*b = best{true, index, score + spread, score, work}
	}
}

// excludes reports whether a candidate with at least this drawn score loses.
func (b *best) excludes(drawn float64) bool { return b.found && drawn >= b.drawn }
