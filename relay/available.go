package relay

import (
	"slices"
	"time"

	"github.com/micarudder/micarudder/availability"
	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/endpointset"
)

// AvailableEndpoints returns the endpoints of a service, by cell, that accept requests of this
// gateway now. The caller must not change the result.
func (s *State) AvailableEndpoints(service string, now time.Time) map[string][]catalog.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.availableLocked(service, now)
}

// availableLocked is AvailableEndpoints for callers that hold the lock.
func (s *State) availableLocked(service string, now time.Time) map[string][]catalog.Endpoint {
	cells := s.endpoints.UsableByCell(service)
	if len(cells) == 0 {
		cells = s.endpoints.LastResort(service, now)
	}
	if !s.backoffs.Active() {
		return cells
	}
	return excluding(cells, func(e catalog.Endpoint) bool { return !s.backoffs.MaySend(e.ID, now) })
}

// excluding returns the endpoints by cell without those that drop selects, and without cells that
// have none left.
func excluding(cells map[string][]catalog.Endpoint, drop func(e catalog.Endpoint) bool) map[string][]catalog.Endpoint {
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

// AcceptsRequests reports whether a request for which an endpoint was chosen may be sent there now.
func (s *State) AcceptsRequests(id string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints.AcceptsRequests(id, now) && !s.backoffs.InBackoff(id, now)
}

// BeginAttempt counts a request for which an endpoint was chosen; ok is false if it must not be sent
// there. The caller has to call EndAttempt.
func (s *State) BeginAttempt(id string, now time.Time) (sent availability.SentRequest, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.endpoints.AcceptsRequests(id, now) {
		return sent, false
	}
	return s.backoffs.Begin(id, now)
}

// EndAttempt records that a request was answered, or will not be. It reports whether this ends the
// slow start of the endpoint after its backoff.
func (s *State) EndAttempt(sent availability.SentRequest, answered bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backoffs.End(sent, answered)
}

// MarkDraining records that an endpoint is draining, as a response of the endpoint or a gateway
// says. It reports whether that is new, and returns the resulting changes.
func (s *State) MarkDraining(e catalog.Endpoint, source string, now time.Time) (isNew bool, changes []endpointset.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints.MarkDraining(e, source, now)
}

// DrainUncertain reports whether an endpoint counts as draining because of a statement that its
// previous incarnation may have made.
func (s *State) DrainUncertain(e catalog.Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints.Drains().Uncertain(e)
}

// RevokeUncertainDrain records a response of such an endpoint that does not say that it is draining.
// It reports whether the endpoint accepts requests again.
func (s *State) RevokeUncertainDrain(e catalog.Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints.RevokeUncertainDrain(e)
}

// DrainUpdates returns the incarnations of draining endpoints that are to be sent to other
// gateways.
func (s *State) DrainUpdates(everything bool, now time.Time) map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints.Drains().Updates(everything, now)
}

// RecordBackoff records that an endpoint asked this gateway to back off for d. It reports whether
// that changes when the endpoint gets requests again.
func (s *State) RecordBackoff(id string, d time.Duration, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.endpoints.Known()[id]; !ok {
		return false // the endpoint is gone
	}
	return s.backoffs.Request(id, d, now)
}

// InBackoff reports whether an endpoint is in backoff.
func (s *State) InBackoff(id string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backoffs.InBackoff(id, now)
}

// clearBackoffs drops backoffs of endpoints that are gone or have restarted. listed is when the
// previous incarnation was certainly still running. The caller holds the lock.
func (s *State) clearBackoffs(changes []endpointset.Change, listed time.Time) {
	for _, c := range changes {
		switch {
		case c.Kind == endpointset.Gone:
			s.backoffs.Forget(c.Endpoint.ID)
		case c.Kind == endpointset.Restarted:
			s.backoffs.Restarted(c.Endpoint.ID, listed)
		}
	}
}

// serviceBackoff is the state of a service with respect to backoffs of its endpoints.
type serviceBackoff struct {
	// opensAt is when one more endpoint accepts requests: now if one already does, or if that depends
	// only on outstanding responses.
	opensAt time.Time
	// open counts the endpoints that accept requests, closed those that will after their backoff.
	open, closed int
}

// ServiceBackoff returns the backoff state of a service.
func (s *State) ServiceBackoff(service string, now time.Time) (backoff serviceBackoff) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.backoffs.Active() {
		return backoff
	}
	for _, e := range s.endpoints.Usable(service) {
		if s.backoffs.MaySend(e.ID, now) {
			backoff.open++
			continue
		}
		opensAt := s.backoffs.NextSend(e.ID, now)
		if backoff.closed == 0 || opensAt.Before(backoff.opensAt) {
			backoff.opensAt = opensAt
		}
		backoff.closed++
	}
	return backoff
}

// JoinBackoffQueue adds a request to the queue for the endpoints of a service that are in backoff.
func (s *State) JoinBackoffQueue(service string, w *availability.Waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.backoffQueues[service] == nil {
		s.backoffQueues[service] = &availability.WaitQueue{}
	}
	s.backoffQueues[service].Push(w)
}

// LeaveBackoffQueue removes a request from the queue.
func (s *State) LeaveBackoffQueue(service string, w *availability.Waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backoffQueues[service].Remove(w)
	if s.backoffQueues[service].Len() == 0 {
		delete(s.backoffQueues, service)
	}
}

// FirstInBackoffQueue reports whether a request is first in the queue; nil stands for a request
// that is not in it, which is first only if the queue is empty.
func (s *State) FirstInBackoffQueue(service string, w *availability.Waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue := s.backoffQueues[service]
	return queue == nil || queue.IsFirst(w)
}

// refusedCallers counts the requests to a service that were refused until a backoff ends.
type refusedCallers struct {
	ends  time.Time
	count int
}

// retrySpacing is the time between the retries of two callers that were refused until the same
// backoff ends. maxRetrySpread is the longest time that is added to the end of the backoff for
// any of them.
const (
	retrySpacing   = 10 * time.Millisecond
	maxRetrySpread = time.Second
)

// BackoffRetryAfter returns the Retry-After for a caller that is refused until a backoff of the
// service ends. Callers are told to return one after the other, in the order in which they were
// refused.
func (s *State) BackoffRetryAfter(service string, ends, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	refused := s.refusedCallers[service]
	if !refused.ends.Equal(ends) {
		refused = refusedCallers{ends: ends}
	}
	refused.count++
	s.refusedCallers[service] = refused
	return ends.Sub(now) + min(maxRetrySpread, time.Duration(refused.count)*retrySpacing)
}
