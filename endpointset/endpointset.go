// Package endpointset decides, from the store's list and from the statements of endpoints, which
// endpoints accept new requests. It is pure: times are arguments.
package endpointset

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/micarudder/micarudder/availability"
	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/cell"
)

const (
	// ReturnWindow is how long after the store's return an endpoint whose entry expired may still
	// come back; the platform documents about two seconds.
	ReturnWindow = 2 * time.Second
	// massExpiryWindow is how long endpoints are kept while the store is suspected, see
	// massExpiryRatio: half of the time within which an endpoint that left must get no more
	// requests.
	massExpiryWindow = time.Second
	// massExpiryRatio is the part of a service's endpoints that has to be missing from one list for
	// the store to be suspected rather than the endpoints.
	massExpiryRatio = 0.5
	// staleEntryWindow is how long after a restore of the store from an older copy an entry may
	// belong to an endpoint that is gone: three missed heartbeats of 1.2 s plus a margin.
	staleEntryWindow = 6 * time.Second
	// departedRetention is how long a departed endpoint is remembered. Copies of the store are
	// seconds old.
	departedRetention = 10 * time.Minute
	// LastResortWindow is how long after an endpoint has announced its drain it still gets requests
	// that no other endpoint could take: half of the time within which a draining endpoint must get
	// no more requests.
	LastResortWindow = time.Second
)

// Change is a change of the known state of an endpoint.
type Change struct {
	Endpoint catalog.Endpoint
	Kind     ChangeKind
	// Source is where the change was reported: the store's list, a response of the endpoint, or a
	// gateway, given by name.
	Source string
}

// ChangeKind is the kind of a change, as written to logs.
type ChangeKind string

// The kinds of changes.
const (
	Added     ChangeKind = "new"
	Draining  ChangeKind = "draining"  // it accepts no new requests
	Missing   ChangeKind = "missing"   // its entry expired, perhaps because of the store
	Gone      ChangeKind = "gone"      // it gets no more requests
	Restarted ChangeKind = "restarted" // under the same ID; state from before the restart is lost
)

// Set holds the known endpoints. It is not safe for concurrent use.
type Set struct {
	known        map[string]catalog.Endpoint // Draining is set whatever the source
	drains       *availability.DrainTable
	evacuated    map[string]bool      // data centres whose endpoints get no requests
	missingSince map[string]time.Time // entries that expired, and when that was noticed
	// departed holds endpoints that were known and are gone. An older copy of the store may list
	// them again.
	departed   map[string]departure
	listSentAt time.Time // when the read of the previous list was sent; zero means long ago
	// restoredAt is when it was noticed that the store had been restored from an older copy; zero
	// means never.
	restoredAt      time.Time
	usableByService map[string][]catalog.Endpoint
	// services are those of the configuration in force; empty before one is known.
	services     []string
	cells        cell.Map
	usableByCell map[string]map[string][]catalog.Endpoint // by service and cell
}

// departure is an endpoint that left, with the time.
type departure struct {
	endpoint catalog.Endpoint
	at       time.Time
}

// New returns an empty set.
func New() *Set {
	return &Set{
		drains:          availability.NewDrainTable(),
		known:           make(map[string]catalog.Endpoint),
		missingSince:    make(map[string]time.Time),
		departed:        make(map[string]departure),
		usableByService: make(map[string][]catalog.Endpoint),
	}
}

// ApplyList applies a list that was read at now. An entry that disappeared while the store could be
// read means that the endpoint has left; an entry that expired with the store may come back within
// ReturnWindow. An entry that became unreadable is not in the list and counts as one that
// disappeared, since it gives no address to send to. Its endpoint keeps the requests that it works
// on and comes back with the next entry that it writes.
func (s *Set) ApplyList(list []catalog.Endpoint, now, storeFailed time.Time) []Change {
	var changes []Change
	present := make(map[string]bool, len(list))
	for _, e := range list {
		if s.isStale(e, now) {
			continue
		}
		present[e.ID] = true
		delete(s.missingSince, e.ID)
		old, ok := s.known[e.ID]
		if old.RestartedAs(e) {
			s.drains.Restarted(e, s.PreviousIncarnationListedAt(now), now)
		}
		if e.Draining {
			s.drains.Add(e, availability.FromStore, now)
		}
		_, e.Draining = s.drains.Lookup(e)
		switch {
		case !ok:
			changes = append(changes, Change{e, Added, availability.FromStore})
		case old.RestartedAs(e):
			changes = append(changes, Change{e, Restarted, availability.FromStore})
		case e.Draining && !old.Draining:
			changes = append(changes, Change{e, Draining, availability.FromStore})
		}
		s.known[e.ID] = e
	}
	s.forgetDeparted(now)
	s.drains.Expire(func(id string) (catalog.Endpoint, bool) { return s.known[id], present[id] }, now)
	expired := s.massExpired(present)
	for id, e := range s.known {
		if present[id] {
			continue
		}
		since, seen := s.missingSince[id]
		if !seen {
			since = now
		}
		if !e.Draining && s.mayReturn(since, now, storeFailed, expired[e.Service]) {
			if !seen {
				s.missingSince[id] = now
				changes = append(changes, Change{e, Missing, availability.FromStore})
			}
			continue
		}
		delete(s.known, id)
		delete(s.missingSince, id)
		s.departed[id] = departure{e, now}
		changes = append(changes, Change{e, Gone, availability.FromStore})
	}
	s.sort()
	return changes
}

