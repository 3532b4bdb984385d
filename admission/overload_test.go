package admission

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/routing"
)

const (
	simMemory  = 450_000
	simRunning = 64
	simChunk   = 1024
)

// simRun is an item that runs at the simulated engine.
type simRun struct {
	it                         Item
	started, first             time.Time
	prefilled, decoded, prompt uint64
}

// sim drives a queue with a simulated batching engine. Each step prefills one chunk, in
// order of priority, and decodes one token of each run whose prefill is complete.
type sim struct {
	q          Queue
	slowdown   float64 // factor on the engine's costs
	now        time.Time
	runs       []*simRun
	goodput    map[string]time.Duration // engine time of the items finished in time, by workspace
	offered    int
	refused    int
	late       int                                 // admitted, but not finished in time
	firstToken [routing.NumClasses][]time.Duration // time to first token, by class
	latency    [routing.NumClasses][]time.Duration // time to the end of the response, by class
	retryAfter []time.Duration
	resubmit   bool   // refused callers retry when told to
	items      []Item // still to arrive, in order
}

func newSim(slowdown float64) *sim {
	return &sim{q: New(Config{}), slowdown: slowdown, now: epoch, goodput: map[string]time.Duration{}}
}

// engineTime returns the nominal engine time of an item, independent of the slowdown.
func engineTime(it Item) time.Duration {
	return time.Duration(it.PromptTokens)*50*time.Microsecond + time.Duration(it.OutputTokens)*260*time.Microsecond
}

func (s *sim) capacity() Capacity {
	c := Capacity{FreeTokens: simMemory, MemoryTokens: simMemory, Running: len(s.runs), MaxRunning: simRunning}
	for _, r := range s.runs {
		c.FreeTokens -= r.it.MemoryTokens
	}
	return c
}

func (s *sim) offer(it Item) Verdict {
	s.offered++
	v := s.q.Offer(it, s.capacity(), it.Arrived)
	if !v.Admitted {
		s.refused++
		s.retryAfter = append(s.retryAfter, v.RetryAfter)
	}
	return v
}

// step starts the items that may start and advances the engine by one step.
func (s *sim) step() {
	s.late += len(s.q.Expire(s.now))
	for it, ok := s.q.Next(s.capacity(), s.now); ok; it, ok = s.q.Next(s.capacity(), s.now) {
		s.runs = append(s.runs, &simRun{it: it, started: s.now, prompt: it.PromptTokens})
	}
	if len(s.runs) == 0 {
		s.now = s.now.Add(PollInterval)
		return
	}
	cost := 10 * time.Millisecond
	left := uint64(simChunk)
	slices.SortStableFunc(s.runs, func(a, b *simRun) int { return EnginePriority(a.it) - EnginePriority(b.it) })
	var decoding []*simRun
	for _, r := range s.runs {
		if r.prefilled == r.prompt {
			decoding = append(decoding, r)
			cost += 100 * time.Microsecond
			continue
		}
		n := min(left, r.prompt-r.prefilled)
		cost += time.Duration(n) * (50*time.Microsecond + time.Duration(r.prefilled/1000)*250*time.Nanosecond)
		r.prefilled += n
		left -= n
	}
	s.now = s.now.Add(time.Duration(s.slowdown * float64(cost)))
	for _, r := range s.runs {
		if r.first.IsZero() && r.prefilled == r.prompt {
			r.first = s.now
			s.q.Prefilled(r.it.ID, s.now)
		}
	}
	for _, r := range decoding {
		r.decoded++
	}
	s.runs = slices.DeleteFunc(s.runs, s.ended)
}

// ended reports whether a run is complete or out of time, and records the result.
func (s *sim) ended(r *simRun) bool {
	switch {
	case r.decoded >= r.it.OutputTokens:
		s.q.Done(r.it, r.started.Sub(r.it.Arrived), r.first.Sub(r.started), s.now.Sub(r.first), 0)
		s.goodput[r.it.Workspace] += engineTime(r.it)
		s.firstToken[r.it.Class] = append(s.firstToken[r.it.Class], r.first.Sub(r.it.Arrived))
		s.latency[r.it.Class] = append(s.latency[r.it.Class], s.now.Sub(r.it.Arrived))
		return true
	case s.now.After(r.it.Deadline):
		s.q.Remove(r.it.ID)
		s.late++
		return true
	}
	return false
}

// randomItem draws an item of the usual mix: one prompt in fifty has more than a hundred
// thousand tokens, the others a few thousand.
func randomItem(rnd *rand.Rand, id int, workspace string, at time.Time) Item {
	prompt, output, within := uint64(500+rnd.IntN(5_000)), uint64(20+rnd.IntN(60)), 20*time.Second
	if rnd.IntN(50) == 0 {
		prompt, within = uint64(100_000+rnd.IntN(60_000)), 2*time.Minute
	}
	return Item{
		ID: fmt.Sprint(workspace, id), Workspace: workspace, Class: routing.ClassOf(prompt),
		PromptTokens: prompt, OutputTokens: output, MemoryTokens: prompt + output, Arrived: at, Deadline: at.Add(within),
	}
}

