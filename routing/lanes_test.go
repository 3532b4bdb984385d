package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestLaneSize(t *testing.T) {
	cases := []struct {
		n     int
		share float64
		want  int
	}{
		{1, 0.9, 1}, {2, 0, 1}, {2, 1, 1}, {6, 0.3, 2}, {20, 0.04, 1}, {20, 0.5, 10}, {20, 1, 13}, {181, 0.4, 73},
	}
	for _, tc := range cases {
		is.New(t).Equal(laneSize(tc.n, tc.share), tc.want)
	}
}

// TestLanesProperties checks that a lane does not depend on the order of the
// candidates, that its size is within the bounds, and that an endpoint that
// leaves adds at most one other endpoint to the lane.
func TestLanesProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		n := rapid.IntRange(2, 60).Draw(t, "endpoints")
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		view := make([]Candidate, n)
		for i := range view {
			view[i] = idleEndpoint(fmt.Sprint("engine-", i))
		}
		lane := Lanes(view, share)
		is.True(len(lane) >= 1 && len(lane) < n)
		draining := rapid.IntRange(0, n-1).Draw(t, "leaving")
		view[draining].Draining = true
		slices.Reverse(view)
		after := Lanes(view, share)
		moved := 0
		for e := range after {
			if !lane[e] {
				moved++
			}
		}
		is.True(moved <= 1)
		is.True(!after[fmt.Sprint("engine-", draining)])
	})
}

func TestLongShare(t *testing.T) {
	is := is.New(t)
	var s LongShare
	now := time.Unix(1_000, 0)
	is.Equal(s.Value(now), initialLongShare)
	for range 100 {
		s.Add(ClassShort, 100*ms, now)
	}
	first := s.Value(now)
	is.True(first < 0.2)
	s.Add(ClassLong, time.Second, now) // below the hysteresis
	is.Equal(s.Value(now), first)
	for range 10 {
		s.Add(ClassHuge, 10*time.Second, now)
	}
	is.True(s.Value(now) > 0.8)
	is.True(s.Value(now.Add(time.Hour)) < 0.4) // decays to the initial share without work
}
