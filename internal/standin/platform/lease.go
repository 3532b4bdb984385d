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
	s.start(s.nextLease, ttl)
	return etcdjson.GrantResponse{
		Header: s.state.header(),
		ID:     etcdjson.Int64(s.nextLease),
		TTL:    etcdjson.Int64(ttl / time.Second),
	}
}

// keepAlive renews a lease; an unknown one is answered with a TTL of zero.
func (s *store) keepAlive(req etcdjson.KeepAliveRequest) etcdjson.KeepAliveResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	res := etcdjson.KeepAliveResponse{Header: s.state.header(), ID: req.ID}
	ttl, ok := s.state.leases[int64(req.ID)]
	if !ok {
		return res
	}
	s.start(int64(req.ID), ttl)
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
	s.end(int64(req.ID))
	return etcdjson.RevokeResponse{Header: s.state.header()}, nil
}

// start sets the end of a lease to ttl from now.
func (s *store) start(id int64, ttl time.Duration) {
	s.stop(id)
	s.ends[id] = time.Now().Add(ttl)
	s.timers[id] = time.AfterFunc(ttl, func() { s.lapse(id) })
}

// stop takes a lease's timer away.
func (s *store) stop(id int64) {
	if t := s.timers[id]; t != nil {
		t.Stop()
	}
	delete(s.timers, id)
	delete(s.ends, id)
}

// lapse ends a lease whose time is over; a timer that lost against a renewal
// finds a later end.
func (s *store) lapse(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end, ok := s.ends[id]
	if !ok || time.Now().Before(end) {
		return
	}
	s.end(id)
}

// end deletes a lease and the keys attached to it.
func (s *store) end(id int64) {
	s.stop(id)
	delete(s.state.leases, id)
	for _, key := range slices.Sorted(maps.Keys(s.state.kvs)) {
		if int64(s.state.kvs[key].Lease) == id {
			s.remove(key)
		}
	}
}
