package slotqueue

import "time"

const (
	// reportReleasesFor is how long after a request was last known to wait for a service releases of
	// its slots are reported at once. Requests that queue soon after are then placed by a load
	// that is up to date.
	reportReleasesFor = time.Second
	// countTTL is how long a count of free slots is used for the waiting requests that are not first.
	// Loads from other gateways are older than that.
	countTTL = 5 * time.Millisecond
)

// service is what is known about the slots of one service.
type service struct {
	fullness  Fullness
	releases  Releases
	waitingAt time.Time // when a request was last known to wait
	free      int
	countedAt time.Time // when free was counted; zero if it must be counted again
}

// Tracker combines the queue with the state of each service's slots. It is not safe for concurrent
// use.
type Tracker struct {
	*Queue
	services   map[string]*service
	freed      map[string][]time.Time // when slots of an endpoint became free recently
	reportedAt time.Time              // when a peer last sent a message
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{Queue: New(), services: make(map[string]*service), freed: make(map[string][]time.Time)}
}

func (t *Tracker) service(name string) *service {
	s := t.services[name]
	if s == nil {
		s = new(service)
		t.services[name] = s
	}
	return s
}

// Count records the free slots and all slots of a service in the cell. It reports whether requests
// must queue.
func (t *Tracker) Count(name string, free, total int, now time.Time) bool {
	s := t.service(name)
	s.free, s.countedAt = free, now
	return s.fullness.Update(free, total, t.Waiting(name, now))
}

// Counted returns the free slots of a service that were counted last; ok is false if they must be
// counted again.
func (t *Tracker) Counted(name string, now time.Time) (free int, ok bool) {
	s := t.service(name)
	return s.free, !s.countedAt.IsZero() && now.Sub(s.countedAt) < countTTL
}

// Joined records that a request of this gateway waits.
func (t *Tracker) Joined(ticket Ticket, now time.Time) *Entry {
	t.service(ticket.Service).waitingAt = now
	return t.Join(ticket, now)
}

// Taken records that a slot was taken by this gateway.
func (t *Tracker) Taken(name string) { t.service(name).countedAt = time.Time{} }

// choiceMargin is the time from the moment at which a gateway may choose until it has sent the message
// about its choice.
const choiceMargin = 10 * time.Millisecond

// freshFor returns how long a free slot counts as fresh: until a message of a gateway that did not know
// of it when it chose has arrived.
func (t *Tracker) freshFor() time.Duration { return t.Delay() + choiceMargin }

// Freed records that slots of an endpoint became free.
func (t *Tracker) Freed(endpoint string, n int, now time.Time) {
	t.Fresh(endpoint, now)
	for range n {
		t.freed[endpoint] = append(t.freed[endpoint], now)
	}
}

// Fresh returns the ages of the slots of an endpoint that became free recently.
func (t *Tracker) Fresh(endpoint string, now time.Time) []time.Duration {
	list := t.freed[endpoint]
	for len(list) > 0 && now.Sub(list[0]) > t.freshFor() {
		list = list[1:]
	}
	if len(list) == 0 {
		delete(t.freed, endpoint)
		return nil
	}
	t.freed[endpoint] = list
	out := make([]time.Duration, len(list))
	for i, at := range list {
		out[i] = now.Sub(at)
	}
	return out
}

// Expire removes what is no longer valid.
func (t *Tracker) Expire(now time.Time) {
	t.ExpirePeers(now)
	for endpoint := range t.freed {
		t.Fresh(endpoint, now)
	}
}

// Released records that a request of this gateway released its slot after it had held it for a
// time. It reports whether other gateways should be told at once.
func (t *Tracker) Released(name string, held time.Duration, now time.Time) bool {
	s := t.service(name)
	s.countedAt = time.Time{}
	s.releases.Record(1, now)
	s.releases.RecordHold(held)
	return !s.waitingAt.IsZero() && now.Sub(s.waitingAt) <= reportReleasesFor
}

// ReleasedByPeer records that requests of another gateway released their slots.
func (t *Tracker) ReleasedByPeer(name string, n int, now time.Time) {
	t.service(name).releases.Record(n, now)
}

// PeerWaits records the waiting requests in a peer's message. It reports whether the first request
// has just begun to wait for a service, so that releases that were not reported should be.
func (t *Tracker) PeerWaits(peer string, heads map[string][]Head, now time.Time) (begun bool) {
	t.reportedAt = now
	t.SetPeer(peer, heads, now)
	for name := range heads {
		s := t.service(name)
		begun = begun || s.waitingAt.IsZero() || now.Sub(s.waitingAt) > reportReleasesFor
		s.waitingAt = now
	}
	return begun
}

// competesFor is how long after a service was last nearly full or a request waited for it its use is
// still counted: longer than a surge takes to pass and come back.
const competesFor = 5 * time.Second

// Competes reports whether callers compete for a service or recently did.
func (t *Tracker) Competes(name string, now time.Time) bool {
	s := t.services[name]
	return s != nil && (s.fullness.NearlyFull() || !s.waitingAt.IsZero() && now.Sub(s.waitingAt) <= competesFor)
}

// MeanHold returns the mean time that a request of this gateway held its slot.
func (t *Tracker) MeanHold(name string) time.Duration {
	if hold := t.service(name).releases.hold; hold > 0 {
		return hold
	}
	return initialHold
}

// Outlook returns what the start of a waiting request depends on.
func (t *Tracker) Outlook(e *Entry, now time.Time) Outlook {
	s := t.service(e.ticket.Service)
	position, _ := t.Position(e, now)
	return Outlook{Ticket: e.ticket, Position: position, Waiting: t.Waiting(e.ticket.Service, now), Late: t.LateBefore(e, now), Free: s.free, PerSecond: s.releases.PerSecond(now)}
}

// ReportAge returns the time since the last message of a peer, or -1 if there was none.
func (t *Tracker) ReportAge(now time.Time) time.Duration {
	if t.reportedAt.IsZero() {
		return -1
	}
	return now.Sub(t.reportedAt)
}
