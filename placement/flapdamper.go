package placement

import "time"

const (
	// LostAfter is how long an endpoint has to be absent before its models are
	// assigned to other endpoints.
	LostAfter = 30 * time.Second
	// ReturnAfter is how long a lost endpoint has to be present before it counts
	// as live again. It doubles with each loss, up to MaxReturnAfter.
	ReturnAfter    = 10 * time.Second
	MaxReturnAfter = 5 * time.Minute
	// LossResetAfter is how long a live endpoint has to be present before its
	// loss count is reset.
	LossResetAfter = 10 * time.Minute
)

// FlapDamper damps flapping endpoints: an endpoint that appears and disappears
// repeatedly does not change the assignment of models each time. It is not safe
// for concurrent use.
type FlapDamper struct{ seen map[string]*presence }

// presence is the observed state of one endpoint.
type presence struct {
	present bool
	since   time.Time // time of the last change of present
	live    bool
	losses  int
}

// NewFlapDamper returns a FlapDamper without endpoints.
func NewFlapDamper() *FlapDamper { return &FlapDamper{make(map[string]*presence)} }

// Observe records whether an endpoint is present at the time now and returns
// whether it counts as live. An endpoint that is observed for the first time
// counts as live, because a process that has just started has not heard from
// any endpoint yet.
func (p *FlapDamper) Observe(name string, present bool, now time.Time) bool {
	s, ok := p.seen[name]
	if !ok {
		s = &presence{present: present, since: now, live: true}
		p.seen[name] = s
	}
	if s.present != present {
		s.present, s.since = present, now
	}
	s.update(now)
	return s.live
}

// Forget removes the endpoints that are no longer declared.
func (p *FlapDamper) Forget(declared map[string]bool) {
	for name := range p.seen {
		if !declared[name] {
			delete(p.seen, name)
		}
	}
}

// update changes the live state according to how long the endpoint has been
// present or absent.
func (e *presence) update(now time.Time) {
	elapsed := now.Sub(e.since)
	switch {
	case e.live && !e.present && elapsed >= LostAfter:
		e.live = false
		e.losses++
	case !e.live && e.present && elapsed >= e.returnAfter():
		e.live = true
	case e.live && e.present && elapsed >= LossResetAfter:
		e.losses = 0
	}
}

// returnAfter returns ReturnAfter, doubled for each loss after the first, but at
// most MaxReturnAfter.
func (e *presence) returnAfter() time.Duration {
	wait := ReturnAfter
	for range e.losses - 1 {
		wait = min(2*wait, MaxReturnAfter)
	}
	return wait
}
