package relay

import (
	"slices"
	"time"

	"github.com/micarudder/micarudder/availability"
	"github.com/micarudder/micarudder/catalog"
)

// Takers returns the endpoints of a service by cell that take requests of this gateway now. The caller must not change it.
func (s *State) Takers(service string, now time.Time) map[string][]catalog.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.takers(service, now)
}

// takers is Takers for callers that hold the lock.
func (s *State) takers(service string, now time.Time) map[string][]catalog.Endpoint {
	cells := s.members.inCell[service]
	if len(cells) == 0 {
		cells = s.members.lastResort(service, now)
	}
	if !s.rests.Any() {
		return cells
	}
	return without(cells, func(e catalog.Endpoint) bool { return !s.rests.Open(e.ID, now) })
}

// without returns endpoints by cell but for those that drop names, and no cell that has none left.
func without(cells map[string][]catalog.Endpoint, drop func(e catalog.Endpoint) bool) map[string][]catalog.Endpoint {
	out := make(map[string][]catalog.Endpoint, len(cells))
	for c, endpoints := range cells {
		if slices.ContainsFunc(endpoints, drop) {
			endpoints = slices.DeleteFunc(slices.Clone(endpoints), drop)
		}
		if len(endpoints) > 0 {
			out[c] = endpoints
		}
	}
	return out
}

// StillTakes reports whether a request that was chosen for an endpoint may go there now.
func (s *State) StillTakes(id string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.takes(id, now) && !s.rests.Resting(id, now)
}

// BeginSend counts a request that was chosen for an endpoint; ok is false where it must not go there. The caller has to end it.
func (s *State) BeginSend(id string, now time.Time) (send availability.Send, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.members.takes(id, now) {
		return send, false
	}
	return s.rests.Begin(id, now)
}

// EndSend takes in that a request was answered, or will not be. It reports whether its endpoint is used like any other again after a rest.
func (s *State) EndSend(send availability.Send, answered bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rests.End(send, answered)
}

// Left takes in that an endpoint leaves: an answer of it says so, or a gateway. It reports whether that is news, and returns what it changes.
func (s *State) Left(e catalog.Endpoint, source string, now time.Time) (news bool, changes []MemberChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.left(e, source, now)
}

// LeaveDoubted reports whether an endpoint counts as leaving for what its earlier life may have said.
func (s *State) LeaveDoubted(e catalog.Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.leaves.Doubted(e)
}

// TakeLeaveBack takes in an answer of such an endpoint that does not say that it leaves. It reports whether it takes requests now.
func (s *State) TakeLeaveBack(e catalog.Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.takeBack(e)
}

// TellLeaves returns the lives of endpoints that leave, as others are to be told of them.
func (s *State) TellLeaves(everything bool, now time.Time) map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.leaves.Tell(everything, now)
}

// Rest takes in that an endpoint wants rest from this gateway. It reports whether that changes when it gets requests again.
func (s *State) Rest(id string, d time.Duration, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.members.known[id]; !ok {
		return false // it is gone
	}
	return s.rests.Ask(id, d, now)
}

// Resting reports whether an endpoint rests.
func (s *State) Resting(id string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rests.Resting(id, now)
}

// restsOver takes in which endpoints are gone or have started again. listed is when the life before was certainly the one that runs. The caller holds the lock.
func (s *State) restsOver(changes []MemberChange, listed time.Time) {
	for _, c := range changes {
		switch {
		case c.Kind == changeGone:
			s.rests.Forget(c.Endpoint.ID)
		case c.Kind == changeRestarted:
			s.rests.Restarted(c.Endpoint.ID, listed)
		}
	}
}

// serviceRest is what the rests of its endpoints mean for a service.
type serviceRest struct {
	// opens is when one more endpoint takes requests: now where one does already, or where that depends on answers only.
	opens time.Time
	// open counts the endpoints that take requests, closed those that will after their rest.
	open, closed int
}

// RestOf returns what rests mean for a service now.
func (s *State) RestOf(service string, now time.Time) (r serviceRest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.rests.Any() {
		return r
	}
	for _, e := range s.members.order[service] {
		if s.rests.Open(e.ID, now) {
			r.open++
			continue
		}
		opens := s.rests.OpensAt(e.ID, now)
		if r.closed == 0 || opens.Before(r.opens) {
			r.opens = opens
		}
		r.closed++
	}
	return r
}

// JoinLine puts a request in line for the endpoints of a service that rest; LeaveLine takes it out.
func (s *State) JoinLine(service string, w *availability.Waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lines[service] == nil {
		s.lines[service] = &availability.Line{}
	}
	s.lines[service].Join(w)
}

// LeaveLine takes a request out of the line.
func (s *State) LeaveLine(service string, w *availability.Waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines[service].Leave(w)
	if s.lines[service].Len() == 0 {
		delete(s.lines, service)
	}
}

// FirstInLine reports whether nobody is before a request in line; nil: before one that has just come.
func (s *State) FirstInLine(service string, w *availability.Waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	line := s.lines[service]
	return line == nil || line.First(w)
}

// sentAway counts the requests to a service that were refused until a rest ends.
type sentAway struct {
	until time.Time
	count int
}

// restSpacing is the time between the returns of two callers that were refused until the same rest ends, restSpread the longest
// that any of them is told beyond it.
const (
	restSpacing = 10 * time.Millisecond
	restSpread  = time.Second
)

// SendAway returns when a caller had better come back that is refused until a rest of the service ends: one after the other, in the
// order in which they are refused.
func (s *State) SendAway(service string, until, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	away := s.sentAway[service]
	if !away.until.Equal(until) {
		away = sentAway{until: until}
	}
	away.count++
	s.sentAway[service] = away
	return until.Sub(now) + min(restSpread, time.Duration(away.count)*restSpacing)
}
