package relay

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/catalog"
)

const turnedAway = "503 Service Unavailable"

// restLines are the lines of an answer that turns a request away and asks for rest.
func restLines(d time.Duration) string {
	return "Not-Run: 1\r\nRest-Ms: " + strconv.FormatInt(d.Milliseconds(), 10) + "\r\n"
}

// TestRestIsOfOneGateway: it sends nothing there until the rest is over, without any sign of illness; another one does.
func TestRestIsOfOneGateway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleet(t, 2, 2)
		f.send(t.Context(), 0, 500)
		resting := 0
		if f.since(0, time.Time{}) == 0 {
			resting = 1 // the one that short requests go to
		}
		id := fmt.Sprint("e", resting)
		f.answer(turnedAway, restLines(3*time.Second), resting)
		f.send(t.Context(), 0, 500)
		f.answer("", "", resting)
		g := f.gateways[0]
		is.True(g.state.Resting(id, time.Now()))
		is.True(!f.gateways[1].state.Resting(id, time.Now()))
		is.True(!g.picker.health.Suspect(id, time.Now()))
		is.Equal(len(g.picker.health.Own(time.Now())), 0)
		time.Sleep(time.Millisecond)
		began := time.Now()
		f.load(t, 50, 2*time.Second, func(int) int { return 0 })
		is.Equal(f.since(resting, began), 0)
		f.load(t, 50, 900*time.Millisecond, func(int) int { return 1 })
		is.True(f.since(resting, began) > 0)
		time.Sleep(200 * time.Millisecond)
		began = time.Now()
		f.load(t, 50, 2*time.Second, func(int) int { return 0 })
		is.True(f.since(resting, began) > 20) // as much as the other one, but for the first ones
		is.True(!g.state.rests.Any())
		is.Equal(len(f.refused), 0)
	})
}

// TestRestedWhileChosen: a request whose endpoint, or one that reads for it, asks for rest after it was chosen does not go there.
func TestRestedWhileChosen(t *testing.T) {
	ask := func(g *Gateway, id string) {
		g.noteAnswer(catalog.Endpoint{ID: id}, 0, &http.Response{StatusCode: 503, Header: http.Header{"Rest-Ms": {"1000"}}}, callersRequest, "")
	}
	for name, tc := range map[string]struct {
		who     func(at *place) string
		dialing bool
	}{
		"the endpoint":         {func(at *place) string { return at.endpoint.ID }, false},
		"a helper":             {func(at *place) string { return at.helpers[0].ID }, false},
		"while it is dialed":   {func(at *place) string { return at.endpoint.ID }, true},
		"helper, while dialed": {func(at *place) string { return at.helpers[0].ID }, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newLimitFleet(t, 1, 4)
				g := f.gateways[0]
				x, _ := f.exchange(t.Context(), 0, 100_000)
				at, _ := x.place(t.Context())
				is.True(at != nil && len(at.helpers) > 0)
				if tc.dialing {
					f.dialed = func() { ask(g, tc.who(at)) }
				} else {
					ask(g, tc.who(at))
				}
				isWithdrawn(is, x, at)
				is.Equal(len(g.picker.health.Own(time.Now())), 0)
			})
		})
	}
}

// TestAllRest: who cannot wait is refused at once and told when the rest is over, one after the other.
func TestAllRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleet(t, 1, 2)
		f.answer(turnedAway, restLines(3*time.Second), 0, 1)
		f.send(t.Context(), 0, 500)
		f.answer("", "", 0, 1)
		is.Equal(f.refused, []time.Duration{0})
		time.Sleep(time.Second)
		began := time.Now()
		for range 3 {
			is.Equal(f.send(t.Context(), 0, 500), refusedRest)
		}
		is.Equal(f.refused[1:], []time.Duration{0, 0, 0})
		is.Equal(f.told[1:], []string{"2.02", "2.03", "2.04"}) // the first one was told 3.010
		is.Equal(f.since(0, began)+f.since(1, began), 0)
		time.Sleep(2010 * time.Millisecond)
		f.send(t.Context(), 0, 500)
		is.Equal(f.answered, 1)
	})
}

// TestRequestsWaitForARest: those that are in time after it wait, and are sent in the order of their callers.
func TestRequestsWaitForARest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleet(t, 1, 1)
		f.took = queueStep + 10*time.Millisecond // a wait that misses a change ends before
		f.gateways[0].state.Rest("e0", 700*time.Millisecond, time.Now())
		rested := time.Now().Add(700 * time.Millisecond)
		var ended []int
		var mu sync.Mutex
		var all sync.WaitGroup
		for n := range 6 {
			all.Go(func() {
				f.send(t.Context(), 0, 500)
				mu.Lock()
				defer mu.Unlock()
				ended = append(ended, n)
			})
			time.Sleep(10 * time.Millisecond)
		}
		all.Wait()
		is.Equal(f.answered, 6)
		slices.Sort(ended[1:3])
		slices.Sort(ended[3:])
		is.Equal(ended, []int{0, 1, 2, 3, 4, 5}) // one, then two, then the others
		is.Equal(f.since(0, time.Time{}), f.since(0, rested))
		is.True(time.Since(rested) < 200*time.Millisecond)
	})
}

// TestPromptThatNeedsARestingHelper: one that is over the memory of those that do not rest is refused at once.
func TestPromptThatNeedsARestingHelper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleet(t, 1, 3)
		for _, id := range []string{"e0", "e1"} {
			f.gateways[0].state.Rest(id, 4*time.Second, time.Now())
		}
		is.Equal(f.send(t.Context(), 0, 400_000), refusedRest)
		is.Equal(f.refused, []time.Duration{0})
		is.Equal(f.told, []string{"4.01"})
		f.send(t.Context(), 0, 500)
		is.Equal(f.answered, 1) // the third endpoint serves what fits
	})
}

// TestNoQuestionsInARest: an endpoint at which requests failed is asked about itself, but for its rest.
func TestNoQuestionsInARest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleet(t, 1, 2)
		g := f.gateways[0]
		for range 3 {
			g.picker.note("e0", 1, time.Now())
		}
		time.Sleep(time.Second)
		is.True(f.since(0, time.Time{}) > 0)
		g.state.Rest("e0", 3*time.Second, time.Now())
		began := time.Now()
		time.Sleep(2900 * time.Millisecond)
		is.Equal(f.since(0, began), 0)
	})
}

// TestRestOfAnEndpointThatStartedAgain: a rest that the new life may have asked for before a list told of it holds, one of the life before does not.
func TestRestOfAnEndpointThatStartedAgain(t *testing.T) {
	cases := []struct {
		name              string
		askedMs, listedMs int // before the list that tells
		rests             bool
	}{
		{"a moment ago", 700, 500, true},
		{"long before", 3000, 500, false},
		{"while the store was away", 3000, 4000, true},
		{"before the store was away", 6000, 4000, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			s := NewState()
			e := catalog.Endpoint{ID: "a", Service: "s", Address: "127.0.0.1:1", Born: 1}
			s.Listed([]catalog.Endpoint{e}, at(-10_000), at(-10_000), time.Time{})
			s.Listed([]catalog.Endpoint{e}, at(-tc.listedMs), at(-tc.listedMs), time.Time{})
			is.True(s.Rest(e.ID, time.Minute, at(-tc.askedMs)))
			e.Born = 2
			s.Listed([]catalog.Endpoint{e}, at(0), at(0), time.Time{})
			is.Equal(s.Resting(e.ID, at(0)), tc.rests)
			s.Listed(nil, at(1000), at(1000), time.Time{})
			is.True(!s.Resting(e.ID, at(1000))) // it is gone
		})
	}
}
