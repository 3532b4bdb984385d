package relay

import (
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/endpointlist"
	"github.com/micarudder/micarudder/peers"
	"github.com/micarudder/micarudder/recipients"
)

// Calls to the store are charged individually, so not every gateway reads it. One gateway, chosen
// by its name among those that sent messages recently, reads the configuration and the endpoints,
// and another one stands by. The other gateways take both from their messages, in other cells
// through the representatives of the cells, each dated by the receiver's own clock. A gateway that
// receives nothing fresh enough reads the store itself, so that readers which hang or are cut off
// cost only additional calls.

const (
	// standbyAge is the age of the first reader's data at which the standby reads: one read was
	// missed, and the message about it.
	standbyAge = readInterval + readInterval/2
	// takeoverAge is the age at which all other gateways read: the standby missed a read, too.
	takeoverAge = 2*readInterval + readInterval/2
	// peerTimeout is how long a peer counts among the readers after its last message.
	peerTimeout = time.Second
	// remotePeerTimeout is how long a peer of another cell that sent a digest is sent this cell's
	// digests: four digests may be lost.
	remotePeerTimeout = 4 * broadcastsPerDigest * broadcastInterval

	pathEndpoints = "/peer/endpoints"
)

// storeReads holds what this gateway knows of its own and the other gateways' reads of the store.
type storeReads struct {
	applying     sync.Mutex // held while the newest list is applied
	mu           sync.Mutex
	withStore    map[string]heardPeer // peers that can reach the store
	withoutStore map[string]heardPeer // peers that cannot
	crossCell    map[string]time.Time // last digest of peers of other cells
	list         []catalog.Endpoint
	hash         uint64        // of list; 0 if there is none
	earlier      []earlierList // before list, the newest last
	listedAt     time.Time     // when the read of list was sent, or list was last confirmed; zero means long ago
	suspendedAt  time.Time     // when the host's latest suspension was noticed
	cancelReads  []func()      // cancel reads of the list that are in progress
	failedAt     time.Time     // when a read of the store last failed, see recordPeerStore
	queriedAt    time.Time     // when this gateway last queried the store
	// peersLostSince is since when peers that precede this one have been unable to reach the store;
	// zero if they can.
	peersLostSince time.Time
	storeLost      bool // whether the latest read failed, or has been unanswered for silentAfter
	fetching       bool // whether something is being fetched from a peer
	gateways       knownGateways
}

// heardPeer is a peer from which a message was received.
type heardPeer struct {
	at    time.Time // when the last one was
	local bool      // whether the peer is in the local cell
}

func newStoreReads() *storeReads {
	return &storeReads{withStore: make(map[string]heardPeer), withoutStore: make(map[string]heardPeer), crossCell: make(map[string]time.Time)}
}

// recentPeers returns the peers that sent a message recently.
func (s *storeReads) recentPeers(now time.Time) recipients.Recent {
	s.mu.Lock()
	defer s.mu.Unlock()
	recent := recipients.Recent{All: make(map[string]bool), WithStore: make(map[string]bool), CrossCell: make(map[string]bool)}
	for name, peer := range s.withStore {
		if now.Sub(peer.at) <= peerTimeout {
			recent.All[name], recent.WithStore[name] = true, true
		}
	}
	for name, peer := range s.withoutStore {
		if now.Sub(peer.at) <= peerTimeout {
			recent.All[name] = true
		}
	}
	for name, receivedAt := range s.crossCell {
		if now.Sub(receivedAt) > remotePeerTimeout {
			delete(s.crossCell, name)
			continue
		}
		recent.CrossCell[name] = true
	}
	return recent
}

// recipients returns the recipients of this gateway's messages.
func (g *Gateway) recipients(now time.Time) recipients.Recipients {
	return recipients.New(g.config.Name, g.config.DataCentre, g.state.Cells(), g.deps.Mesh.Members(now), g.storeReads.recentPeers(now))
}

// readTimes are the ages of data at which gateways read it from the store although another one should.
type readTimes struct {
	standby  time.Duration // the second reader
	takeover time.Duration // all others
}

const (
	// takeoverInterval is how much later each further group of storeReaders gateways of a cell reads when
	// the data of the cell is too old: enough for a read and for telling the others.
	takeoverInterval = 200 * time.Millisecond
	// maxTakeoverDelay bounds that delay, since keys need a proof that is not much older than takeoverAge.
	maxTakeoverDelay = 4 * takeoverInterval
)

// takeoverDelay returns how much later than takeover a gateway reads that this many gateways of its cell
// precede, so that the cell does not read all at once what the first of them tell it.
func takeoverDelay(preceding int) time.Duration {
	return min(maxTakeoverDelay, time.Duration(preceding/recipients.StoreReaders)*takeoverInterval)
}

// frequentReadTimes are those of the configuration and the endpoints.
var frequentReadTimes = readTimes{standbyAge, takeoverAge}

