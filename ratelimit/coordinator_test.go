package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fixed returns Rates that look up a map.
func fixed(rates map[string]float64) Rates {
	return func(id string) (float64, bool) {
		r, ok := rates[id]
		return r, ok
	}
}

// simulate sends requests at a fixed interval for the given duration of simulated time, each of which waits
// for at most maxWait. It returns the times of the grants by endpoint, and the number of refusals.
func simulate(rates Rates, endpoints []string, interval, maxWait, duration time.Duration) (granted map[string][]time.Time, refused int) {
	c, begin := NewCoordinator(), time.Unix(0, 0)
	granted = make(map[string][]time.Time)
	var waiting []*GrantRequest
	next := begin
	for now := begin; now.Sub(begin) < duration; now = now.Add(time.Millisecond) {
		if !now.Before(next) {
			waiting = append(waiting, &GrantRequest{Endpoints: endpoints, Since: now, Until: now.Add(maxWait)})
			next = next.Add(interval)
		}
		var remaining []*GrantRequest
		for _, r := range waiting {
			switch decision := c.Try(r, rates, now); {
			case decision.Endpoint != "":
				granted[decision.Endpoint] = append(granted[decision.Endpoint], now)
			case decision.Refused:
				refused++
			default:
				remaining = append(remaining, r)
			}
		}
		waiting = remaining
	}
	return granted, refused
}

// TestLimitIsKeptAndUsed checks that, with more requests than the endpoints accept, no endpoint gets more than
// its limit and the permitted burst in any four seconds, and that at least 90% of the limits is used.
func TestLimitIsKeptAndUsed(t *testing.T) {
	for _, perSecond := range []float64{0.2, 0.5, 1.9, 7, 50} {
		rates := fixed(map[string]float64{"a": perSecond, "b": perSecond})
		duration := max(30*time.Second, time.Duration(30/perSecond)*time.Second)
		granted, _ := simulate(rates, []string{"a", "b"}, 5*time.Millisecond, 100*time.Millisecond, duration)
		total := 0
		for id, times := range granted {
			total += len(times)
			for i, from := range times {
				n := 0
				for _, at := range times[i:] {
					if at.Sub(from) < 4*time.Second {
						n++
					}
				}
				if most := 4*perSecond + perSecond*burstWindow.Seconds() + 1; float64(n) > most {
					t.Errorf("%s at %.1f requests a second: %d granted in four seconds, want at most %.1f", id, perSecond, n, most)
				}
			}
		}
		if used := float64(total) / (2 * perSecond * duration.Seconds()); used < 0.9 {
			t.Errorf("%.1f requests a second: %.2f of the limits used, want at least 0.9", perSecond, used)
		}
	}
}

// TestChangedLimitAppliesAtOnce guards against a raised limit taking effect late: an endpoint that accepted one
// request in ten seconds and now accepts five a second got none for the rest of the ten seconds, and then all
// waiting requests at once. The remaining wait must scale with the interval between grants.
func TestChangedLimitAppliesAtOnce(t *testing.T) {
	is := is.New(t)
	limits := map[string]float64{"a": 0}
	rates := fixed(limits)
	c, now := NewCoordinator(), time.Unix(0, 0)
	try := func() Decision {
		return c.Try(&GrantRequest{Endpoints: []string{"a"}, Since: now, Until: now}, rates, now)
	}
	try() // creates the pacer
	now = now.Add(10 * time.Second)
	is.Equal(try().Endpoint, "a")
	is.True(try().Refused)
	limits["a"] = 5
	granted := 0
	for end := now.Add(2 * time.Second); now.Before(end); now = now.Add(10 * time.Millisecond) {
		if try().Endpoint != "" {
			granted++
		}
	}
	is.True(granted >= 9 && granted <= 13) // including the burst of half a second

	limits["a"] = 0.5
	granted = 0
	for end := now.Add(8 * time.Second); now.Before(end); now = now.Add(10 * time.Millisecond) {
		if try().Endpoint != "" {
			granted++
		}
	}
	is.True(granted >= 3 && granted <= 5)
}

// TestUnevenCallersUseTheLimit checks that no request is refused if requests arrive in bursts but at a lower
// average rate than the endpoints accept.
func TestUnevenCallersUseTheLimit(t *testing.T) {
	is := is.New(t)
	c, now := NewCoordinator(), time.Unix(0, 0)
	rates := fixed(map[string]float64{"a": 2, "b": 2, "c": 2, "d": 2})
	ids := []string{"a", "b", "c", "d"}
	c.Try(&GrantRequest{Endpoints: ids, Since: now, Until: now}, rates, now) // creates the pacers
	refused := 0
	for range 10 {
		now = now.Add(time.Second)
		for range 6 { // six at once, every second
			if c.Try(&GrantRequest{Endpoints: ids, Since: now, Until: now}, rates, now).Refused {
				refused++
			}
		}
	}
	is.Equal(refused, 0)
}

