package metastore

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// step is one response and its expected classification. Each request is sent
// after all earlier responses have arrived.
type step struct {
	at    time.Duration
	state storeState
	want  freshness
}

func TestHistory(t *testing.T) {
	at := func(revision int64) storeState { return storeState{revision: revision, cluster: "a"} }
	wrote := func(revision int64) storeState { return storeState{revision: revision, cluster: "a", wrote: true} }
	other := storeState{revision: 50, cluster: "b"}
	cases := []struct {
		name  string
		steps []step
	}{
		{"rising and equal", []step{{0, at(5), current}, {0, at(5), current}, {0, at(7), current}}},
		{"a write must be newer", []step{{0, at(5), current}, {0, wrote(5), stale}, {0, wrote(6), current}}},
		{"a single stale response", []step{{0, at(5), current}, {0, at(4), stale}, {0, at(5), current}}},
		{"many within a short time do not confirm", []step{{0, at(5), current}, {0, at(4), stale}, {0, at(4), stale}, {0, at(4), stale}, {restoreMinDuration - 1, at(4), stale}}},
		{"few over a long time do not confirm", []step{{0, at(5), current}, {0, at(4), stale}, {time.Hour, at(4), stale}}},
		{"a current response resets the count", []step{{0, at(5), current}, {0, at(4), stale}, {restoreMinDuration, at(4), stale}, {restoreMinDuration, at(5), current}, {2 * restoreMinDuration, at(4), stale}}},
		{"enough over enough time confirm", []step{{0, at(5), current}, {0, at(4), stale}, {0, at(4), stale}, {restoreMinDuration, at(3), restored}, {restoreMinDuration, at(3), current}, {restoreMinDuration, at(2), stale}}},
		{"another cluster with a higher revision", []step{{0, at(5), current}, {0, other, stale}, {0, at(5), current}, {0, other, stale}, {0, other, stale}, {restoreMinDuration, other, restored}, {restoreMinDuration, other, current}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var h history
			start := time.Now()
			for _, s := range c.steps {
				is.Equal(h.observe(h.baseline(), s.state, start.Add(s.at)), s.want)
			}
		})
	}
}

// TestHistoryInFlight: the response to a request sent before a restore is not
// compared with the restored history.
func TestHistoryInFlight(t *testing.T) {
	is := is.New(t)
	h := history{highest: 100}
	before := h.baseline()
	now := time.Now()
	h.observe(before, storeState{revision: 50}, now)
	h.observe(before, storeState{revision: 50}, now)
	is.Equal(h.observe(before, storeState{revision: 50}, now.Add(restoreMinDuration)), restored)
	is.Equal(h.observe(before, storeState{revision: 51}, now.Add(restoreMinDuration)), current)
}

// TestLeaseClocks: the monotonic clock stops while a machine is suspended, and
// the wall clock can be set back. The lease must expire in either case.
func TestLeaseClocks(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	later, earlier := now.Add(time.Second), now.Add(-time.Second)
	is.Equal(deadline{monotonic: later, wall: later.Round(0)}.remaining(now), time.Second)
	is.Equal(deadline{monotonic: later, wall: earlier.Round(0)}.remaining(now), time.Duration(0))
	is.Equal(deadline{monotonic: earlier, wall: later.Round(0)}.remaining(now), time.Duration(0))
	is.Equal(deadline{}.remaining(now), time.Duration(0))
}
