package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// gatewayGroup simulates gateways that exchange votes; receives tells which messages arrive.
type gatewayGroup struct {
	votes    []*Election
	receives func(from, to int) bool
	now      time.Time
}

func newGatewayGroup(n int) *gatewayGroup {
	e := &gatewayGroup{now: time.Now(), receives: func(int, int) bool { return true }}
	for i := range n {
		e.votes = append(e.votes, NewElection(gatewayName(i)))
	}
	return e
}

func gatewayName(i int) string { return fmt.Sprint("g", i) }

// run makes all gateways send four messages a second for a time d.
func (e *gatewayGroup) run(d time.Duration) {
	for end := e.now.Add(d); e.now.Before(end); e.now = e.now.Add(250 * time.Millisecond) {
		for from, v := range e.votes {
			v.Choose(false, e.now)
			for to, w := range e.votes {
				if from != to && e.receives(from, to) {
					w.RecordVote(gatewayName(from), v.OwnVote(e.now), e.now)
				}
			}
		}
	}
}

// shares returns the sum of the shares that gateways may grant, and the number of gateways that may.
func (e *gatewayGroup) shares() (sum float64, coordinators int) {
	for _, v := range e.votes {
		if s := v.Share(len(e.votes), e.now); s > 0 {
			sum += s
			coordinators++
		}
	}
	return sum, coordinators
}

// TestOneCoordinates checks that connected gateways choose the same coordinator, which grants all of a limit.
func TestOneCoordinates(t *testing.T) {
	for _, n := range []int{1, 2, 6, 24, 400} {
		e := newGatewayGroup(n)
		e.run(2 * time.Second)
		if sum, coordinators := e.shares(); sum != 1 || coordinators != 1 {
			t.Errorf("%d gateways: %d coordinators grant %.2f", n, coordinators, sum)
		}
	}
}

// TestPartitionsGrantNoMoreThanIsTolerated checks that in any partition all coordinators together grant at most
// maxTotalShare, and that nearly all of the limit is granted while most gateways are connected.
func TestPartitionsGrantNoMoreThanIsTolerated(t *testing.T) {
	cases := []struct {
		name     string
		receives func(from, to int) bool
		least    float64
	}{
		{"halves", func(from, to int) bool { return from%2 == to%2 }, 1},
		{"thirds", func(from, to int) bool { return from%3 == to%3 }, 1},
		{"one isolated", func(from, to int) bool { return from != 0 && to != 0 }, 1},
		{"one whose messages are lost", func(from, _ int) bool { return from != 0 }, 1},
		{"one that receives nothing", func(_, to int) bool { return to != 0 }, 0.9},
		{"each receives its neighbours' messages", func(from, to int) bool { return (from-to+13)%12 <= 2 }, 0},
		{"no messages arrive", func(int, int) bool { return false }, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			e := newGatewayGroup(12)
			e.run(2 * time.Second)
			e.receives = tc.receives
			e.run(5 * time.Second)
			if sum, n := e.shares(); sum > maxTotalShare+0.001 || sum < tc.least {
				t.Errorf("%d coordinators grant %.2f of the limit together, want %.2f to %.2f", n, sum, tc.least, maxTotalShare)
			}
		})
	}
}

// TestCoordinatorIsReplaced checks that another gateway takes over when the coordinator is isolated, that the
// former coordinator follows it once reconnected, and that a draining coordinator hands over.
func TestCoordinatorIsReplaced(t *testing.T) {
	is := is.New(t)
	e := newGatewayGroup(6)
	e.run(2 * time.Second)
	first := e.votes[0].Choose(false, e.now)
	isolated := -1
	for i := range e.votes {
		if gatewayName(i) == first {
			isolated = i
		}
	}
	e.receives = func(from, to int) bool { return from != isolated && to != isolated }
	e.run(2 * time.Second)
	second := e.votes[(isolated+1)%6].Choose(false, e.now)
	is.True(second != first)
	e.receives = func(int, int) bool { return true }
	e.run(2 * time.Second)
	is.Equal(e.votes[isolated].Choose(false, e.now), second) // it has more votes
	sum, n := e.shares()
	is.Equal(n, 1)
	is.Equal(sum, 1.0)

	next := e.votes[isolated].Choose(true, e.now)
	is.Equal(next, second)
	leaving := NewElection("a")
	leaving.RecordVote("b", gatewayKey("a"), e.now)
	is.Equal(leaving.Choose(true, e.now), "b")
	is.Equal(NewElection("a").Choose(true, e.now), "a") // there is no other candidate
}

// TestNewCoordinatorWaits checks that a new coordinator grants nothing before settlingTime has passed.
func TestNewCoordinatorWaits(t *testing.T) {
	is := is.New(t)
	v, now := NewElection("a"), time.Now()
	v.Choose(false, now)
	is.Equal(v.Share(1, now), 0.0)
	is.Equal(v.Share(1, now.Add(settlingTime)), 1.0)
	v.RecordVote("b", gatewayKey("a"), now.Add(settlingTime))
	is.Equal(v.Share(2, now.Add(settlingTime)), 1.0)
	v.DropVotes()
	is.Equal(v.Share(2, now.Add(settlingTime)), maxTotalShare/2)
}
