package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// electorate is gateways that hear each other as far as hears says.
type electorate struct {
	votes []*Votes
	hears func(from, to int) bool
	now   time.Time
}

func newElectorate(n int) *electorate {
	e := &electorate{now: time.Now(), hears: func(int, int) bool { return true }}
	for i := range n {
		e.votes = append(e.votes, NewVotes(name(i)))
	}
	return e
}

func name(i int) string { return fmt.Sprint("g", i) }

// play lets all speak four times a second for so long.
func (e *electorate) play(d time.Duration) {
	for end := e.now.Add(d); e.now.Before(end); e.now = e.now.Add(250 * time.Millisecond) {
		for from, v := range e.votes {
			v.Choose(false, e.now)
			for to, w := range e.votes {
				if from != to && e.hears(from, to) {
					w.Heard(name(from), v.Own(e.now), e.now)
				}
			}
		}
	}
}

// shares returns what all may grant together, and how many coordinators there are.
func (e *electorate) shares() (sum float64, coordinators int) {
	for _, v := range e.votes {
		if s := v.Share(len(e.votes), e.now); s > 0 {
			sum += s
			coordinators++
		}
	}
	return sum, coordinators
}

// TestOneCoordinates: gateways that hear each other follow the same one, which grants all.
func TestOneCoordinates(t *testing.T) {
	for _, n := range []int{1, 2, 6, 24, 400} {
		e := newElectorate(n)
		e.play(2 * time.Second)
		if sum, coordinators := e.shares(); sum != 1 || coordinators != 1 {
			t.Errorf("%d gateways: %d coordinators grant %.2f", n, coordinators, sum)
		}
	}
}

// TestPartitionsGrantNoMoreThanIsTolerated: whichever gateways hear which, all coordinators together grant at most
// what endpoints tolerate, and while most hear each other nearly all of the limit is granted.
func TestPartitionsGrantNoMoreThanIsTolerated(t *testing.T) {
	cases := []struct {
		name  string
		hears func(from, to int) bool
		least float64
	}{
		{"halves", func(from, to int) bool { return from%2 == to%2 }, 1},
		{"thirds", func(from, to int) bool { return from%3 == to%3 }, 1},
		{"one cut off", func(from, to int) bool { return from != 0 && to != 0 }, 1},
		{"one that is not heard", func(from, _ int) bool { return from != 0 }, 1},
		{"one that hears nobody", func(_, to int) bool { return to != 0 }, 0.9},
		{"each hears its neighbours", func(from, to int) bool { return (from-to+13)%12 <= 2 }, 0},
		{"nobody hears anybody", func(int, int) bool { return false }, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			e := newElectorate(12)
			e.play(2 * time.Second)
			e.hears = tc.hears
			e.play(5 * time.Second)
			if sum, n := e.shares(); sum > tolerance+0.001 || sum < tc.least {
				t.Errorf("%d coordinators grant %.2f of the limit together, want %.2f to %.2f", n, sum, tc.least, tolerance)
			}
		})
	}
}

// TestCoordinatorFollowsItsPredecessor: another gateway grants when the coordinator falls silent, after a pause in which nobody
// does; one that comes back follows, and one that is leaving hands over.
func TestCoordinatorFollowsItsPredecessor(t *testing.T) {
	is := is.New(t)
	e := newElectorate(6)
	e.play(2 * time.Second)
	first := e.votes[0].Choose(false, e.now)
	silent := -1
	for i := range e.votes {
		if name(i) == first {
			silent = i
		}
	}
	e.hears = func(from, to int) bool { return from != silent && to != silent }
	e.play(2 * time.Second)
	second := e.votes[(silent+1)%6].Choose(false, e.now)
	is.True(second != first)
	e.hears = func(int, int) bool { return true }
	e.play(2 * time.Second)
	is.Equal(e.votes[silent].Choose(false, e.now), second) // it has more votes
	sum, n := e.shares()
	is.Equal(n, 1)
	is.Equal(sum, 1.0)

	next := e.votes[silent].Choose(true, e.now)
	is.Equal(next, second)
	leaving := NewVotes("a")
	leaving.Heard("b", key("a"), e.now)
	is.Equal(leaving.Choose(true, e.now), "b")
	is.Equal(NewVotes("a").Choose(true, e.now), "a") // there is no other
}

// TestNewCoordinatorWaits: one that has just been chosen grants nothing yet.
func TestNewCoordinatorWaits(t *testing.T) {
	is := is.New(t)
	v, now := NewVotes("a"), time.Now()
	v.Choose(false, now)
	is.Equal(v.Share(1, now), 0.0)
	is.Equal(v.Share(1, now.Add(settleTime)), 1.0)
	v.Heard("b", key("a"), now.Add(settleTime))
	is.Equal(v.Share(2, now.Add(settleTime)), 1.0)
	v.Clear()
	is.Equal(v.Share(2, now.Add(settleTime)), tolerance/2)
}
