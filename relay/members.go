package relay

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
	// returnTime is how long after the store's return an endpoint whose entry
	// lapsed may still come back; the platform says about two seconds.
	returnTime = 2 * time.Second
	// massLapseTime is how long that suspicion keeps endpoints: half of the time
	// within which one that left must get no more requests.
	massLapseTime = time.Second
	// massLapse is the part of a service's endpoints that has to be missing
	// from one list for the store to be suspected instead of the endpoints.
	massLapse = 0.5
	// staleEntryTime is how long after the store came back from an older copy an entry in it may
	// be of an endpoint that had gone: until three heartbeats of 1.2 s were missed, and some.
	staleEntryTime = 6 * time.Second
	// departedFor is how long an endpoint that left is remembered. Copies are seconds old.
	departedFor = 10 * time.Minute
	// lastResortTime is how long after an endpoint has said that it leaves it still gets requests that no other one could take:
	// half of the time within which one that leaves must get no more requests.
	lastResortTime = time.Second
)

// MemberChange is a change of what is believed of an endpoint.
type MemberChange struct {
	Endpoint catalog.Endpoint
	Kind     ChangeKind
	// Source is who said so: the store's list, an answer of the endpoint, or the name of a gateway.
	Source string
}

// ChangeKind says what changed, as it stands in logs.
type ChangeKind string

// The changes.
const (
	changeNew       ChangeKind = "new"
	changeDraining  ChangeKind = "draining"  // it takes no new requests any more
	changeMissing   ChangeKind = "missing"   // its entry lapsed, perhaps with the store
	changeGone      ChangeKind = "gone"      // it gets no more requests
	changeRestarted ChangeKind = "restarted" // under the same ID; it holds nothing of before
)

// members decides from the store's list, and from what endpoints say of themselves, which
// of them take new requests. It is pure: times are arguments.
type members struct {
	known   map[string]catalog.Endpoint // Draining is set whoever said so
	leaves  *availability.Leaves
	missing map[string]time.Time // entries that lapsed, and when that was seen
	// departed are endpoints that were known and are gone. An older copy of the store may name
	// them again.
	departed map[string]departure
	listSent time.Time // when the read of the list before was sent; zero: long ago
	// restored is when the store was seen to have come back from an older copy; zero: never.
	restored time.Time
	order    map[string][]catalog.Endpoint
	// services are those of the configuration in force; empty before one is known.
	services []string
	cells    cell.Map
	inCell   map[string]map[string][]catalog.Endpoint // by service and cell
}

// departure is how an endpoint left.
type departure struct {
	endpoint catalog.Endpoint
	at       time.Time
}

func newMembers() *members {
	return &members{
		leaves:   availability.NewLeaves(),
		known:    make(map[string]catalog.Endpoint),
		missing:  make(map[string]time.Time),
		departed: make(map[string]departure),
		order:    make(map[string][]catalog.Endpoint),
	}
}

// listed takes in a list that was read at now. An entry that disappeared while
// the store could be read means that the endpoint has left; one that lapsed
// with the store may come back within returnTime. An entry that turned unreadable
// is not in the list and counts as one that disappeared: it names nothing to send to.
// The endpoint keeps what it works on and comes back with the entry that it writes next.
func (m *members) listed(list []catalog.Endpoint, now, storeFailed time.Time) []MemberChange {
	var changes []MemberChange
	present := make(map[string]bool, len(list))
	for _, e := range list {
		if m.isStale(e, now) {
			continue
		}
		present[e.ID] = true
		delete(m.missing, e.ID)
		old, ok := m.known[e.ID]
		if old.RestartedAs(e) {
			m.leaves.Restarted(e, m.earlierLifeListed(now), now)
		}
		if e.Draining {
			m.leaves.Take(e, availability.FromStore, now)
		}
		_, e.Draining = m.leaves.Of(e)
		switch {
		case !ok:
			changes = append(changes, MemberChange{e, changeNew, availability.FromStore})
		case old.RestartedAs(e):
			changes = append(changes, MemberChange{e, changeRestarted, availability.FromStore})
		case e.Draining && !old.Draining:
			changes = append(changes, MemberChange{e, changeDraining, availability.FromStore})
		}
		m.known[e.ID] = e
	}
	m.forgetDeparted(now)
	m.leaves.Expire(func(id string) (catalog.Endpoint, bool) { return m.known[id], present[id] }, now)
	lapsed := m.massLapsed(present)
	for id, e := range m.known {
		if present[id] {
			continue
		}
		since, seen := m.missing[id]
		if !seen {
			since = now
		}
		if !e.Draining && m.mayReturn(since, now, storeFailed, lapsed[e.Service]) {
			if !seen {
				m.missing[id] = now
				changes = append(changes, MemberChange{e, changeMissing, availability.FromStore})
			}
			continue
		}
		delete(m.known, id)
		delete(m.missing, id)
		m.departed[id] = departure{e, now}
		changes = append(changes, MemberChange{e, changeGone, availability.FromStore})
	}
	m.sort()
	return changes
}

// readsOldCopy reports whether lists may still come from an older copy of the store, and name lives of before.
func (m *members) readsOldCopy(now time.Time) bool {
	return !m.restored.IsZero() && now.Sub(m.restored) <= staleEntryTime
}

// earlierLifeListed returns when the life before was certainly the one that runs; zero: that is not known, since it may run again in
// a list of an older copy.
func (m *members) earlierLifeListed(now time.Time) time.Time {
	if m.readsOldCopy(now) {
		return time.Time{}
	}
	return m.listSent
}

