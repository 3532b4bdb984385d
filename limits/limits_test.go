package limits

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// fleet is a set of gateways that report their recent use to each other.
type fleet []*Table

func newFleet(n int, l Limit) fleet {
	f := make(fleet, n)
	for i := range f {
		f[i] = NewTable(fmt.Sprint("gateway-", i), n-1)
		f[i].SetLimits(map[string]Limit{"w": l}, epoch)
	}
	f.exchange(epoch)
	return f
}

func (f fleet) exchange(now time.Time) {
	for _, from := range f {
		for _, to := range f {
			to.RecordPeer(from.self, from.Demands(now), now)
		}
	}
	for _, t := range f {
		t.Tick(now)
	}
}

// sendRequests sends requests at the given rates to the gateways for some seconds. It
// returns how many each gateway admitted in the second half.
func (f fleet) sendRequests(seconds int, tokens uint64, perSecond ...int) (admitted []int, total int) {
	admitted = make([]int, len(f))
	for ms := range seconds * 1000 {
		now := at(ms)
		if ms%1000 == 0 {
			f.exchange(now)
		}
		for i, r := range perSecond {
			if r == 0 || ms%(1000/r) != 0 || !f[i].Admit("w", tokens, now).OK {
				continue
			}
			f[i].Done("w")
			if ms >= seconds*500 {
				admitted[i]++
				total++
			}
		}
	}
	return admitted, total
}

func TestSplit(t *testing.T) {
	cases := []struct {
		name      string
		limit     Limit
		tokens    uint64
		perSecond []int
		want      int // admitted per second by all gateways
		busiest   int // least admitted per second by the first gateway
	}{
		{"under the limit, all at one gateway", Limit{RequestsPerSecond: 60}, 1, []int{50, 0, 0}, 50, 50},
		{"over the limit, all at one gateway", Limit{RequestsPerSecond: 60}, 1, []int{200, 0, 0}, 52, 50},
		{"over the limit, even", Limit{RequestsPerSecond: 60}, 1, []int{100, 100, 100}, 60, 19},
		{"over the limit, uneven", Limit{RequestsPerSecond: 60}, 1, []int{200, 100, 0}, 56, 34},
		{"tokens", Limit{TokensPerSecond: 20_000}, 1_000, []int{100, 100}, 20, 9},
		{"prompts larger than a second's tokens", Limit{TokensPerSecond: 20_000}, 100_000, []int{10}, 0, 0},
		{"no limit", Limit{}, 1, []int{100, 100}, 200, 100},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			const seconds = 40
			admitted, total := newFleet(len(tc.perSecond), tc.limit).sendRequests(seconds, tc.tokens, tc.perSecond...)
			t.Log(admitted, total)
			perSecond := float64(total) / (seconds / 2)
			is.True(perSecond >= 0.93*float64(tc.want) && perSecond <= 1.07*float64(tc.want)+0.25)
			is.True(admitted[0] >= tc.busiest*seconds/2*9/10)
		})
	}
}

// TestSharesSumToOne checks that gateways with the same view never give out more than the
// limit, and that each gets a part of it.
func TestSharesSumToOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		f := newFleet(rapid.IntRange(1, 25).Draw(t, "gateways"), Limit{RequestsPerSecond: 100, TokensPerSecond: 1e6})
		for _, g := range f {
			for range rapid.IntRange(0, 30).Draw(t, "requests") {
				g.Admit("w", rapid.Uint64Range(0, 100_000).Draw(t, "tokens"), epoch)
			}
		}
		f.exchange(epoch)
		var requests, tokens float64
		for _, g := range f {
			r, k := g.shares("w", g.workspaces["w"], epoch)
			is.True(r > 0 && k > 0)
			requests += r
			tokens += k
		}
		is.True(requests < 1.0001 && requests > 0.9999)
		is.True(tokens < 1.0001 && tokens > 0.9999)
	})
}

