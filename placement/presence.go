package placement

import "time"

const (
	// LostAfter is how long an endpoint has to be away before others take over
	// what it should hold.
	LostAfter = 30 * time.Second
	// ReturnAfter is how long an endpoint that was lost has to be there before
	// it counts again. It doubles with each loss, up to ReturnMax.
	ReturnAfter = 10 * time.Second
	ReturnMax   = 5 * time.Minute
	// ForgiveAfter is how long an endpoint has to stay before its losses are
	// forgotten.
	ForgiveAfter = 10 * time.Minute
)

// Presence damps the coming and going of endpoints, so that one that flaps
// does not move the models of others each time. It is not safe for concurrent
// use.
type Presence struct{ seen map[string]*presence }

// presence is what is remembered of one endpoint.
type presence struct {
	there  bool
	since  time.Time // of there
	live   bool
	losses int
}

// NewPresence returns a memory without endpoints.
func NewPresence() *Presence { return &Presence{make(map[string]*presence)} }

// Observe records whether an endpoint is there at now and returns whether it
// counts as live. An endpoint seen for the first time counts as live: whoever
// has just started knows nobody yet.
func (p *Presence) Observe(name string, there bool, now time.Time) bool {
	e, ok := p.seen[name]
	if !ok {
		e = &presence{there: there, since: now, live: true}
		p.seen[name] = e
	}
	if e.there != there {
		e.there, e.since = there, now
	}
	e.judge(now)
	return e.live
}

// Forget drops the endpoints that are not declared any more.
func (p *Presence) Forget(declared map[string]bool) {
	for name := range p.seen {
		if !declared[name] {
			delete(p.seen, name)
		}
	}
}

func (e *presence) judge(now time.Time) {
	lasted := now.Sub(e.since)
	switch {
	case e.live && !e.there && lasted >= LostAfter:
		e.live = false
		e.losses++
	case !e.live && e.there && lasted >= e.returnAfter():
		e.live = true
	case e.live && e.there && lasted >= ForgiveAfter:
		e.losses = 0
	}
}

func (e *presence) returnAfter() time.Duration {
	wait := ReturnAfter
	for range e.losses - 1 {
		wait = min(2*wait, ReturnMax)
	}
	return wait
}
