package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fixed returns rates that do not change.
func fixed(rates map[string]float64) Rates {
	return func(id string) (float64, bool) {
		r, ok := rates[id]
		return r, ok
	}
}

// grants plays requests that come every so often for so long, and returns when each endpoint was granted.
func grants(rates Rates, endpoints []string, every, patience, length time.Duration) (granted map[string][]time.Time, refused int) {
	c, begin := NewCoordinator(), time.Unix(0, 0)
	granted = make(map[string][]time.Time)
	var waiting []*Ask
	next := begin
	for now := begin; now.Sub(begin) < length; now = now.Add(time.Millisecond) {
		if !now.Before(next) {
			waiting = append(waiting, &Ask{Endpoints: endpoints, Since: now, Until: now.Add(patience)})
			next = next.Add(every)
		}
		var rest []*Ask
		for _, a := range waiting {
			switch answer := c.Try(a, rates, now); {
			case answer.Endpoint != "":
				granted[answer.Endpoint] = append(granted[answer.Endpoint], now)
			case answer.Refused:
				refused++
			default:
				rest = append(rest, a)
			}
		}
		waiting = rest
	}
	return granted, refused
}

// TestLimitIsKeptAndUsed: under more requests than the endpoints take, none gets more than it named in any four
// seconds beyond what it may have saved, and nearly all that they take is granted.
func TestLimitIsKeptAndUsed(t *testing.T) {
	for _, perSecond := range []float64{0.2, 0.5, 1.9, 7, 50} {
		rates := fixed(map[string]float64{"a": perSecond, "b": perSecond})
		length := max(30*time.Second, time.Duration(30/perSecond)*time.Second)
		granted, _ := grants(rates, []string{"a", "b"}, 5*time.Millisecond, 100*time.Millisecond, length)
		all := 0
		for id, times := range granted {
			all += len(times)
			for i, from := range times {
				n := 0
				for _, at := range times[i:] {
					if at.Sub(from) < 4*time.Second {
						n++
					}
				}
				if most := 4*perSecond + perSecond*burstSpan.Seconds() + 1; float64(n) > most {
					t.Errorf("%s at %.1f a second: %d in four seconds, want at most %.1f", id, perSecond, n, most)
				}
			}
		}
		if used := float64(all) / (2 * perSecond * length.Seconds()); used < 0.9 {
			t.Errorf("%.1f a second: %.2f of the limits used", perSecond, used)
		}
	}
}

// TestChangedLimitHoldsAtOnce: an endpoint that took one request in ten seconds and takes five a second from now on got nothing for
// the rest of the ten; while it was so, all who waited were granted together at its end. What is owed is owed in requests, not in time.
func TestChangedLimitHoldsAtOnce(t *testing.T) {
	is := is.New(t)
	limits := map[string]float64{"a": 0}
	rates := fixed(limits)
	c, now := NewCoordinator(), time.Unix(0, 0)
	ask := func() Answer {
		return c.Try(&Ask{Endpoints: []string{"a"}, Since: now, Until: now}, rates, now)
	}
	ask() // its pacer begins
	now = now.Add(10 * time.Second)
	is.Equal(ask().Endpoint, "a")
	is.True(ask().Refused)
	limits["a"] = 5
	granted := 0
	for end := now.Add(2 * time.Second); now.Before(end); now = now.Add(10 * time.Millisecond) {
		if ask().Endpoint != "" {
			granted++
		}
	}
	is.True(granted >= 9 && granted <= 13) // and what it saves in half a second

	limits["a"] = 0.5
	granted = 0
	for end := now.Add(8 * time.Second); now.Before(end); now = now.Add(10 * time.Millisecond) {
		if ask().Endpoint != "" {
			granted++
		}
	}
	is.True(granted >= 3 && granted <= 5)
}

// TestUnevenCallersUseTheLimit: callers that ask for less than the endpoints take, but unevenly, are served.
func TestUnevenCallersUseTheLimit(t *testing.T) {
	is := is.New(t)
	c, now := NewCoordinator(), time.Unix(0, 0)
	rates := fixed(map[string]float64{"a": 2, "b": 2, "c": 2, "d": 2})
	ids := []string{"a", "b", "c", "d"}
	c.Try(&Ask{Endpoints: ids, Since: now, Until: now}, rates, now) // the pacers begin
	refused := 0
	for range 10 {
		now = now.Add(time.Second)
		for range 6 { // six at once, every second
			if c.Try(&Ask{Endpoints: ids, Since: now, Until: now}, rates, now).Refused {
				refused++
			}
		}
	}
	is.Equal(refused, 0)
}

