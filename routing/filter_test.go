package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// idleEndpoint returns an eligible endpoint without load.
func idleEndpoint(name string) Candidate {
	return Candidate{
		Endpoint: name, DataCentre: "cdf-a", Connected: true, InLongLane: true,
		Models: map[string]bool{"caption": true}, MemoryTokens: 400_000, FreeTokens: 400_000,
	}
}

func alwaysZero(int) int { return 0 }

func TestFilters(t *testing.T) {
	short := Request{Model: "caption", PromptTokens: 1_000, MaxTokens: 100, DataCentre: "cdf-a"}
	long := Request{Model: "caption", PromptTokens: 120_000, DataCentre: "cdf-a"}
	huge := Request{Model: "caption", PromptTokens: 399_999, MaxTokens: 2}
	call := Request{Service: "album-web"}
	cached := func([]uint64) int { return 116 }
	cases := []struct {
		name   string
		req    Request
		change func(c *Candidate)
		want   string // filter that rejects the endpoint; empty if it is kept
	}{
		{"usable", short, func(c *Candidate) {}, ""},
		{"other model", short, func(c *Candidate) { c.Models = nil }, FilterServes},
		{"service", call, func(c *Candidate) { c.Service = "album-web" }, ""},
		{"other service", call, func(c *Candidate) { c.Service = "bid-api" }, FilterServes},
		{"never connected", short, func(c *Candidate) { c.Connected = false }, FilterConnected},
		{"disconnected, recent message", short, func(c *Candidate) { c.Connected, c.Silence = false, time.Second }, ""},
		{"disconnected, silent", short, func(c *Candidate) { c.Connected, c.Silence = false, 2*time.Second }, FilterConnected},
		{"leaving", short, func(c *Candidate) { c.Draining = true }, FilterDraining},
		{"breaker", short, func(c *Candidate) { c.BreakerOpen = true }, FilterBreaker},
		{"failed this request", withExcluded(short, "e"), func(c *Candidate) {}, FilterExcluded},
		{"failed another", withExcluded(short, "f"), func(c *Candidate) {}, ""},
		{"memory too small", huge, func(c *Candidate) {}, FilterMemory},
		{"memory unknown", huge, func(c *Candidate) { c.MemoryTokens = 0 }, ""},
		{"memory in use", short, func(c *Candidate) { c.FreeTokens = 0 }, ""},
		{"short outside lane", short, func(c *Candidate) { c.InLongLane = false }, ""},
		{"medium outside lane", Request{Model: "caption", PromptTokens: 5_000}, func(c *Candidate) { c.InLongLane = false }, FilterLane},
		{"long outside lane", long, func(c *Candidate) { c.InLongLane = false }, FilterLane},
		{"long but cached", withPrefix(long), func(c *Candidate) { c.InLongLane, c.Cached = false, cached }, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := idleEndpoint("e")
			tc.change(&c)
			d := Default().Choose(tc.req, []Candidate{c}, alwaysZero, true)
			is.Equal(d.Scores[0].Filtered, tc.want)
			is.Equal(d.Scores[0].Kept, tc.want == "")
			if tc.want == "" {
				is.Equal(d.Reason, ReasonBest)
				return
			}
			// The lane filter is only a preference: an endpoint outside the lane
			// is selected if there is no other.
			is.Equal(d.Index == 0, tc.want == FilterLane)
			is.Equal(d.Reason == tc.want, tc.want != FilterLane)
		})
	}
}

func withExcluded(r Request, name string) Request {
	r.Excluded = map[string]bool{name: true}
	return r
}

func withPrefix(r Request) Request {
	r.Prefix = make([]uint64, 116)
	return r
}
