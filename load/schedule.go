package load

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/micarudder/micarudder/routing"
)

// Arrival is one request that a caller will make.
type Arrival struct {
	ID      string        // FLOW-NUMBER, unique in the schedule
	Flow    string        // name of its flow
	At      time.Duration // when it is due, from the start of the run
	Prompt  uint64        // tokens
	Answer  uint64        // tokens
	Session int           // index of the session whose prefix it shares; -1: none
}

// Class returns the arrival's length class.
func (a Arrival) Class() routing.Class { return routing.ClassOf(a.Prompt) }

// Schedule draws the arrivals of the mix at a load, a factor on the rate. The
// same mix, seed and load give the same schedule; each flow draws from its own
// source, so that adding or removing a flow leaves the others' arrivals alone.
func (m *Mix) Schedule(seed uint64, load float64) []Arrival {
	var out []Arrival
	for _, name := range m.FlowNames() {
		out = append(out, m.flowArrivals(name, seed, load)...)
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].At < out[j].At })
	return out
}

// Only returns the arrivals that keep returns true for.
func Only(as []Arrival, keep func(Arrival) bool) []Arrival {
	var out []Arrival
	for _, a := range as {
		if keep(a) {
			out = append(out, a)
		}
	}
	return out
}

func (m *Mix) flowArrivals(name string, seed uint64, load float64) []Arrival {
	f := m.Flow[name]
	r := rand.New(rand.NewPCG(seed, xxhash.Sum64String(name)))
	rate := f.rates(m.Run.Rate * f.Share * load)
	var out []Arrival
	for at := time.Duration(0); ; {
		at += rate.gap(r)
		if at >= m.Run.Duration {
			return out
		}
		// Thinning: draw at the highest rate and keep in proportion.
		if r.Float64()*rate.peak > rate.at(at) {
			continue
		}
		a := Arrival{ID: fmt.Sprintf("%s-%d", name, len(out)), Flow: name, At: at, Session: -1}
		a.Prompt = f.Prompt.Draw(r)
		a.Answer = f.Answer.Draw(r)
		if f.Sessions > 0 {
			a.Session = r.IntN(f.Sessions)
		}
		out = append(out, a)
	}
}

// rateCurve is a rate of arrivals a second that changes in a fixed period.
type rateCurve struct {
	base, burst, peak float64
	every, quiet      time.Duration
}

func (f Flow) rates(mean float64) rateCurve {
	if f.Arrivals != ArrivalsBursts {
		return rateCurve{base: mean, peak: mean}
	}
	part := float64(f.BurstLength) / float64(f.BurstEvery)
	c := rateCurve{every: f.BurstEvery, quiet: f.BurstEvery - f.BurstLength, burst: mean * f.BurstPart / part}
	if part < 1 {
		c.base = mean * (1 - f.BurstPart) / (1 - part)
	}
	c.peak = max(c.base, c.burst)
	return c
}

func (c rateCurve) at(t time.Duration) float64 {
	if c.every > 0 && t%c.every >= c.quiet {
		return c.burst
	}
	return c.base
}

// gap draws the time to the next arrival at the highest rate.
func (c rateCurve) gap(r *rand.Rand) time.Duration {
	const longest = 24 * time.Hour
	if c.peak <= 0 {
		return longest
	}
	return time.Duration(min(r.ExpFloat64()/c.peak*float64(time.Second), float64(longest)))
}
