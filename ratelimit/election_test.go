package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// gatewayGroup simulates gateways that exchange votes; receives tells which messages arrive.
type gatewayGroup struct {
	elections []*Election
	receives  func(from, to int) bool
	now       time.Time
}

func newGatewayGroup(n int) *gatewayGroup {
	g := &gatewayGroup{now: time.Now(), receives: func(int, int) bool { return true }}
	for i := range n {
		g.elections = append(g.elections, NewElection(gatewayName(i)))
	}
	return g
}

func gatewayName(i int) string { return fmt.Sprint("g", i) }

// run makes all gateways send four messages a second for a time d.
func (g *gatewayGroup) run(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); g.now = g.now.Add(250 * time.Millisecond) {
		for from, sender := range g.elections {
			sender.Choose(false, g.now)
			for to, receiver := range g.elections {
				if from != to && g.receives(from, to) {
					receiver.RecordVote(gatewayName(from), sender.OwnVote(g.now), g.now)
				}
			}
		}
	}
}

// shares returns the sum of the shares that gateways may grant, and the number of gateways that may.
func (g *gatewayGroup) shares() (sum float64, coordinators int) {
	for _, election := range g.elections {
		if s := election.Share(len(g.elections), g.now); s > 0 {
			sum += s
			coordinators++
		}
	}
	return sum, coordinators
}

// TestOneCoordinatorWhenConnected checks that connected gateways choose the same coordinator, which grants
// all of a limit.
func TestOneCoordinatorWhenConnected(t *testing.T) {
	for _, n := range []int{1, 2, 6, 24, 400} {
		g := newGatewayGroup(n)
		g.run(2 * time.Second)
		if sum, coordinators := g.shares(); sum != 1 || coordinators != 1 {
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
			g := newGatewayGroup(12)
			g.run(2 * time.Second)
			g.receives = tc.receives
			g.run(5 * time.Second)
			if sum, n := g.shares(); sum > maxTotalShare+0.001 || sum < tc.least {
				t.Errorf("%d coordinators grant %.2f of the limit together, want %.2f to %.2f", n, sum, tc.least, maxTotalShare)
			}
		})
	}
}

// TestCoordinatorIsReplaced checks that another gateway takes over when the coordinator is isolated, that the
// former coordinator follows it once reconnected, and that a coordinator that is shutting down hands over.
func TestCoordinatorIsReplaced(t *testing.T) {
	is := is.New(t)
	g := newGatewayGroup(6)
	g.run(2 * time.Second)
	first := g.elections[0].Choose(false, g.now)
	isolated := -1
	for i := range g.elections {
		if gatewayName(i) == first {
			isolated = i
		}
	}
	g.receives = func(from, to int) bool { return from != isolated && to != isolated }
	g.run(2 * time.Second)
	second := g.elections[(isolated+1)%6].Choose(false, g.now)
	is.True(second != first)
	g.receives = func(int, int) bool { return true }
	g.run(2 * time.Second)
	is.Equal(g.elections[isolated].Choose(false, g.now), second) // it has more votes
	sum, n := g.shares()
	is.Equal(n, 1)
	is.Equal(sum, 1.0)

	next := g.elections[isolated].Choose(true, g.now)
	is.Equal(next, second)
	shuttingDown := NewElection("a")
	shuttingDown.RecordVote("b", gatewayKey("a"), g.now)
	is.Equal(shuttingDown.Choose(true, g.now), "b")
	is.Equal(NewElection("a").Choose(true, g.now), "a") // there is no other candidate
}

// TestNewCoordinatorWaits checks that a new coordinator grants nothing before settlingTime has passed.
func TestNewCoordinatorWaits(t *testing.T) {
	is := is.New(t)
	election, now := NewElection("a"), time.Now()
	election.Choose(false, now)
	is.Equal(election.Share(1, now), 0.0)
	is.Equal(election.Share(1, now.Add(settlingTime)), 1.0)
	election.RecordVote("b", gatewayKey("a"), now.Add(settlingTime))
	is.Equal(election.Share(2, now.Add(settlingTime)), 1.0)
	election.DropVotes()
	is.Equal(election.Share(2, now.Add(settlingTime)), maxTotalShare/2)
}
