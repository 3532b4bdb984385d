package platform

import (
	"maps"
	"slices"
	"time"

	"github.com/micarudder/micarudder/internal/etcdjson"
)

// grant creates a lease of ttl seconds.
func (s *store) grant(req etcdjson.GrantRequest) etcdjson.GrantResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	ttl := time.Duration(max(1, req.TTL)) * time.Second
	s.state.leases[s.nextLease] = ttl
	s.startTimer(s.nextLease, ttl)
	return etcdjson.GrantResponse{
		Header: s.state.header(),
		ID:     etcdjson.Int64(s.nextLease),
		TTL:    etcdjson.Int64(ttl / time.Second),
	}
}

// keepAlive renews a lease; for an unknown lease the TTL in the response is zero.
func (s *store) keepAlive(req etcdjson.KeepAliveRequest) etcdjson.KeepAliveResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	res := etcdjson.KeepAliveResponse{Header: s.state.header(), ID: req.ID}
	ttl, ok := s.state.leases[int64(req.ID)]
	if !ok {
		return res
	}
	s.startTimer(int64(req.ID), ttl)
	res.TTL = etcdjson.Int64(ttl / time.Second)
	return res
}

// revoke ends a lease.
func (s *store) revoke(req etcdjson.RevokeRequest) (etcdjson.RevokeResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.state.leases[int64(req.ID)]; !ok {
		return etcdjson.RevokeResponse{}, errLeaseNotFound
	}
	s.deleteLease(int64(req.ID))
	return etcdjson.RevokeResponse{Header: s.state.header()}, nil
}

// startTimer sets the expiry of a lease to ttl from now.
func (s *store) startTimer(id int64, ttl time.Duration) {
	s.stopTimer(id)
	s.expiries[id] = time.Now().Add(ttl)
	s.timers[id] = time.AfterFunc(ttl, func() { s.expire(id) })
}

// stopTimer removes a lease's timer.
func (s *store) stopTimer(id int64) {
	if t := s.timers[id]; t != nil {
		t.Stop()
	}
	delete(s.timers, id)
	delete(s.expiries, id)
}

// expire ends an expired lease. A timer that fired concurrently with a renewal finds a later expiry
// and does nothing.
func (s *store) expire(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end, ok := s.expiries[id]
	if !ok || time.Now().Before(end) {
		return
	}
	s.deleteLease(id)
}

// deleteLease deletes a lease and the keys attached to it.
func (s *store) deleteLease(id int64) {
	s.stopTimer(id)
	delete(s.state.leases, id)
	for _, key := range slices.Sorted(maps.Keys(s.state.kvs)) {
		if int64(s.state.kvs[key].Lease) == id {
			s.remove(key)
		}
	}
}
