package load

import (
	"errors"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
)

// MaxTokens is the maximum prompt length.
const MaxTokens = 1 << 20

const kilo = 1024 // tokens in a "k"

// Range is a weighted range of token counts, sampled log-uniformly.
type Range struct {
	From, To uint64
	Weight   float64
}

// Lengths is a distribution of token counts. Its text form is a
// comma-separated list of FROM-TO:WEIGHT. A count may end in k (1024) or M
// (1024 k); the weight defaults to 1.
type Lengths []Range

// UnmarshalText implements encoding.TextUnmarshaler.
func (l *Lengths) UnmarshalText(b []byte) error {
	var out Lengths
	for _, part := range strings.Split(string(b), ",") {
		r, err := parseRange(strings.TrimSpace(part))
		if err != nil {
			return err
		}
		out = append(out, r)
	}
	*l = out
	return nil
}

// Draw samples one token count.
func (l Lengths) Draw(r *rand.Rand) uint64 {
	x := r.Float64() * l.weight()
	for _, c := range l {
		x -= c.Weight
		if x < 0 {
			return c.draw(r)
		}
	}
	return l[len(l)-1].draw(r)
}

func (l Lengths) weight() float64 {
	sum := 0.0
	for _, c := range l {
		sum += c.Weight
	}
	return sum
}

func (c Range) draw(r *rand.Rand) uint64 {
	from, to := math.Log(float64(c.From)), math.Log(float64(c.To))
	n := uint64(math.Exp(from + r.Float64()*(to-from)))
	return min(max(n, c.From), c.To)
}

func parseRange(s string) (Range, error) {
	span, weight, weighted := strings.Cut(s, ":")
	from, to, ok := strings.Cut(span, "-")
	if !ok {
		to = from
	}
	c := Range{Weight: 1}
	var errs [3]error
	c.From, errs[0] = parseCount(from)
	c.To, errs[1] = parseCount(to)
	if weighted {
		c.Weight, errs[2] = strconv.ParseFloat(weight, 64)
	}
	if errors.Join(errs[:]...) != nil || c.Weight <= 0 || math.IsInf(c.Weight, 0) {
		return Range{}, errors.New("is not a list of FROM-TO:WEIGHT")
	}
	if c.From == 0 || c.From > c.To || c.To > MaxTokens {
		return Range{}, errors.New("has a range that is empty or above 1M")
	}
	return c, nil
}

func parseCount(s string) (uint64, error) {
	factor := uint64(1)
	if n, ok := strings.CutSuffix(s, "k"); ok {
		s, factor = n, kilo
	} else if n, ok := strings.CutSuffix(s, "M"); ok {
		s, factor = n, kilo*kilo
	}
	n, err := strconv.ParseUint(s, 10, 32)
	return n * factor, err
}