// mayReadOldCopy reports whether lists may still come from an older copy of the store and contain
// earlier incarnations.
func (s *Set) mayReadOldCopy(now time.Time) bool {
	return !s.restoredAt.IsZero() && now.Sub(s.restoredAt) <= staleEntryWindow
}

// PreviousIncarnationListedAt returns when the previous incarnation was certainly the running one;
// zero if that is not known, since a list from an older copy may contain it again.
func (s *Set) PreviousIncarnationListedAt(now time.Time) time.Time {
	if s.mayReadOldCopy(now) {
		return time.Time{}
	}
	return s.listSentAt
}

// RevokeUncertainDrain records a response without a drain statement of an endpoint whose drain is
// uncertain. It reports whether the endpoint accepts requests again.
func (s *Set) RevokeUncertainDrain(e catalog.Endpoint) bool {
	s.drains.RevokeUncertain(e)
	known, ok := s.known[e.ID]
	if _, draining := s.drains.Lookup(known); !ok || draining || !known.Draining {
		return false
	}
	known.Draining = false
	s.known[e.ID] = known
	s.sort()
	return true
}

// MarkDraining records that a source other than the store reports an endpoint as draining. It
// reports whether that is new, and returns the change if the endpoint is known.
func (s *Set) MarkDraining(e catalog.Endpoint, source string, now time.Time) (isNew bool, changes []Change) {
	known, ok := s.known[e.ID]
	if ok && known.RestartedAs(e) || !s.drains.Add(e, source, now) {
		return false, nil // an earlier incarnation, or a repeated report
	}
	if !ok || known.Draining {
		return true, nil
	}
	known.Draining = true
	s.known[e.ID] = known
	s.sort()
	return true, []Change{{known, Draining, source}}
}

// LastResort returns the endpoints of a service, by cell, that announced their drain recently. They
// still accept requests while no other endpoint does.
func (s *Set) LastResort(service string, now time.Time) map[string][]catalog.Endpoint {
	var out map[string][]catalog.Endpoint
	for _, e := range s.known {
		if e.Service != service || s.evacuated[e.DataCentre] || !s.recentlyDraining(e, now) {
			continue
		}
		if out == nil {
			out = make(map[string][]catalog.Endpoint)
		}
		name := s.cells.Of(e.DataCentre)
		out[name] = append(out[name], e)
	}
	return out
}

func (s *Set) recentlyDraining(e catalog.Endpoint, now time.Time) bool {
	drain, ok := s.drains.Lookup(e)
	return ok && now.Sub(drain.Since) < LastResortWindow
}

// isStale reports whether an entry in a store that was restored from an older copy belongs to an
// endpoint that has left. An endpoint that had announced its drain never comes back in the same
// incarnation. One whose entry had only disappeared may: it counts again once its entry outlives
// the heartbeats that a departed endpoint would miss.
func (s *Set) isStale(e catalog.Endpoint, now time.Time) bool {
	dep, ok := s.departed[e.ID]
	if !ok {
		return false
	}
	if dep.endpoint.RestartedAs(e) || now.Sub(dep.at) > departedRetention {
		delete(s.departed, e.ID)
		return false
	}
	if dep.endpoint.Draining {
		return true
	}
	if dep.at.Before(s.restoredAt) && now.Sub(s.restoredAt) < staleEntryWindow {
		return true
	}
	delete(s.departed, e.ID)
	return false
}

// mayReturn reports whether an endpoint that has been missing since that time may come back,
// because its entry expired with the store or is missing in an older copy of it.
func (s *Set) mayReturn(since, now, storeFailed time.Time, massExpired bool) bool {
	for _, unavailableAt := range []time.Time{storeFailed, s.restoredAt} {
		if !unavailableAt.IsZero() && now.Sub(unavailableAt) < ReturnWindow {
			return true
		}
	}
	return massExpired && now.Sub(since) < massExpiryWindow
}