// TestUrgentFirst checks that waiting requests are granted by urgency and then by arrival, and that a request
// that can no longer be granted in time is refused at once.
func TestUrgentFirst(t *testing.T) {
	is := is.New(t)
	c, now := NewCoordinator(), time.Unix(0, 0)
	rates := fixed(map[string]float64{"a": 2})
	newRequest := func(urgency int, since, maxWait time.Duration) *GrantRequest {
		return &GrantRequest{Endpoints: []string{"a"}, Urgency: urgency, Since: now.Add(since), Until: now.Add(maxWait)}
	}
	second := newRequest(1, 20*time.Millisecond, 10*time.Second)
	first := newRequest(1, 10*time.Millisecond, 10*time.Second)
	urgent := newRequest(0, 30*time.Millisecond, 10*time.Second)
	shortWait := newRequest(1, 0, 600*time.Millisecond)
	is.Equal(c.Try(second, rates, now).Expected, now.Add(500*time.Millisecond))
	is.Equal(c.Try(first, rates, now).Expected, now.Add(500*time.Millisecond))
	is.Equal(c.Try(second, rates, now).Expected, now.Add(time.Second))
	is.Equal(c.Try(shortWait, rates, now).Expected, now.Add(500*time.Millisecond))
	is.Equal(c.Try(urgent, rates, now).Expected, now.Add(500*time.Millisecond))
	is.True(c.Try(shortWait, rates, now).Refused)
	now = now.Add(500 * time.Millisecond)
	is.Equal(c.Try(first, rates, now).Expected, now.Add(500*time.Millisecond))
	is.Equal(c.Try(urgent, rates, now).Endpoint, "a")
	c.Remove(first) // its caller has disconnected
	is.Equal(c.Try(second, rates, now).Expected, now.Add(500*time.Millisecond))
}

// TestRefusedCallersRetryOneByOne checks that refused callers are told to retry one after the other, at the
// rate at which the endpoints accept requests.
func TestRefusedCallersRetryOneByOne(t *testing.T) {
	is := is.New(t)
	c, now := NewCoordinator(), time.Unix(0, 0)
	rates := fixed(map[string]float64{"a": 2, "b": 2})
	var delays []time.Duration
	for range 60 {
		decision := c.Try(&GrantRequest{Service: "s", Endpoints: []string{"a", "b"}, Since: now, Until: now}, rates, now)
		is.True(decision.Refused)
		delays = append(delays, decision.RetryAfter)
	}
	is.Equal(delays[0], 750*time.Millisecond)
	is.Equal(delays[1]-delays[0], 250*time.Millisecond)
	is.Equal(delays[59], maxRetryAfter)
	is.Equal(c.Try(&GrantRequest{Service: "s", Endpoints: []string{"gone"}, Until: now}, rates, now), Decision{Unlimited: true})
}

// TestProbes checks that probes are granted at intervals, also for an endpoint that accepts no requests.
func TestProbes(t *testing.T) {
	is := is.New(t)
	c, now := NewCoordinator(), time.Unix(0, 0)
	rates := fixed(map[string]float64{"a": 5, "none": 0})
	probe := func(id string) bool {
		return c.Try(&GrantRequest{Endpoints: []string{id}, Probe: true}, rates, now).Endpoint != ""
	}
	is.True(!probe("a"))
	is.True(!probe("none"))
	now = now.Add(300 * time.Millisecond)
	is.True(probe("a"))
	now = now.Add(ProbeInterval / 2)
	is.True(!probe("a")) // less than ProbeInterval since the previous one
	now = now.Add(ProbeInterval / 2)
	is.True(probe("a"))
	is.True(!probe("none"))
	now = now.Add(10 * time.Second)
	c.Try(&GrantRequest{Endpoints: []string{"none"}, Until: now.Add(-1)}, rates, now)
	is.True(probe("none"))
	is.True(!probe("none"))
	is.True(!probe("without a limit"))
}

// BenchmarkTry measures one Try of a request that waits with 35 others for 18 endpoints, as in a data centre of
// 181 endpoints of which a tenth have limits. The result is in docs/CAPACITY.md.
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
	var requests []*GrantRequest
	for n := range 36 {
		r := &GrantRequest{Service: "s", Endpoints: ids, Since: now.Add(time.Duration(n) * time.Millisecond), Until: now.Add(time.Hour)}
		c.Try(r, rates, now)
		requests = append(requests, r)
	}
	b.ResetTimer()
	for n := range b.N {
		c.Try(requests[n%len(requests)], rates, now)
	}
}
