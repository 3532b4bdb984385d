package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/micarudder/micarudder/availability"
	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/catalog/proof"
	"github.com/micarudder/micarudder/cell"
)

// State holds the configuration and the endpoints known to the gateway, with the time of the reads
// that prove them to be current. The configuration never goes back to an older version while the
// process runs.
type State struct {
	table atomic.Pointer[catalog.Table]

	mu           sync.Mutex
	proofs       proof.Proofs
	proofChanged chan struct{} // closed at the next proof
	// evacuations come from the newest known read. evacuationSeen is set once any data centre was
	// evacuated.
	evacuations    catalog.Evacuations
	evacuationSeen bool
	endpoints      *availability.EndpointSet
	backoffs       *availability.BackoffTable
	// backoffQueues hold the requests that wait until endpoints of a service end their backoff.
	// refusedCallers counts those that were refused instead.
	backoffQueues  map[string]*availability.WaitQueue
	refusedCallers map[string]refusedCallers
}

// NewState returns an empty state. firstStart is set if the installation starts for the first time.
func NewState(firstStart bool) *State {
	return &State{
		proofs:       proof.New(firstStart),
		proofChanged: make(chan struct{}), endpoints: availability.NewEndpointSet(), backoffs: availability.NewBackoffTable(),
		backoffQueues: make(map[string]*availability.WaitQueue), refusedCallers: make(map[string]refusedCallers),
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

// ApplyConfiguration puts a configuration in force if it is newer, and reports whether it is.
func (s *State) ApplyConfiguration(c *catalog.Configuration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.table.Load(); old != nil && old.Version >= c.Version {
		return false
	}
	s.table.Store(catalog.NewTable(c))
	return true
}

// RecordProof records that a read of another gateway, sent at that time, found no configuration newer than version;
// it reports whether that is more recent than the previous proof. A proof for a version other than the one in force is
// ignored. So is a read soon after the store was restored from an older copy: the operators' latest writes may be
// missing there, so that keys which they withdrew would be valid.
func (s *State) RecordProof(version uint64, sent time.Time) bool {
	return s.recordProof(version, sent, (*proof.Proofs).RecordPeer)
}

// RecordOwnProof is RecordProof for a read of this gateway.
func (s *State) RecordOwnProof(version uint64, sent time.Time) bool {
	return s.recordProof(version, sent, (*proof.Proofs).RecordOwn)
}

func (s *State) recordProof(version uint64, sent time.Time, record func(*proof.Proofs, time.Time) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.table.Load(); t == nil || t.Version != version || !record(&s.proofs, sent) {
		return false
	}
	close(s.proofChanged)
	s.proofChanged = make(chan struct{})
	return true
}

// RecordNoConfiguration records that a read sent at that time found no configuration at all.
func (s *State) RecordNoConfiguration(sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.proofs.RecordEmpty(sent)
}

// RecordUnprovenRead records that a read sent at that time, by this gateway or a peer, reached the
// store and does not prove the configuration in force. It reports whether that is news.
func (s *State) RecordUnprovenRead(sent time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.proofs.RecordUnproven(sent)
}

// UnprovenReadAge returns the time since the latest read that proved nothing, if it is newer than the
// proof.
func (s *State) UnprovenReadAge(now time.Time) (age time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent, ok := s.proofs.Unproven()
	return now.Sub(sent), ok
}

// ReadAge returns the time since the latest read of the configuration that reached the store, as far as
// this gateway knows; noDataAge if there was no such read.
func (s *State) ReadAge(now time.Time) time.Duration {
	age := s.ConfigurationAge(now)
	if unproven, ok := s.UnprovenReadAge(now); ok {
		age = min(age, unproven)
	}
	return age
}

// ConfigurationAge returns the time since the latest read that proved the configuration in force, or that
// there is none; noDataAge if there was no such read.
func (s *State) ConfigurationAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	readAt := s.proofs.Newest()
	if s.table.Load() == nil {
		readAt = s.proofs.Empty()
	}
	if readAt.IsZero() {
		return noDataAge
	}
	return now.Sub(readAt)
}

// RecordStoreEra records an era that the store announced now; it reports whether the store was
// restored from an older copy since the previous one. The era increases with each restore.
func (s *State) RecordStoreEra(era uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	restored := s.proofs.ObserveEra(era, now)
	if restored {
		s.endpoints.RecordRestore(now)
	}
	return restored
}

// judgeEra calls f on what is known of the store's era.
func (s *State) judgeEra(f func(*proof.Proofs)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.proofs)
}

