package metastore

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// step is one answer and the verdict on it; every request is sent when the
// answers before it are in.
type step struct {
	at     time.Duration
	answer answer
	want   verdict
}

func TestHistory(t *testing.T) {
	at := func(revision int64) answer { return answer{revision: revision, cluster: "a"} }
	wrote := func(revision int64) answer { return answer{revision: revision, cluster: "a", wrote: true} }
	other := answer{revision: 50, cluster: "b"}
	cases := []struct {
		name  string
		steps []step
	}{
		{"rising and equal", []step{{0, at(5), current}, {0, at(5), current}, {0, at(7), current}}},
		{"a write has to be newer", []step{{0, at(5), current}, {0, wrote(5), old}, {0, wrote(6), current}}},
		{"one old answer among others", []step{{0, at(5), current}, {0, at(4), old}, {0, at(5), current}}},
		{"many at once do not confirm", []step{{0, at(5), current}, {0, at(4), old}, {0, at(4), old}, {0, at(4), old}, {restoreAfter - 1, at(4), old}}},
		{"few over a long time do not confirm", []step{{0, at(5), current}, {0, at(4), old}, {time.Hour, at(4), old}}},
		{"a current answer starts over", []step{{0, at(5), current}, {0, at(4), old}, {restoreAfter, at(4), old}, {restoreAfter, at(5), current}, {2 * restoreAfter, at(4), old}}},
		{"enough over time confirm", []step{{0, at(5), current}, {0, at(4), old}, {0, at(4), old}, {restoreAfter, at(3), restored}, {restoreAfter, at(3), current}, {restoreAfter, at(2), old}}},
		{"another cluster, though newer", []step{{0, at(5), current}, {0, other, old}, {0, at(5), current}, {0, other, old}, {0, other, old}, {restoreAfter, other, restored}, {restoreAfter, other, current}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var h history
			start := time.Now()
			for _, s := range c.steps {
				is.Equal(h.observe(h.mark(), s.answer, start.Add(s.at)), s.want)
			}
		})
	}
}

// TestHistoryInFlight: an answer to a request from before the restore is not
// held against the new history.
func TestHistoryInFlight(t *testing.T) {
	is := is.New(t)
	h := history{high: 100}
	before := h.mark()
	now := time.Now()
	h.observe(before, answer{revision: 50}, now)
	h.observe(before, answer{revision: 50}, now)
	is.Equal(h.observe(before, answer{revision: 50}, now.Add(restoreAfter)), restored)
	is.Equal(h.observe(before, answer{revision: 51}, now.Add(restoreAfter)), current)
}

// TestLeaseClocks: a machine that was suspended has a monotonic clock that
// stood still; one whose wall clock was set back has only the other.
func TestLeaseClocks(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	later, earlier := now.Add(time.Second), now.Add(-time.Second)
	is.Equal(end{monotonic: later, wall: later.Round(0)}.remaining(now), time.Second)
	is.Equal(end{monotonic: later, wall: earlier.Round(0)}.remaining(now), time.Duration(0))
	is.Equal(end{monotonic: earlier, wall: later.Round(0)}.remaining(now), time.Duration(0))
	is.Equal(end{}.remaining(now), time.Duration(0))
}
