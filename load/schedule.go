package load

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/micarudder/micarudder/routing"
)

// Arrival is one scheduled request.
type Arrival struct {
	ID      string        // FLOW-NUMBER, unique in the schedule
	Flow    string        // name of its flow
	At      time.Duration // due time, from the start of the load run
	Prompt  uint64        // tokens
	Answer  uint64        // tokens
	Session int           // index of the session whose prefix it shares; -1: none
}

// Class returns the arrival's length class.
func (a Arrival) Class() routing.Class { return routing.ClassOf(a.Prompt) }

// Schedule draws the arrivals of the mix at load, a multiplier of the rate. The
// same mix, seed and load yield the same schedule. Each flow has its own random
// source, so adding or removing a flow does not change the arrivals of others.
func (m *Mix) Schedule(seed uint64, load float64) []Arrival {
	var out []Arrival
	for _, name := range m.FlowNames() {
		out = append(out, m.flowArrivals(name, seed, load)...)
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].At < out[j].At })
	return out
}

// FilterArrivals returns the arrivals for which keep returns true.
func FilterArrivals(as []Arrival, keep func(Arrival) bool) []Arrival {
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
	rate := f.arrivalRate(m.Run.Rate * f.Share * load)
	var out []Arrival
	for at := time.Duration(0); ; {
		at += rate.gap(r)
		if at >= m.Run.Duration {
			return out
		}
		// Thinning: draw at the peak rate and accept with probability rate/peak.
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

// rateCurve is a periodic arrival rate, in arrivals per second.
type rateCurve struct {
	base, burst, peak  float64
	period, burstStart time.Duration
}

func (f Flow) arrivalRate(mean float64) rateCurve {
	if f.Arrivals != ArrivalsBursts {
		return rateCurve{base: mean, peak: mean}
	}
	burstFraction := float64(f.BurstLength) / float64(f.BurstEvery)
	c := rateCurve{period: f.BurstEvery, burstStart: f.BurstEvery - f.BurstLength, burst: mean * f.BurstPart / burstFraction}
	if burstFraction < 1 {
		c.base = mean * (1 - f.BurstPart) / (1 - burstFraction)
	}
	c.peak = max(c.base, c.burst)
	return c
}

func (c rateCurve) at(t time.Duration) float64 {
	if c.period > 0 && t%c.period >= c.burstStart {
		return c.burst
	}
	return c.base
}

// gap draws the time to the next arrival at the peak rate.
func (c rateCurve) gap(r *rand.Rand) time.Duration {
	const longest = 24 * time.Hour
	if c.peak <= 0 {
		return longest
	}
	return time.Duration(min(r.ExpFloat64()/c.peak*float64(time.Second), float64(longest)))
}