// StoreEra returns the newest known era of the store, 0 for none.
func (s *State) StoreEra() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.proofs.Era()
}

// DropProof drops the proof, since it was noticed now that the host had been suspended for that long.
func (s *State) DropProof(now time.Time, suspended time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.proofs.Drop(now)
	s.backoffs.Suspended(suspended)
}

// ProofAge returns the age of the newest proof, and a channel that is closed at the next one.
// Before the first proof the age is the largest possible duration.
func (s *State) ProofAge(now time.Time) (time.Duration, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.proofs.Newest().IsZero() {
		return noDataAge, s.proofChanged
	}
	return now.Sub(s.proofs.Newest()), s.proofChanged
}

// WaitFresh waits until there is a proof younger than limit; it reports false if timeout or ctx
// ends first.
func (s *State) WaitFresh(ctx context.Context, limit, timeout time.Duration) bool {
	var timer *time.Timer
	for {
		age, changed := s.ProofAge(time.Now())
		if age < limit {
			return true
		}
		if timer == nil {
			timer = time.NewTimer(timeout)
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

// Endpoints returns the endpoints of a service that accept new requests, in the same order at every
// gateway.
func (s *State) Endpoints(service string) []catalog.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints.Usable(service)
}

// Services returns the services of the configuration in force.
func (s *State) Services() []catalog.Service {
	t := s.table.Load()
	if t == nil {
		return nil
	}
	return t.Configuration.Services
}

// EndpointsByCell returns the endpoints of a service that accept new requests, by cell. The caller
// must not change the result.
func (s *State) EndpointsByCell(service string) map[string][]catalog.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints.UsableByCell(service)
}

// Cells returns the mapping of data centres to cells.
func (s *State) Cells() cell.Map {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints.Cells()
}

// CellOf returns the cell of an endpoint; ok is false for an unknown endpoint.
func (s *State) CellOf(id string) (name string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.endpoints.Known()[id]
	return s.endpoints.Cells().Of(e.DataCentre), ok
}

// Endpoint returns an endpoint and whether it accepts new requests.
func (s *State) Endpoint(id string) (catalog.Endpoint, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints.UsableEndpoint(id)
}

// EndpointCount returns the number of known endpoints.
func (s *State) EndpointCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.endpoints.Known())
}

// EndpointAt returns the endpoint whose entry has an address.
func (s *State) EndpointAt(address string) (id string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.endpoints.Known() {
		if e.Address == address {
			return id, true
		}
	}
	return "", false
}

// ApplyList applies a list of endpoints and returns the resulting changes. sent is when the read that
// returned the list was sent; zero means long ago. storeFailed is when a read of the list last
// failed; zero means never.
func (s *State) ApplyList(list []catalog.Endpoint, sent, now, storeFailed time.Time) []availability.Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	var services []string
	for _, service := range s.Services() {
		services = append(services, service.Name)
	}
	s.endpoints.SetServices(services)
	changes := s.endpoints.ApplyList(list, now, storeFailed)
	s.clearBackoffs(changes, s.endpoints.PreviousIncarnationListedAt(now))
	s.endpoints.SetListSent(sent)
	return changes
}

// SameIncarnation reports whether e is still the running incarnation of the endpoint, as far as is
// known.
func (s *State) SameIncarnation(e catalog.Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !e.RestartedAs(s.endpoints.Known()[e.ID])
}