// takeBack takes in an answer of an endpoint whose leave is doubted, and that does not say that it leaves. It reports whether it takes requests now.
func (m *members) takeBack(e catalog.Endpoint) bool {
	m.leaves.TakeBack(e)
	known, ok := m.known[e.ID]
	if _, leaves := m.leaves.Of(known); !ok || leaves || !known.Draining {
		return false
	}
	known.Draining = false
	m.known[e.ID] = known
	m.sort()
	return true
}

// left takes in that somebody other than the store says of an endpoint that it leaves. It reports whether that is news, and returns the
// change where the endpoint is known.
func (m *members) left(e catalog.Endpoint, source string, now time.Time) (news bool, changes []MemberChange) {
	known, ok := m.known[e.ID]
	if ok && known.RestartedAs(e) || !m.leaves.Take(e, source, now) {
		return false, nil // an earlier life, or a later one that says so again
	}
	if !ok || known.Draining {
		return true, nil
	}
	known.Draining = true
	m.known[e.ID] = known
	m.sort()
	return true, []MemberChange{{known, changeDraining, source}}
}

// lastResort returns the endpoints of a service by cell that have said not long ago that they leave. They still take requests while no other one does.
func (m *members) lastResort(service string, now time.Time) map[string][]catalog.Endpoint {
	var out map[string][]catalog.Endpoint
	for _, e := range m.known {
		if e.Service != service || !m.leftLately(e, now) {
			continue
		}
		if out == nil {
			out = make(map[string][]catalog.Endpoint)
		}
		name := m.cells.Of(e.DataCentre)
		out[name] = append(out[name], e)
	}
	return out
}

func (m *members) leftLately(e catalog.Endpoint, now time.Time) bool {
	leave, ok := m.leaves.Of(e)
	return ok && now.Sub(leave.Since) < lastResortTime
}

// isStale reports whether an entry is that of an endpoint which has left, in a store that came
// back from an older copy. One that had said so never comes back in the same life. One whose entry had
// only disappeared may: it counts again when its entry outlives the heartbeats that it misses.
func (m *members) isStale(e catalog.Endpoint, now time.Time) bool {
	left, ok := m.departed[e.ID]
	if !ok {
		return false
	}
	if left.endpoint.RestartedAs(e) || now.Sub(left.at) > departedFor {
		delete(m.departed, e.ID)
		return false
	}
	if left.endpoint.Draining {
		return true
	}
	if left.at.Before(m.restored) && now.Sub(m.restored) < staleEntryTime {
		return true
	}
	delete(m.departed, e.ID)
	return false
}

// mayReturn reports whether an endpoint that is missing since then may have
// lapsed with the store, or be missing in an older copy of it, and come back.
func (m *members) mayReturn(since, now, storeFailed time.Time, massLapsed bool) bool {
	for _, away := range []time.Time{storeFailed, m.restored} {
		if !away.IsZero() && now.Sub(away) < returnTime {
			return true
		}
	}
	return massLapsed && now.Sub(since) < massLapseTime
}

// forgetDeparted drops endpoints that left so long ago that no copy names them.
func (m *members) forgetDeparted(now time.Time) {
	for id, left := range m.departed {
		if now.Sub(left.at) > departedFor {
			delete(m.departed, id)
		}
	}
}

// massLapsed returns the services of which most endpoints are missing at once.
func (m *members) massLapsed(present map[string]bool) map[string]bool {
	all, missing := make(map[string]int), make(map[string]int)
	for id, e := range m.known {
		all[e.Service]++
		if !present[id] {
			missing[e.Service]++
		}
	}
	out := make(map[string]bool)
	for service, n := range missing {
		out[service] = n > 1 && float64(n) >= massLapse*float64(all[service])
	}
	return out
}

// sort puts the endpoints in an order that every gateway shares.
func (m *members) sort() {
	m.order = make(map[string][]catalog.Endpoint)
	for _, e := range m.known {
		if !e.Draining {
			m.order[e.Service] = append(m.order[e.Service], e)
		}
	}
	for _, list := range m.order {
		slices.SortFunc(list, func(a, b catalog.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	m.group()
}

// group sets the cells by the data centres of the service that has the most endpoints, of
// those that are configured where any is: whoever writes entries of other services must not
// move the cells.
func (m *members) group() {
	var most []catalog.Endpoint
	known := slices.ContainsFunc(m.services, func(name string) bool { return len(m.order[name]) > 0 })
	for _, service := range slices.Sorted(maps.Keys(m.order)) {
		if known && !slices.Contains(m.services, service) {
			continue
		}
		if len(m.order[service]) > len(most) {
			most = m.order[service]
		}
	}
	count := make(map[string]int)
	for _, e := range most {
		count[e.DataCentre]++
	}
	m.cells = cell.Group(count)
	m.inCell = make(map[string]map[string][]catalog.Endpoint, len(m.order))
	for service, list := range m.order {
		cells := make(map[string][]catalog.Endpoint)
		for _, e := range list {
			name := m.cells.Of(e.DataCentre)
			cells[name] = append(cells[name], e)
		}
		m.inCell[service] = cells
	}
}

func (m *members) usable(service string) []catalog.Endpoint { return m.order[service] }

func (m *members) endpoint(id string) (catalog.Endpoint, bool) {
	e, ok := m.known[id]
	return e, ok && !e.Draining
}

// takes reports whether a request may be sent to an endpoint now.
func (m *members) takes(id string, now time.Time) bool {
	e, ok := m.known[id]
	return ok && (!e.Draining || len(m.order[e.Service]) == 0 && m.leftLately(e, now))
}