// forgetDeparted drops endpoints that left so long ago that no copy contains them.
func (s *Set) forgetDeparted(now time.Time) {
	for id, dep := range s.departed {
		if now.Sub(dep.at) > departedRetention {
			delete(s.departed, id)
		}
	}
}

// massExpired returns the services of which most endpoints are missing at once.
func (s *Set) massExpired(present map[string]bool) map[string]bool {
	all, missing := make(map[string]int), make(map[string]int)
	for id, e := range s.known {
		all[e.Service]++
		if !present[id] {
			missing[e.Service]++
		}
	}
	out := make(map[string]bool)
	for service, n := range missing {
		out[service] = n > 1 && float64(n) >= massExpiryRatio*float64(all[service])
	}
	return out
}

// sort orders the endpoints in the same way at every gateway.
func (s *Set) sort() {
	s.usableByService = make(map[string][]catalog.Endpoint)
	for _, e := range s.known {
		if !e.Draining && !s.evacuated[e.DataCentre] {
			s.usableByService[e.Service] = append(s.usableByService[e.Service], e)
		}
	}
	for _, list := range s.usableByService {
		slices.SortFunc(list, func(a, b catalog.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	s.groupCells()
}

// groupCells derives the cells from the data centres of the service with the most endpoints. If any
// configured service has endpoints, only configured ones count, so that entries of other services
// cannot change the cells.
func (s *Set) groupCells() {
	var most []catalog.Endpoint
	known := slices.ContainsFunc(s.services, func(name string) bool { return len(s.usableByService[name]) > 0 })
	for _, service := range slices.Sorted(maps.Keys(s.usableByService)) {
		if known && !slices.Contains(s.services, service) {
			continue
		}
		if len(s.usableByService[service]) > len(most) {
			most = s.usableByService[service]
		}
	}
	count := make(map[string]int)
	for _, e := range most {
		count[e.DataCentre]++
	}
	s.cells = cell.Group(count)
	s.usableByCell = make(map[string]map[string][]catalog.Endpoint, len(s.usableByService))
	for service, list := range s.usableByService {
		cells := make(map[string][]catalog.Endpoint)
		for _, e := range list {
			name := s.cells.Of(e.DataCentre)
			cells[name] = append(cells[name], e)
		}
		s.usableByCell[service] = cells
	}
}

// Usable returns the endpoints of a service that accept requests. The caller must not change them.
func (s *Set) Usable(service string) []catalog.Endpoint { return s.usableByService[service] }

// UsableByCell returns the endpoints of a service that accept requests, by cell. The caller must not
// change them.
func (s *Set) UsableByCell(service string) map[string][]catalog.Endpoint {
	return s.usableByCell[service]
}

// Known returns all known endpoints by ID. Draining is set whatever the source. The caller must not change
// them.
func (s *Set) Known() map[string]catalog.Endpoint { return s.known }

// Drains returns the table of draining endpoints.
func (s *Set) Drains() *availability.DrainTable { return s.drains }

// Cells returns the cells of the data centres.
func (s *Set) Cells() cell.Map { return s.cells }

// Evacuated reports whether the endpoints of a data centre get no requests.
func (s *Set) Evacuated(dataCentre string) bool { return s.evacuated[dataCentre] }

// SetServices sets the services of the configuration in force, for the next list.
func (s *Set) SetServices(names []string) { s.services = names }

// SetListSentAt sets when the read of the newest list was sent; zero means long ago.
func (s *Set) SetListSentAt(t time.Time) { s.listSentAt = t }

// SetRestored records that the store was noticed to have been restored from an older copy.
func (s *Set) SetRestored(now time.Time) { s.restoredAt = now }

// MayPrecedeRestore reports whether what was read at t may lack writes from before a restore.
func (s *Set) MayPrecedeRestore(t time.Time) bool {
	return !s.restoredAt.IsZero() && t.Before(s.restoredAt.Add(ReturnWindow))
}

// Endpoint returns an endpoint by its ID; ok is false if it accepts no requests.
func (s *Set) Endpoint(id string) (e catalog.Endpoint, ok bool) {
	e, ok = s.known[id]
	return e, ok && !e.Draining && !s.evacuated[e.DataCentre]
}

// AcceptsRequests reports whether a request may be sent to an endpoint now.
func (s *Set) AcceptsRequests(id string, now time.Time) bool {
	e, ok := s.known[id]
	return ok && !s.evacuated[e.DataCentre] && (!e.Draining || len(s.usableByService[e.Service]) == 0 && s.recentlyDraining(e, now))
}

// SetEvacuated replaces the evacuated data centres.
func (s *Set) SetEvacuated(dataCentres []string) {
	s.evacuated = make(map[string]bool, len(dataCentres))
	for _, name := range dataCentres {
		s.evacuated[name] = true
	}
	s.sort()
}
