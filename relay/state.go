package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/micarudder/micarudder/availability"
	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/cell"
)

// State is what the gateway believes of configuration and endpoints, with the
// time of the reads that prove it. The configuration never goes back to an
// older version within one life of the process.
type State struct {
	table atomic.Pointer[catalog.Table]

	mu      sync.Mutex
	proof   time.Time     // when the last read was sent that proved the configuration
	changed chan struct{} // closed at the next proof
	// since is when the host's newest suspension was noticed: a read that was sent before
	// proves nothing, however short the time that the clock counts since.
	since time.Time
	// storeEra is the newest era of the store that is known; 0: none is.
	storeEra uint64
	members  *members
	rests    *availability.Rests
	// lines are the requests that wait until endpoints of a service have rested, and sentAway those that were refused instead.
	lines    map[string]*availability.Line
	sentAway map[string]sentAway
}

// NewState returns a state that knows nothing.
func NewState() *State {
	return &State{
		changed: make(chan struct{}), members: newMembers(), rests: availability.NewRests(),
		lines: make(map[string]*availability.Line), sentAway: make(map[string]sentAway),
	}
}

// Table returns the configuration in force, or nil before one is known.
func (s *State) Table() *catalog.Table { return s.table.Load() }

// Version returns the version in force, 0 for none.
func (s *State) Version() uint64 {
	if t := s.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// Take puts a configuration in force if it is newer, and reports whether it is.
func (s *State) Take(c *catalog.Configuration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.table.Load(); old != nil && old.Version >= c.Version {
		return false
	}
	s.table.Store(catalog.NewTable(c))
	return true
}

// Prove notes that a read sent at that time found no newer configuration than
// version, and reports whether that is younger than what was known. A proof for
// another version than the one in force proves nothing, nor does a read soon after the store came
// back from an older copy: what the operators wrote last may be missing there, and keys that
// they withdrew be good.
func (s *State) Prove(version uint64, sent time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.table.Load(); t == nil || t.Version != version || !sent.After(s.proof) || sent.Before(s.since) || s.missesWrites(sent) {
		return false
	}
	s.proof = sent
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

// missesWrites reports whether what was written last may have been missing in the store at that
// time. The caller holds the lock.
func (s *State) missesWrites(at time.Time) bool {
	return !s.members.restored.IsZero() && at.Before(s.members.restored.Add(returnTime))
}

// SawEra takes in an era of the store that was named now; it reports whether the store has come back
// from an older copy since the last one.
func (s *State) SawEra(era uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.storeEra
	if era <= before {
		return false
	}
	s.storeEra = era
	if before == 0 {
		return false // the first that is known
	}
	s.members.restored = now
	return true
}

// StoreEra returns the newest era of the store that is known, 0 for none.
func (s *State) StoreEra() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeEra
}

// Outdate drops the proof: the host was suspended for so long, which was noticed now.
func (s *State) Outdate(now time.Time, suspended time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.proof, s.since = time.Time{}, now
	s.rests.Suspended(suspended)
}

// ProofAge returns how old the newest proof is, and a channel that is closed at
// the next one. Before the first proof the age is the largest there is.
func (s *State) ProofAge(now time.Time) (time.Duration, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.proof.IsZero() {
		return 1<<63 - 1, s.changed
	}
	return now.Sub(s.proof), s.changed
}

// Fresh waits until there is a proof younger than limit; it reports false when
// patience or ctx ended first.
func (s *State) Fresh(ctx context.Context, limit, patience time.Duration) bool {
	var timer *time.Timer
	for {
		age, changed := s.ProofAge(time.Now())
		if age < limit {
			return true
		}
		if timer == nil {
			timer = time.NewTimer(patience)
			defer timer.Stop()
		}
		select {
		case <-changed:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// Endpoints returns the endpoints of a service that take new requests, in an
// order that is the same at every gateway.
func (s *State) Endpoints(service string) []catalog.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.usable(service)
}

// Services returns the services of the configuration in force.
func (s *State) Services() []catalog.Service {
	t := s.table.Load()
	if t == nil {
		return nil
	}
	return t.Configuration.Services
}

// EndpointsByCell returns the same by cell. The caller must not change it.
func (s *State) EndpointsByCell(service string) map[string][]catalog.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.inCell[service]
}

// AllLeave reports whether a service has endpoints, and all of them leave.
func (s *State) AllLeave(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.members.order[service]) > 0 {
		return false
	}
	for _, e := range s.members.known {
		if e.Service == service {
			return true
		}
	}
	return false
}

// Cells returns which cell each data centre belongs to.
func (s *State) Cells() cell.Map {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.cells
}

// CellOf returns the cell of an endpoint; ok is false for one that is not known.
func (s *State) CellOf(id string) (name string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.members.known[id]
	return s.members.cells.Of(e.DataCentre), ok
}

// Endpoint returns an endpoint and whether it takes new requests.
func (s *State) Endpoint(id string) (catalog.Endpoint, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.endpoint(id)
}

// EndpointCount returns how many endpoints are known.
func (s *State) EndpointCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.members.known)
}

// AtAddress returns the endpoint whose entry names an address.
func (s *State) AtAddress(address string) (id string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.members.known {
		if e.Address == address {
			return id, true
		}
	}
	return "", false
}

// Listed takes in a list of endpoints that was read by a call sent then, zero: long ago, and returns what it
// changed. storeFailed is when a read of the list failed last; zero: never.
func (s *State) Listed(list []catalog.Endpoint, sent, now, storeFailed time.Time) []MemberChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members.services = s.members.services[:0]
	for _, service := range s.Services() {
		s.members.services = append(s.members.services, service.Name)
	}
	changes := s.members.listed(list, now, storeFailed)
	s.restsOver(changes, s.members.earlierLifeListed(now))
	s.members.listSent = sent
	return changes
}

// SameLife reports whether an endpoint still lives the life that e tells of, as far as is
// known.
func (s *State) SameLife(e catalog.Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !e.RestartedAs(s.members.known[e.ID])
}
