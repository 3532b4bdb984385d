package availability

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func after(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }

// TestLongestBackoffApplies checks that of several requested backoffs the one that ends last applies.
func TestLongestBackoffApplies(t *testing.T) {
	type request struct {
		atMs, backoffMs int
		changes         bool
	}
	cases := []struct {
		name     string
		requests []request
		untilMs  int
	}{
		{"one", []request{{0, 3000, true}}, 3000},
		{"second ends later", []request{{0, 3000, true}, {1000, 3000, true}}, 4000},
		{"second ends earlier", []request{{0, 3000, true}, {1000, 500, false}}, 3000},
		{"second starts after the first", []request{{0, 1000, true}, {2000, 500, true}}, 2500},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			table := NewBackoffTable()
			for _, request := range tc.requests {
				is.Equal(table.Request("e", time.Duration(request.backoffMs)*time.Millisecond, after(request.atMs)), request.changes)
			}
			is.True(table.InBackoff("e", after(tc.untilMs-1)))
			is.True(!table.MaySend("e", after(tc.untilMs-1)))
			is.Equal(table.NextSend("e", after(tc.untilMs-1)), after(tc.untilMs))
			is.True(!table.InBackoff("e", after(tc.untilMs)))
			is.True(table.MaySend("e", after(tc.untilMs)))
		})
	}
}

// TestSlowStartAfterBackoff checks that slow start lets one request through after a backoff and
// widens the window with each one that is answered, so that queued requests do not arrive all at once.
func TestSlowStartAfterBackoff(t *testing.T) {
	is := is.New(t)
	table := NewBackoffTable()
	table.Request("e", time.Second, now)
	var out []SentRequest
	begin := func() int {
		n := 0
		for {
			s, ok := table.Begin("e", after(1000))
			if !ok {
				return n
			}
			out = append(out, s)
			n++
		}
	}
	is.Equal(begin(), 1)
	is.True(!table.End(out[0], false)) // unanswered: the window stays at one request
	out = nil
	is.Equal(begin(), 1)
	is.True(!table.End(out[0], true))
	out = nil
	is.Equal(begin(), 2)
	is.True(!table.End(out[0], true))
	is.Equal(begin(), 2) // one in place of the answered one, and one more
	is.True(table.Active())
	over := false
	for _, s := range out[1:] {
		over = table.End(s, true) || over
	}
	for !over {
		s, ok := table.Begin("e", after(1000))
		is.True(ok)
		over = table.End(s, true)
	}
	is.True(!table.Active())
}

// TestResponsesFromBeforeBackoff checks that responses to requests sent before an endpoint asked for a
// backoff do not widen the window after it.
func TestResponsesFromBeforeBackoff(t *testing.T) {
	is := is.New(t)
	table := NewBackoffTable()
	early, ok := table.Begin("e", now)
	is.True(ok)
	table.Request("e", time.Second, now)
	is.True(!table.End(early, true))
	first, ok := table.Begin("e", after(1000))
	is.True(ok)
	table.Request("e", time.Second, after(1000)) // the endpoint refuses it and asks for another backoff
	is.True(!table.End(first, true))
	_, ok = table.Begin("e", after(2000))
	is.True(ok)
	_, ok = table.Begin("e", after(2000))
	is.True(!ok)
}

// TestBackoffDuringSuspension checks that time for which the host was suspended counts towards a backoff.
func TestBackoffDuringSuspension(t *testing.T) {
	is := is.New(t)
	table := NewBackoffTable()
	table.Request("e", 3*time.Second, now)
	table.Suspended(2 * time.Second)
	is.True(table.InBackoff("e", after(999)))
	is.True(!table.InBackoff("e", after(1000)))
	table.Forget("e")
	is.True(!table.Active())
}

// TestWaitQueue checks that the queue is ordered by urgency and then by arrival.
func TestWaitQueue(t *testing.T) {
	is := is.New(t)
	var q WaitQueue
	is.True(q.IsFirst(nil))
	late, early, urgent, same := &Waiter{1, after(20)}, &Waiter{1, after(10)}, &Waiter{0, after(30)}, &Waiter{1, after(10)}
	for _, w := range []*Waiter{late, early, urgent, same} {
		q.Push(w)
	}
	is.True(!q.IsFirst(nil))
	for _, w := range []*Waiter{urgent, early, same, late} {
		is.True(q.IsFirst(w))
		q.Remove(w)
	}
	is.Equal(q.Len(), 0)
}
