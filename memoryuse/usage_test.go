package memoryuse

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// maxUnused is how long memory may stay reserved without use.
const maxUnused = 9 * time.Second

// TestUsage checks when memory counts as used and when it is released. Times are seconds
// after it was reserved.
func TestUsage(t *testing.T) {
	at := func(seconds float64) time.Time {
		return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
	}
	const (
		used   = 'u' // reported by a part of the response or by an endpoint
		unused = 'i' // an endpoint reports that it is not used, and nothing is queued
		queued = 'q' // an endpoint reports that it is not used, and requests are queued at the decoding endpoint
		silent = 's' // no response
	)
	type answer struct {
		at   float64
		kind rune
	}
	every := func(from, to float64, kind rune) (out []answer) {
		for s := from; s <= to; s++ {
			out = append(out, answer{s, kind})
		}
		return out
	}
	cases := []struct {
		name          string
		answers       []answer
		releasedAfter float64 // when the memory is released; 0: not within 20 s
	}{
		{"no answers", every(1, 20, silent), 6},
		{"never started", every(1, 20, unused), 3},
		{"queued throughout", every(1, 20, queued), 6},
		{"queued, then started", append(every(1, 4, queued), every(5, 20, used)...), 0},
		{"queued, then lost", append(every(1, 2, queued), every(3, 20, unused)...), 5},
		{"started while the report lags", append(append(every(1, 3, queued), answer{4, unused}), every(5, 20, used)...), 0},
		{"long prefill", every(1, 20, used), 0},
		{"ended, answer lost", append(every(1, 4, used), every(5, 20, unused)...), 6},
		{"ended, other requests queued", append(every(1, 4, used), every(5, 20, queued)...), 6},
		{"preempted and prefilled again", append(append(every(1, 4, used), answer{5, unused}), every(6, 20, used)...), 0},
		{"ended, no answers", append(every(1, 4, used), every(5, 20, silent)...), 10},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			u := New(NewLimits(maxUnused), 1, at(0))
			releasedAfter := 0.0
			for _, a := range tc.answers {
				queriedAt := at(a.at + 0.001)
				if u.Next(queriedAt) == Release {
					releasedAfter = a.at
					break
				}
				if a.kind == used {
					u.RecordUse(queriedAt)
				}
				if (a.kind == unused || a.kind == queued) && u.RecordUnused(queriedAt, a.kind == queued) {
					releasedAfter = a.at
					break
				}
			}
			if releasedAfter != tc.releasedAfter {
				t.Errorf("released after %v s, want %v", releasedAfter, tc.releasedAfter)
			}
		})
	}
}

// TestQuery: endpoints are queried only if a response is silent, and a result that is older
// than the newest event is ignored.
func TestQuery(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	u := New(NewLimits(maxUnused), 1, start)
	is.Equal(u.Next(start.Add(queryAfter/2)), Renew)
	is.Equal(u.Next(start.Add(queryAfter)), Query)
	u.RecordUse(start.Add(5 * time.Second))
	is.Equal(u.Next(start.Add(5*time.Second+queryAfter/2)), Renew)
	is.True(!u.RecordUnused(start.Add(4*time.Second), false))
	is.Equal(u.SinceLastUse(start.Add(6*time.Second)), time.Second)
}

// TestLimits: including the time until a reservation expires after a lost release, memory is
// unused no longer than allowed.
func TestLimits(t *testing.T) {
	for most := 5 * time.Second; most < time.Minute; most += time.Second {
		l := NewLimits(most)
		if l.queued+ReservationTTL > most || l.notQueued >= l.queued {
			t.Errorf("%v: %+v", most, l)
		}
	}
}

// TestQueriesRotate: an endpoint that does not answer does not block the queries for long.
func TestQueriesRotate(t *testing.T) {
	is := is.New(t)
	u := New(NewLimits(maxUnused), 1, time.Now())
	for _, want := range []int{0, 1, 2, 0} {
		is.Equal(u.NextQuery(3), want)
	}
}

// TestRenewalsWithoutUse guards against memory in use that expires because its renewals are withheld while
// there is no evidence of use: with the shortest limits, two attempts to renew it remain.
func TestRenewalsWithoutUse(t *testing.T) {
	is := is.New(t)
	at := func(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }
	u := New(NewLimits(5*time.Second), 2, at(0))
	_, endpoints := u.Renewal(at(RenewInterval))
	is.Equal(len(endpoints), 0) // there is no evidence of use, and both have confirmed the memory
	u.RecordUse(at(RenewInterval))
	is.True(u.RenewalDue(at(RenewInterval))) // the result of a query does not wait for the next tick
	until, endpoints := u.Renewal(at(RenewInterval))
	is.Equal(until, at(RenewInterval+ReservationTTL))
	is.Equal(endpoints, []int{0, 1})
	u.Confirm(0, until)
	is.True(!u.RenewalDue(at(RenewInterval)))
	again, endpoints := u.Renewal(at(2 * RenewInterval)) // the second attempt, a tick before the expiry
	is.Equal(again, until)
	is.Equal(endpoints, []int{1})
	is.True(!u.Lapsed(at(ReservationTTL), 0))
	is.True(u.Lapsed(at(ReservationTTL), RenewInterval)) // the host was suspended
}
