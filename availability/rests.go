package availability

import "time"

// fullWindow is how many sends may be unanswered at an endpoint that has just rested before it is used like any other. The first
// one finds out whether it takes requests again; each that is answered lets one more go.
const fullWindow = 8

// restartTold is how long an endpoint that has started again may answer before lists that are read say so.
const restartTold = 1500 * time.Millisecond

// Rests holds which endpoints want rest from this gateway. After it an endpoint gets one request, and more as these are answered: what has
// waited meanwhile must not meet it all at once. A rest says nothing of other gateways, nor of the endpoint's health. Rests
// is not safe for concurrent use.
type Rests struct {
	entries map[string]*rest
}

// rest is a rest and what follows it.
type rest struct {
	asked time.Time // last
	until time.Time
	// round counts the asks: the answers to sends of before one say nothing of what follows it.
	round uint64
	// out of the sends after the rest are not answered yet, and so many may be.
	out, window int
}

// Send is a request to an endpoint that may have rested lately. The zero value is none.
type Send struct {
	endpoint string
	round    uint64 // 0: nothing is known of a rest
}

// NewRests returns a table in which nobody rests.
func NewRests() *Rests { return &Rests{entries: make(map[string]*rest)} }

// Ask takes in that an endpoint wants rest from now on. Of several that overlap the one holds that ends last: answers overtake each other. It
// reports whether that changes when the endpoint gets requests again.
func (r *Rests) Ask(endpoint string, d time.Duration, now time.Time) bool {
	old := r.entries[endpoint]
	if old == nil {
		old = &rest{}
		r.entries[endpoint] = old
	}
	old.asked = now
	until := now.Add(d)
	longer := until.After(old.until)
	if longer {
		old.until = until
	}
	old.round++
	old.out, old.window = 0, 1
	return longer
}

// Any reports whether there is anything to look at.
func (r *Rests) Any() bool { return len(r.entries) > 0 }

// Resting reports whether an endpoint rests.
func (r *Rests) Resting(endpoint string, now time.Time) bool {
	e := r.entries[endpoint]
	return e != nil && now.Before(e.until)
}

// Open reports whether one more request may be sent to an endpoint.
func (r *Rests) Open(endpoint string, now time.Time) bool {
	e := r.entries[endpoint]
	return e == nil || !now.Before(e.until) && e.out < e.window
}

// OpensAt returns when one more request may be sent to an endpoint; now, where that depends on answers only.
func (r *Rests) OpensAt(endpoint string, now time.Time) time.Time {
	if e := r.entries[endpoint]; e != nil && now.Before(e.until) {
		return e.until
	}
	return now
}

// Begin counts a request that was chosen for an endpoint; ok is false where it must not go there.
func (r *Rests) Begin(endpoint string, now time.Time) (s Send, ok bool) {
	if !r.Open(endpoint, now) {
		return s, false
	}
	s.endpoint = endpoint
	if e := r.entries[endpoint]; e != nil {
		e.out++
		s.round = e.round
	}
	return s, true
}

// End takes in that a request was answered, or will not be. It reports whether the endpoint is used like any other from now on.
func (r *Rests) End(s Send, answered bool) bool {
	e := r.entries[s.endpoint]
	if e == nil || s.round != e.round {
		return false
	}
	e.out--
	if answered {
		e.window++
	}
	if e.window <= fullWindow {
		return false
	}
	delete(r.entries, s.endpoint)
	return true
}

// Restarted takes in that an endpoint is seen to have started again: what its earlier life asked for is over. listed is when its earlier life
// was listed last. What was asked since may be of the new life already.
func (r *Rests) Restarted(endpoint string, listed time.Time) {
	if e := r.entries[endpoint]; e != nil && e.asked.Before(listed.Add(-restartTold)) {
		delete(r.entries, endpoint)
	}
}

// Forget drops what is known of an endpoint that is gone.
func (r *Rests) Forget(endpoint string) { delete(r.entries, endpoint) }

// Suspended takes in that the host was suspended for so long, which its clock does not count.
func (r *Rests) Suspended(d time.Duration) {
	for _, e := range r.entries {
		e.until = e.until.Add(-d)
	}
}