// TestUrgentFirst: the most urgent of those that wait is granted first, then the one whose caller came first; one that
// cannot be granted in time any more is refused at once.
func TestUrgentFirst(t *testing.T) {
	is := is.New(t)
	c, now := NewCoordinator(), time.Unix(0, 0)
	rates := fixed(map[string]float64{"a": 2})
	ask := func(urgency int, since, patience time.Duration) *Ask {
		return &Ask{Endpoints: []string{"a"}, Urgency: urgency, Since: now.Add(since), Until: now.Add(patience)}
	}
	second := ask(1, 20*time.Millisecond, 10*time.Second)
	first := ask(1, 10*time.Millisecond, 10*time.Second)
	urgent := ask(0, 30*time.Millisecond, 10*time.Second)
	hasty := ask(1, 0, 600*time.Millisecond)
	is.Equal(c.Try(second, rates, now).Expected, now.Add(500*time.Millisecond))
	is.Equal(c.Try(first, rates, now).Expected, now.Add(500*time.Millisecond))
	is.Equal(c.Try(second, rates, now).Expected, now.Add(time.Second))
	is.Equal(c.Try(hasty, rates, now).Expected, now.Add(500*time.Millisecond))
	is.Equal(c.Try(urgent, rates, now).Expected, now.Add(500*time.Millisecond))
	is.True(c.Try(hasty, rates, now).Refused)
	now = now.Add(500 * time.Millisecond)
	is.Equal(c.Try(first, rates, now).Expected, now.Add(500*time.Millisecond))
	is.Equal(c.Try(urgent, rates, now).Endpoint, "a")
	c.Leave(first) // its caller has gone
	is.Equal(c.Try(second, rates, now).Expected, now.Add(500*time.Millisecond))
}

// TestRefusedCallersComeBackOneByOne: refused callers are told to come back as fast as the endpoints take requests.
func TestRefusedCallersComeBackOneByOne(t *testing.T) {
	is := is.New(t)
	c, now := NewCoordinator(), time.Unix(0, 0)
	rates := fixed(map[string]float64{"a": 2, "b": 2})
	var told []time.Duration
	for range 60 {
		a := c.Try(&Ask{Service: "s", Endpoints: []string{"a", "b"}, Since: now, Until: now}, rates, now)
		is.True(a.Refused)
		told = append(told, a.RetryAfter)
	}
	is.Equal(told[0], 750*time.Millisecond)
	is.Equal(told[1]-told[0], 250*time.Millisecond)
	is.Equal(told[59], longestPromise)
	is.Equal(c.Try(&Ask{Service: "s", Endpoints: []string{"gone"}, Until: now}, rates, now), Answer{Unlimited: true})
}

// TestProbes: an endpoint that nobody needs gets a request now and then, also one that takes none, and none while others wait for it.
func TestProbes(t *testing.T) {
	is := is.New(t)
	c, now := NewCoordinator(), time.Unix(0, 0)
	rates := fixed(map[string]float64{"a": 5, "none": 0})
	probe := func(id string) bool {
		return c.Try(&Ask{Endpoints: []string{id}, Probe: true}, rates, now).Endpoint != ""
	}
	is.True(!probe("a"))
	is.True(!probe("none"))
	now = now.Add(300 * time.Millisecond)
	is.True(probe("a"))
	now = now.Add(ProbeEvery / 2)
	is.True(!probe("a")) // one was sent lately
	now = now.Add(ProbeEvery / 2)
	is.True(probe("a"))
	is.True(!probe("none"))
	now = now.Add(10 * time.Second)
	c.Try(&Ask{Endpoints: []string{"none"}, Until: now.Add(-1)}, rates, now)
	is.True(probe("none"))
	is.True(!probe("none"))
	is.True(!probe("without a limit"))
}

// BenchmarkTry measures one look at a request that waits among 35 others for 18 endpoints: a data centre of 181 endpoints of which
// a tenth are limited. docs/CAPACITY.md has the figure.
func BenchmarkTry(b *testing.B) {
	now := time.Now()
	limits := make(map[string]float64)
	var ids []string
	for n := range 18 {
		id := fmt.Sprint("e", n)
		ids = append(ids, id)
		limits[id] = 1.9
	}
	rates := fixed(limits)
	c := NewCoordinator()
	var asks []*Ask
	for n := range 36 {
		a := &Ask{Service: "s", Endpoints: ids, Since: now.Add(time.Duration(n) * time.Millisecond), Until: now.Add(time.Hour)}
		c.Try(a, rates, now)
		asks = append(asks, a)
	}
	b.ResetTimer()
	for n := range b.N {
		c.Try(asks[n%len(asks)], rates, now)
	}
}