// schedule inserts an item into those to arrive, in order of arrival.
func (s *sim) schedule(it Item) {
	i, _ := slices.BinarySearchFunc(s.items, it, func(a, b Item) int { return a.Arrived.Compare(b.Arrived) })
	s.items = slices.Insert(s.items, i, it)
}

// run offers the items as they arrive, until all have arrived and no run is left.
func (s *sim) run() {
	for len(s.items) > 0 || len(s.runs) > 0 {
		for len(s.items) > 0 && !s.items[0].Arrived.After(s.now) {
			it := s.items[0]
			s.items = s.items[1:]
			v := s.offer(it)
			if s.resubmit && !v.Admitted {
				it.Deadline = it.Deadline.Add(v.RetryAfter)
				it.Arrived = it.Arrived.Add(v.RetryAfter)
				s.schedule(it)
			}
		}
		s.step()
	}
}

// scheduleArrivals adds an open-loop stream of the usual mix for each workspace, at the
// given rates per second.
func (s *sim) scheduleArrivals(span time.Duration, perSecond map[string]float64) {
	rnd := rand.New(rand.NewPCG(11, 12))
	for _, w := range slices.Sorted(maps.Keys(perSecond)) {
		for t := epoch; t.Sub(epoch) < span; t = t.Add(time.Duration(rnd.ExpFloat64() / perSecond[w] * float64(time.Second))) {
			s.schedule(randomItem(rnd, len(s.items), w, t))
		}
	}
}

func p95(d []time.Duration) time.Duration {
	if len(d) == 0 {
		return 0
	}
	d = slices.Sorted(slices.Values(d))
	return d[len(d)*95/100].Round(time.Millisecond)
}

// TestOverload sweeps the load of one endpoint: goodput must not fall once the endpoint is
// saturated, short items must stay fast, and items that cannot be finished in time must be
// refused instead of finishing late.
func TestOverload(t *testing.T) {
	is := is.New(t)
	const span = 5 * time.Minute
	goodput := map[float64]float64{}
	peak := 0.0
	for _, load := range []float64{0.5, 0.8, 1, 1.5, 2, 3} {
		s := newSim(1)
		s.scheduleArrivals(span, map[string]float64{"a": 1.25 * load, "b": 1.25 * load})
		s.run()
		goodput[load] = (s.goodput["a"] + s.goodput["b"]).Seconds() / span.Seconds()
		peak = max(peak, goodput[load])
		t.Logf("load %.1f: goodput %.3f, of %d refused %d, late %d; first token p95 %v, %v, %v; retry after p95 %v", load, goodput[load],
			s.offered, s.refused, s.late, p95(s.firstToken[0]), p95(s.firstToken[1]), p95(s.firstToken[3]), p95(s.retryAfter))
		is.True(s.late*25 <= s.offered) // at most 4 %
		if load <= 1.5 {
			is.True(s.late*100 <= s.offered) // at most 1 %
			is.True(p95(s.firstToken[routing.ClassShort]) < time.Second)
		}
	}
	is.True(goodput[1.5] > 0.9*peak)
	is.True(goodput[2] > 0.9*peak)
}

// TestFlood has workspace a send ten times its usual load: workspace b must keep at least
// nine tenths of its goodput.
func TestFlood(t *testing.T) {
	is := is.New(t)
	simulate := func(a float64) (b time.Duration, s *sim) {
		s = newSim(1)
		s.scheduleArrivals(2*time.Minute, map[string]float64{"b": 0.7})
		s.scheduleArrivals(2*time.Minute, map[string]float64{"a": a})
		s.run()
		return s.goodput["b"], s
	}
	alone, _ := simulate(0.7)
	flooded, s := simulate(7)
	t.Logf("goodput of b: %v with a at 0.7 per second, %v with a at 7; refused %d, late %d of %d", alone, flooded, s.refused, s.late, s.offered)
	is.True(flooded > alone*9/10)
	is.True(s.refused > 0)
}

// TestSlowEngine uses an engine ten times slower than assumed: after the first runs the
// queue has learned this and refuses items that would be late.
func TestSlowEngine(t *testing.T) {
	is := is.New(t)
	s := newSim(10)
	s.scheduleArrivals(10*time.Minute, map[string]float64{"a": 0.5, "b": 0.5})
	s.run()
	t.Logf("offered %d, refused %d, late %d, cost %v", s.offered, s.refused, s.late, s.q.Load(s.now).Cost)
	is.True(s.refused > s.offered/2)
	is.True(s.late < s.offered/10)
	is.True(s.goodput["a"]+s.goodput["b"] > 0)
}

// TestResubmits has a burst of callers retry when told to: their retries must be spread
// out, so that few callers need a third attempt.
func TestResubmits(t *testing.T) {
	is := is.New(t)
	const callers = 300
	s := newSim(1)
	s.resubmit = true
	rnd := rand.New(rand.NewPCG(5, 6))
	for i := range callers {
		it := randomItem(rnd, i, "a", epoch)
		it.PromptTokens, it.Class, it.MemoryTokens, it.Deadline = 3_000, routing.ClassShort, 3_100, at(10_000)
		s.schedule(it)
	}
	s.run()
	t.Logf("%d callers made %d offers, late %d, finished after %v", callers, s.offered, s.late, s.now.Sub(epoch))
	is.True(s.offered < 3*callers)
	is.True(s.late < callers/20)
}
