package crashprobe

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// played is what happens at one endpoint, in ms from the first break.
type played struct {
	breaks      []int // when exchanges break
	closedAt    int   // when the listener closes; 0: never
	resets      int   // how long before closedAt connections are reset while they are opened
	openedAt    int   // when a new process listens at the address; 0: never
	silent      bool  // the host does not respond
	frozenAfter int   // the gateway does nothing from here until thawedAt; 0: never
	thawedAt    int
}

// play runs a series in steps of 1 ms and returns which exchanges count as crashed, by their numbers, the
// states in which they were added and the number of probes.
func play(p played) (crashed []int, states []State, probes int) {
	start := time.Unix(1000, 0)
	var s Series[int]
	nextAt, ended := 0, true
	for ms := range 1000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for n, at := range p.breaks {
			if at != ms {
				continue
			}
			state := s.Add(n, now)
			if state == Crashed {
				crashed = append(crashed, n)
			}
			states, nextAt, ended = append(states, state), ms, false
		}
		if p.frozenAfter > 0 && ms > p.frozenAfter && ms < p.thawedAt {
			continue
		}
		for !ended && ms >= nextAt {
			wait, action := s.Next(now)
			switch action {
			case End:
				ended = true
			case Wait:
				nextAt = ms + int(wait/time.Millisecond)
			case Probe:
				probes++
				s.Start(now)
				result := Listening
				switch {
				case p.silent:
					result = Silent
				case ms >= p.closedAt-p.resets && ms < p.closedAt:
					result = Unknown
				case p.closedAt > 0 && ms >= p.closedAt && (p.openedAt == 0 || ms < p.openedAt):
					result = Refused
				}
				crashed = append(crashed, s.Finish(result, now)...)
			}
		}
	}
	return crashed, states, probes
}

// TestSeries guards against crashes that are not counted because a probe found the listener of the process
// that was ending, and against endpoints that count as crashed after they only broke off responses.
func TestSeries(t *testing.T) {
	cases := []struct {
		name    string
		played  played
		crashed []int
		probes  int
	}{
		{"the listener is closed", played{breaks: []int{1}, closedAt: 1}, []int{0}, 1},
		{"the listener closes 3 ms after the connections were reset", played{breaks: []int{1}, closedAt: 4}, []int{0}, 2},
		{"on a busy host, 100 ms after", played{breaks: []int{1}, closedAt: 101}, []int{0}, 4},
		{"one response broken off", played{breaks: []int{1}}, nil, 4},
		{"an end long after a response was broken off", played{breaks: []int{1}, closedAt: 142}, nil, 4},
		{"the listener closes while it is probed", played{breaks: []int{1}, closedAt: 12, resets: 1}, []int{0}, 3},
		{"a restart under the same address", played{breaks: []int{1}, closedAt: 4, openedAt: 60}, []int{0}, 2},
		{"exchanges that broke at once share the probes", played{breaks: []int{1, 1, 1, 1}, closedAt: 4}, []int{0, 1, 2, 3}, 2},
		{"one that is noticed after the probe", played{breaks: []int{1, 3}, closedAt: 4}, []int{0, 1}, 2},
		{"one that is noticed after the crash was found", played{breaks: []int{1, 100}, closedAt: 1}, []int{0, 1}, 1},
		// A result of before the second break says nothing about it.
		{"a response broken off, a crash 200 ms later", played{breaks: []int{1, 201}, closedAt: 201}, []int{1}, 5},
		{"a host that does not respond", played{breaks: []int{1}, silent: true, closedAt: 2}, nil, 1},
		{"a frozen gateway finds the process ended", played{breaks: []int{1}, closedAt: 400, frozenAfter: 2, thawedAt: 700}, nil, 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			crashed, _, probes := play(tc.played)
			is.Equal(crashed, tc.crashed)
			is.Equal(probes, tc.probes)
		})
	}
}

// TestFirstAnswer guards against streams that wait longer than for one probe before they are resumed.
func TestFirstAnswer(t *testing.T) {
	is := is.New(t)
	_, states, _ := play(played{breaks: []int{1, 3, 20, 100}, closedAt: 15})
	is.Equal(states, []State{Probing, Deferred, Crashed, Crashed})
	_, states, _ = play(played{breaks: []int{1, 20}})
	is.Equal(states, []State{Probing, Probing})
}

// TestProbeRate guards against a probe for each exchange at an endpoint that breaks many of them.
func TestProbeRate(t *testing.T) {
	is := is.New(t)
	var breaks []int
	for ms := 1; ms <= 500; ms++ {
		breaks = append(breaks, ms, ms)
	}
	crashed, _, probes := play(played{breaks: breaks})
	is.Equal(len(crashed), 0)
	is.True(probes <= int(640*time.Millisecond/minInterval)+1)
}