// TestInFlightSumsToTheLimit: four gateways that shared a limit of ten requests in flight
// each rounded 2.5 up, and admitted twelve together. Gateways with the same view must give
// out exactly the limit, however uneven their use, and one each where the limit is
// smaller.
func TestInFlightSumsToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gateways := rapid.IntRange(1, 25).Draw(t, "gateways")
		limit := rapid.IntRange(1, 60).Draw(t, "limit")
		f := newFleet(gateways, Limit{MaxInFlight: limit})
		for _, g := range f {
			for range rapid.IntRange(0, 30).Draw(t, "requests") {
				if g.Admit("w", 1, epoch).OK {
					g.Done("w")
				}
			}
		}
		f.exchange(epoch)
		all, roundedUp := 0, 0
		for _, g := range f {
			n := g.workspaces["w"].maxInFlight
			all += n
			if n == 1 {
				roundedUp++ // its part may be less than one
			}
		}
		if all > limit+roundedUp || all < limit {
			t.Fatalf("%d gateways admit %d in flight, the limit is %d", gateways, all, limit)
		}
	})
	is := is.New(t)
	all := 0
	for _, g := range newFleet(4, Limit{MaxInFlight: 10}) {
		all += g.workspaces["w"].maxInFlight
	}
	is.Equal(all, 10)
}

func TestPeerLost(t *testing.T) {
	is := is.New(t)
	f := newFleet(2, Limit{MaxInFlight: 10})
	inFlight := func(now time.Time) (n int) {
		for f[0].Admit("w", 1, now).OK {
			n++
		}
		for range n {
			f[0].Done("w")
		}
		return n
	}
	is.Equal(inFlight(at(0)), 5)
	f[0].Tick(at(31_000))
	is.Equal(inFlight(at(31_000)), 10)
	f[0].RecordPeer("gateway-1", nil, at(32_000))
	is.True(inFlight(at(32_000)) < 10)
	f[0].RemovePeer("gateway-1", at(33_000))
	is.Equal(inFlight(at(33_000)), 10)
}

// TestGatewaysThatStartTogether: gateways that had not heard from each other yet each gave
// out a workspace's complete limit, 24 times the limit together, until they exchanged reports
// ten seconds later. Together they must admit no more than the limit, one second's burst
// and one request each.
func TestGatewaysThatStartTogether(t *testing.T) {
	is := is.New(t)
	const gateways, perSecond, seconds = 24, 48, 10
	admitted := 0
	tables := make(fleet, gateways)
	for i := range tables {
		tables[i] = NewTable(fmt.Sprint("gateway-", i), gateways-1)
		tables[i].SetLimits(map[string]Limit{"w": {RequestsPerSecond: perSecond}, "flights": {MaxInFlight: perSecond}}, epoch)
	}
	inFlight := 0
	for _, g := range tables {
		for g.Admit("flights", 1, epoch).OK {
			inFlight++
		}
	}
	is.True(inFlight <= perSecond+gateways)
	for ms := 0; ms < seconds*1000; ms += 10 {
		for _, g := range tables {
			if ms%1000 == 0 {
				g.Tick(at(ms))
			}
			if g.Admit("w", 1, at(ms)).OK {
				admitted++
				g.Done("w")
			}
		}
	}
	is.True(admitted <= perSecond*(seconds+1)+gateways)
	alone := tables[0]
	alone.Tick(at(31_000))
	requests, _ := alone.shares("w", alone.workspaces["w"], at(31_000))
	is.Equal(requests, 1.0) // no other gateway is up
}

// TestRetryAfter sends a burst over the limit: each refused request must get a later retry
// time, at the rate of the limit and up to a bound.
func TestRetryAfter(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, Limit{RequestsPerSecond: 10})
	var last time.Duration
	refused := 0
	for range 1_000 {
		v := f[0].Admit("w", 1, epoch)
		if v.OK {
			continue
		}
		refused++
		is.True(v.RetryAfter >= last && v.RetryAfter <= MaxRetryAfter)
		is.Equal(v.Detail, "requests per second")
		last = v.RetryAfter
	}
	is.Equal(refused, 990)
	is.Equal(last, MaxRetryAfter)
}

