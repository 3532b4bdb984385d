package relay

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/catalog"
)

const leaves = "Leaves: 1\r\n"

// TestLeaveIsToldBeforeItIsMet: gateways that got no answer themselves hear of it, also when words were lost.
func TestLeaveIsToldBeforeItIsMet(t *testing.T) {
	for name, lost := range map[string]time.Duration{"at once": 0, "words lost for 5 s": 5 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newLimitFleet(t, 6, 4)
				time.Sleep(2 * time.Second)
				f.setLose(func(int, int) bool { return lost > 0 })
				f.answer("", leaves, 0)
				f.gateways[0].noteAnswer(catalog.Endpoint{ID: "e0"}, 0, &http.Response{StatusCode: 200, Header: http.Header{"Leaves": {"1"}}}, callersRequest, "r")
				time.Sleep(lost)
				f.setLose(nil)
				if lost > 0 {
					time.Sleep(3 * time.Second) // they are repeated
				}
				time.Sleep(50 * time.Millisecond)
				for _, g := range f.gateways {
					is.True(!g.state.StillTakes("e0", time.Now()))
				}
				began := time.Now()
				f.load(t, 50, 2*time.Second, func(n int) int { return n % 6 })
				is.Equal(f.since(0, began), 0)
				is.Equal(len(f.refused), 0)
			})
		})
	}
}

// TestListTakesNoLeaveBack: an entry that still says ready, an older copy or a peer that knows of an earlier life only.
func TestListTakesNoLeaveBack(t *testing.T) {
	is := is.New(t)
	m := newMembers()
	both := func(born int64) []catalog.Endpoint {
		list := endpoints("a", "b")
		list[1].Born = born
		return list
	}
	m.listed(both(1), at(0), time.Time{})
	news, changes := m.left(catalog.Endpoint{ID: "b", Born: 1}, "answer", at(10))
	is.True(news)
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Source, "answer")
	is.Equal(names(m), "a")
	m.listed(both(1), at(20), time.Time{})
	is.Equal(names(m), "a")
	m.restored = at(30)
	m.listed(endpoints("a"), at(40), time.Time{})
	m.listed(both(1), at(50), time.Time{})
	is.Equal(names(m), "a")
	m.listed(both(2), at(60), time.Time{})
	is.Equal(names(m), "ab")
	news, _ = m.left(catalog.Endpoint{ID: "b", Born: 1}, "g", at(70))
	is.True(!news)
	is.Equal(names(m), "ab")
}

// TestLeftBeforeItIsListed: a gateway that hears of a leave before it has read the list.
func TestLeftBeforeItIsListed(t *testing.T) {
	is := is.New(t)
	m := newMembers()
	news, changes := m.left(catalog.Endpoint{ID: "b"}, "g", at(0))
	is.True(news)
	is.Equal(len(changes), 0)
	m.listed(endpoints("a", "b"), at(10), time.Time{})
	is.Equal(names(m), "a")
}

// isWithdrawn checks that a request does not go where it was placed, may be placed again, and costs nothing.
func isWithdrawn(is *is.I, x *exchange, at *place) {
	_, again := x.attempt(x.r.Context(), at)
	is.True(again)
	is.True(x.mayRepeat())
	is.Equal(x.attempts, 0)
	is.Equal(x.g.meter.sends.Get(), uint64(0))
}

// TestLeftWhileChosen: a request whose endpoint, or one that reads for it, leaves after it was chosen does not go there.
func TestLeftWhileChosen(t *testing.T) {
	for name, leaver := range map[string]func(at *place) string{
		"the endpoint": func(at *place) string { return at.endpoint.ID },
		"a helper":     func(at *place) string { return at.helpers[0].ID },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newLimitFleet(t, 1, 4)
				g := f.gateways[0]
				x, _ := f.exchange(t.Context(), 0, 100_000)
				at, _ := x.place(t.Context())
				is.True(at != nil && len(at.helpers) > 0)
				g.left(catalog.Endpoint{ID: leaver(at)}, "g", "")
				isWithdrawn(is, x, at)
			})
		})
	}
}

// TestAllLeave: they are used for a moment, then callers are refused at once; the next ones are used as soon as they are listed.
func TestAllLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleet(t, 1, 2)
		f.answer("", leaves, 0, 1)
		for range 4 {
			f.send(t.Context(), 0, 500)
		}
		is.Equal(f.answered, 4)
		time.Sleep(lastResortTime)
		sent := f.since(0, time.Time{}) + f.since(1, time.Time{})
		is.Equal(f.send(t.Context(), 0, 500), refusedFull)
		is.Equal(f.refused, []time.Duration{0})
		is.Equal(f.told, []string{"1"})
		is.Equal(f.since(0, time.Time{})+f.since(1, time.Time{}), sent)
		next := catalog.Endpoint{ID: "e2", Service: "s", Address: addressOf(2), DataCentre: "dc0", Slots: 10}
		f.gateways[0].state.Listed([]catalog.Endpoint{next}, time.Now(), time.Now(), time.Time{})
		f.send(t.Context(), 0, 500)
		is.Equal(f.answered, 5)
	})
}

// TestLeaveOfAnEndpointThatStartedAgain: what was said just before the news may have been said by the new life, which is asked.
func TestLeaveOfAnEndpointThatStartedAgain(t *testing.T) {
	for name, tc := range map[string]struct {
		lines  string        // of the new life's answers
		said   time.Duration // before the news
		asked  bool
		leaves bool
	}{
		"the new life leaves":      {leaves, time.Second, true, true},
		"the one before left":      {"", time.Second, true, false},
		"the one before, long ago": {"", 5 * time.Second, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newLimitFleet(t, 1, 2)
				g := f.gateways[0]
				list := g.state.Endpoints("s")
				list = []catalog.Endpoint{list[0], list[1]}
				list[0].Born = 1
				read := func() {
					for _, c := range g.state.Listed(list, time.Now(), time.Now(), time.Time{}) {
						g.memberChanged(c)
					}
				}
				read()
				time.Sleep(10 * time.Second)
				g.left(list[0], "answer", "r")
				time.Sleep(tc.said - 500*time.Millisecond)
				read()
				time.Sleep(500 * time.Millisecond)
				f.answer("", tc.lines, 0, 1)
				began := time.Now()
				list[0].Born = 2
				read()
				is.Equal(!g.state.StillTakes(list[0].ID, time.Now()), tc.asked)
				time.Sleep(100 * time.Millisecond)
				is.Equal(f.since(0, began)+f.since(1, began) > 0, tc.asked)
				is.Equal(!g.state.StillTakes(list[0].ID, time.Now()), tc.leaves)
				is.Equal(len(g.state.TellLeaves(true, time.Now())) > 0, tc.leaves)
			})
		})
	}
}