// shouldRead reports whether this gateway reads the store again, given the age of its newest read.
// Of the gateways that reach the store the first always reads, the next stands by, and the others
// read when both must have failed. What comes from another cell may be as old as that in normal
// operation, so the first two gateways of each cell read before the others of the cell do. If other
// gateways cannot reach the store either, this one leaves it to them for a while.
func (s *storeReads) shouldRead(self string, age time.Duration, times readTimes, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	reaching, localReaching := countPreceding(self, s.withStore, now)
	notReaching, _ := countPreceding(self, s.withoutStore, now)
	if notReaching == 0 {
		s.peersLostSince = time.Time{}
	} else if s.peersLostSince.IsZero() {
		s.peersLostSince = now
	}
	switch {
	case s.storeLost && notReaching < recipients.StoreReaders:
		return true
	case !s.storeLost && reaching == 0:
		return true
	case !s.storeLost && reaching < recipients.StoreReaders && age > times.standby:
		return true
	case !s.storeLost && localReaching == 0 && age > times.standby:
		return true
	case !s.storeLost && localReaching < recipients.StoreReaders && age > (times.standby+times.takeover)/2:
		return true
	case age <= times.takeover+takeoverDelay(localReaching):
		return false
	case notReaching > 0:
		return now.Sub(s.peersLostSince) > readDeferral && now.Sub(s.queriedAt) > readDeferral
	default:
		return true
	}
}

// countPreceding returns how many of the peers that sent a message recently precede a gateway, in all
// and in the local cell; it drops the others.
func countPreceding(self string, peers map[string]heardPeer, now time.Time) (all, local int) {
	for name, peer := range peers {
		if now.Sub(peer.at) > peerTimeout {
			delete(peers, name)
			continue
		}
		if !recipients.Precedes(name, self) {
			continue
		}
		all++
		if peer.local {
			local++
		}
	}
	return all, local
}

// rank orders endpoints independently of their names.
func rank(name string) uint64 { return xxhash.Sum64String(name) }

// recordQuery records that this gateway queries the store.
func (s *storeReads) recordQuery(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queriedAt = now
}

// recordRead records the result of a read of the store. While others have read the list, only this gateway is turned
// away, and no entry expires with the store.
func (s *storeReads) recordRead(err error, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeLost = err != nil
	if err != nil && !errors.Is(err, ErrStoreBackoff) && now.Sub(s.listedAt) > standbyAge {
		s.failedAt = now
	}
}

// recordList records a list that this gateway or a peer has read from the store, by a read sent at
// that time. A list that arrives after one of a later read is ignored.
func (s *storeReads) recordList(list []catalog.Endpoint, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sent.Before(s.listedAt) {
		return
	}
	hash := endpointlist.Hash(list)
	if s.hash != 0 && s.hash != hash {
		s.earlier = append(s.earlier, earlierList{s.hash, s.list})
		s.earlier = s.earlier[max(0, len(s.earlier)-listHistory):]
	}
	s.list, s.hash = list, hash
	s.setListedAt(sent)
	for _, cancel := range s.cancelReads {
		cancel()
	}
	s.cancelReads = nil
}

// cancelAtList calls cancel when a list is recorded.
func (s *storeReads) cancelAtList(cancel func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelReads = append(s.cancelReads, cancel)
}

// fillReads adds to a message what this gateway has read.
func (g *Gateway) fillReads(msg *peers.Message, now time.Time) {
	age := g.state.ConfigurationAge(now)
	msg.Version, msg.ProofAgeMs = g.state.Version(), peers.AgeMs(age)
	if age < 0 || age > time.Hour {
		msg.ProofAgeMs = -1
	}
	if age, ok := g.state.UnprovenReadAge(now); ok {
		msg.UnprovenAgeMs = 1 + peers.AgeMs(age)
	}
	msg.Evacuations = g.state.AnnouncedEvacuations()
	s := g.storeReads
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fillGateways(msg, now)
	if s.hash != 0 && !s.listedAt.IsZero() {
		msg.Endpoints, msg.EndpointsAgeMs = s.hash, peers.AgeMs(now.Sub(s.listedAt))
	}
}

// storeUnreachable reports whether this gateway's latest read of the store failed.
func (s *storeReads) storeUnreachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeLost
}

// applyEndpoints applies the newest list. Only one call at a time does, so that the newest is applied
// last.
func (g *Gateway) applyEndpoints() {
	s := g.storeReads
	s.applying.Lock()
	defer s.applying.Unlock()
	s.mu.Lock()
	list, sent, failed := s.list, s.listedAt, s.failedAt
	s.mu.Unlock()
	for _, c := range g.state.ApplyList(list, sent, time.Now(), failed) {
		g.handleEndpointChange(c)
	}
	g.applyCold(list, sent)
}

// invalidateList makes the newest list count as very old, since the host was suspended.
func (s *storeReads) invalidateList(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listedAt, s.suspendedAt = time.Time{}, now
}

// setListedAt records when the read of the newest list was sent. The age of a read from before the
// host's latest suspension is unknown, since the clock does not count the suspension. The caller
// holds the lock.
func (s *storeReads) setListedAt(sent time.Time) {
	s.listedAt = sent
	if sent.Before(s.suspendedAt) {
		s.listedAt = time.Time{}
	}
}

// endpointsAge returns the age of the newest list.
func (s *storeReads) endpointsAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hash == 0 || s.listedAt.IsZero() {
		return noDataAge
	}
	return now.Sub(s.listedAt)
}