func TestRetryBudget(t *testing.T) {
	cases := []struct {
		name     string
		requests int // sent before the failures begin
		retries  int // asked for
		want     int // granted
	}{
		{"few requests", 0, 20, 5},
		{"a burst of resubmits", 200, 200, 25},
		{"bounded", 1_000_000, 1_000, 100},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			b := NewRetryBudget(1)
			for range tc.requests {
				b.RecordRequest(epoch)
			}
			granted := 0
			for range tc.retries {
				if b.AllowRetry(epoch) {
					granted++
				}
			}
			is.True(granted >= tc.want-1 && granted <= tc.want)
			is.True(!b.AllowRetry(epoch))
			is.True(b.AllowRetry(at(10_000))) // credit returns
		})
	}
}

// TestRetryBudgetOfManyGateways: the minimum retry rate was available at each gateway, so that
// with 24 gateways a workspace with ten requests per second had every request retried.
// Together they must grant the minimum rate only once, plus a tenth of the requests.
func TestRetryBudgetOfManyGateways(t *testing.T) {
	for _, gateways := range []int{1, 6, 24, 400} {
		budgets := make([]*RetryBudget, gateways)
		for i := range budgets {
			budgets[i] = NewRetryBudget(gateways)
		}
		requests, granted := 0, 0
		for ms := 0; ms < 60_000; ms += 100 {
			b := budgets[requests%gateways]
			b.RecordRequest(at(ms))
			requests++
			if b.AllowRetry(at(ms)) {
				granted++
			}
		}
		limit := retryRatio*float64(requests) + minRetryRate*(60+budgetTimeConstant.Seconds())
		if float64(granted) > limit || granted < int(retryRatio*float64(requests))/2 && gateways <= 24 {
			t.Errorf("%d gateways: %d retries of %d requests, want at most %.0f and at least half of the retry ratio", gateways, granted, requests, limit)
		}
	}
}

func TestBreaker(t *testing.T) {
	cases := []struct {
		name   string
		events string // f: failure, s: success; 100 ms apart
		now    int    // ms
		state  State
		blocks bool
	}{
		{"new", "", 0, Closed, false},
		{"two failures", "ff", 300, Closed, false},
		{"three failures in a row", "fff", 300, Open, true},
		{"failures not in a row", "ffsffsff", 900, Closed, false},
		{"half of many fail", "sfsfsfsfsfsfsf", 1_500, Open, true},
		{"open time is over", "fff", 1_300, HalfOpen, false},
		{"late success while open", "fffs", 400, Open, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var b Breaker
			for i, e := range tc.events {
				if e == 'f' {
					b.RecordFailure(at(100 * i))
				} else {
					b.RecordSuccess(at(100 * i))
				}
			}
			is.Equal(b.State(at(tc.now)), tc.state)
			is.Equal(b.Blocks(at(tc.now)), tc.blocks)
		})
	}
}

func TestBreakerProbes(t *testing.T) {
	is := is.New(t)
	var b Breaker
	for range 3 {
		b.RecordFailure(at(0))
	}
	b.RecordSend(at(1_000))
	is.True(b.Blocks(at(1_001)))   // one probe at a time
	is.True(!b.Blocks(at(11_000))) // a probe without a response times out
	is.True(b.RecordFailure(at(1_100)))
	is.True(b.Blocks(at(3_099))) // twice the open time
	is.True(!b.Blocks(at(3_100)))
	b.RecordSend(at(3_100))
	b.RecordSuccess(at(3_200))
	is.Equal(b.State(at(3_200)), Closed)
	for i := range 40 { // one failing probe a minute
		b.RecordFailure(at(10_000 + 60_000*i))
	}
	is.True(b.State(at(10_000+60_000*39+30_000)) == HalfOpen) // at most 30 s
}
