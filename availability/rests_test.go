package availability

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func after(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }

// TestWhichRestHolds: of several asks the one that ends last.
func TestWhichRestHolds(t *testing.T) {
	type ask struct {
		atMs, restMs int
		changes      bool
	}
	cases := []struct {
		name    string
		asks    []ask
		untilMs int
	}{
		{"one", []ask{{0, 3000, true}}, 3000},
		{"a longer one", []ask{{0, 3000, true}, {1000, 3000, true}}, 4000},
		{"a shorter one", []ask{{0, 3000, true}, {1000, 500, false}}, 3000},
		{"after the first", []ask{{0, 1000, true}, {2000, 500, true}}, 2500},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			r := NewRests()
			for _, a := range tc.asks {
				is.Equal(r.Ask("e", time.Duration(a.restMs)*time.Millisecond, after(a.atMs)), a.changes)
			}
			is.True(r.Resting("e", after(tc.untilMs-1)))
			is.True(!r.Open("e", after(tc.untilMs-1)))
			is.Equal(r.OpensAt("e", after(tc.untilMs-1)), after(tc.untilMs))
			is.True(!r.Resting("e", after(tc.untilMs)))
			is.True(r.Open("e", after(tc.untilMs)))
		})
	}
}

// TestRestedEndpointGetsOneAndThenMore: not all that has waited at once.
func TestRestedEndpointGetsOneAndThenMore(t *testing.T) {
	is := is.New(t)
	r := NewRests()
	r.Ask("e", time.Second, now)
	var out []Send
	begin := func() int {
		n := 0
		for {
			s, ok := r.Begin("e", after(1000))
			if !ok {
				return n
			}
			out = append(out, s)
			n++
		}
	}
	is.Equal(begin(), 1)
	is.True(!r.End(out[0], false)) // it had no answer: the next one finds out
	out = nil
	is.Equal(begin(), 1)
	is.True(!r.End(out[0], true))
	out = nil
	is.Equal(begin(), 2)
	is.True(!r.End(out[0], true))
	is.Equal(begin(), 2) // its successor, and one more
	is.True(r.Any())
	over := false
	for _, s := range out[1:] {
		over = r.End(s, true) || over
	}
	for !over {
		s, ok := r.Begin("e", after(1000))
		is.True(ok)
		over = r.End(s, true)
	}
	is.True(!r.Any())
}

// TestAnswersOfBeforeARest: those to sends of before an ask open nothing after it.
func TestAnswersOfBeforeARest(t *testing.T) {
	is := is.New(t)
	r := NewRests()
	early, ok := r.Begin("e", now)
	is.True(ok)
	r.Ask("e", time.Second, now)
	is.True(!r.End(early, true))
	first, ok := r.Begin("e", after(1000))
	is.True(ok)
	r.Ask("e", time.Second, after(1000)) // it is turned away
	is.True(!r.End(first, true))
	_, ok = r.Begin("e", after(2000))
	is.True(ok)
	_, ok = r.Begin("e", after(2000))
	is.True(!ok)
}

// TestRestWhileTheHostIsSuspended: the time that its clock does not count is part of the rest.
func TestRestWhileTheHostIsSuspended(t *testing.T) {
	is := is.New(t)
	r := NewRests()
	r.Ask("e", 3*time.Second, now)
	r.Suspended(2 * time.Second)
	is.True(r.Resting("e", after(999)))
	is.True(!r.Resting("e", after(1000)))
	r.Forget("e")
	is.True(!r.Any())
}

// TestLine: the more urgent first, then whose caller came first.
func TestLine(t *testing.T) {
	is := is.New(t)
	var l Line
	is.True(l.First(nil))
	late, early, urgent, same := &Waiter{1, after(20)}, &Waiter{1, after(10)}, &Waiter{0, after(30)}, &Waiter{1, after(10)}
	for _, w := range []*Waiter{late, early, urgent, same} {
		l.Join(w)
	}
	is.True(!l.First(nil))
	for _, w := range []*Waiter{urgent, early, same, late} {
		is.True(l.First(w))
		l.Leave(w)
	}
	is.Equal(l.Len(), 0)
}
