package relay

import (
	"cmp"
	"context"
	"encoding/binary"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/peers"
)

// The store is priced by the call, so not every gateway reads it. One gateway, chosen by
// its name among those heard lately, reads configuration and endpoints, and another stands
// by; the others take both from their words, in other cells over those that speak there,
// each dated by the receiver's own clock. Whoever gets nothing young enough reads the
// store itself, so that readers that freeze or are cut off cost calls only.

const (
	// readers is how many gateways see to it that the store is read: one reads, and one
	// stands by in case that it dies.
	readers = 2
	// standBy is the age of what the first reader tells at which the second reads: one
	// read was missed, and the word about it.
	standBy = readEvery + readEvery/2
	// takeOver is the same for all others: the standby missed one, too.
	takeOver = 2*readEvery + readEvery/2
	// hearFor is how long a peer that was heard counts among those that read.
	hearFor = time.Second
	// acrossFor is how long a peer of another cell that told a digest is told ours:
	// four digests may be lost.
	acrossFor = 4 * digestEvery * tellEvery

	pathEndpoints = "/peer/endpoints"
)

// endpointList is a list as it was read from the store. That a peer could not
// read the store is not told: it says nothing of the store itself.
type endpointList struct {
	Endpoints []catalog.Endpoint
}

// sharing is what this gateway knows of the other gateways' reads.
type sharing struct {
	mu      sync.Mutex
	heard   map[string]time.Time // peers that can reach the store
	cut     map[string]time.Time // peers that cannot
	across  map[string]time.Time // peers of other cells that tell digests
	list    endpointList
	hash    uint64    // of list; 0: none
	listed  time.Time // when the read of list was sent, or proved still right; zero: long ago
	since   time.Time // when the host's newest suspension was noticed
	reading []func()  // end own reads of the list that are under way
	failed  time.Time // when an own read failed last
	asked   time.Time // when this gateway asked the store last
	// lostSince is since when peers before this one do not reach the store; zero: they
	// do.
	lostSince time.Time
	noStore   bool // whether the newest read failed, or has had no answer for long
	taking    bool // whether something is being taken from a peer
}

func newSharing() *sharing {
	return &sharing{heard: make(map[string]time.Time), cut: make(map[string]time.Time), across: make(map[string]time.Time)}
}

// peers returns who was heard lately.
func (s *sharing) peers(now time.Time) heardPeers {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := heardPeers{lately: make(map[string]bool), withStore: make(map[string]bool), across: make(map[string]bool)}
	for name, at := range s.heard {
		if now.Sub(at) <= hearFor {
			h.lately[name], h.withStore[name] = true, true
		}
	}
	for name, at := range s.cut {
		if now.Sub(at) <= hearFor {
			h.lately[name] = true
		}
	}
	for name, at := range s.across {
		if now.Sub(at) > acrossFor {
			delete(s.across, name)
			continue
		}
		h.across[name] = true
	}
	return h
}

// audience returns whom this gateway tells what.
func (g *Gateway) audience(now time.Time) audience {
	return newAudience(g.config.Name, g.config.DataCentre, g.state.Cells(), g.deps.Mesh.Members(now), g.sharing.peers(now))
}

// reads reports whether this gateway reads the store again whose newest read is so old.
// Of those that reach it the first does in any case, the next stands by, and the others
// read when both must have failed. A store that others do not reach either is left to them
// for a while: 103 gateways made 560 calls in the 7 s for which it was away.
func (s *sharing) reads(self string, age time.Duration, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := countBefore(self, s.heard, now)
	asking := countBefore(self, s.cut, now)
	if asking == 0 {
		s.lostSince = time.Time{}
	} else if s.lostSince.IsZero() {
		s.lostSince = now
	}
	switch {
	case s.noStore && asking < readers:
		return true
	case !s.noStore && before == 0:
		return true
	case !s.noStore && before < readers && age > standBy:
		return true
	case age <= takeOver:
		return false
	case asking > 0:
		return now.Sub(s.lostSince) > readCut && now.Sub(s.asked) > readCut
	default:
		return true
	}
}

// countBefore returns how many of the peers that were heard lately precede a gateway; it
// forgets the others.
func countBefore(self string, peers map[string]time.Time, now time.Time) int {
	before := 0
	for name, at := range peers {
		if now.Sub(at) > hearFor {
			delete(peers, name)
			continue
		}
		if precedes(name, self) {
			before++
		}
	}
	return before
}

// rank orders gateways in a way that does not follow their names, so that the
// readers stand in different data centres.
func rank(name string) uint64 { return xxhash.Sum64String(name) }

// asks notes that this gateway asks the store.
func (s *sharing) asks(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked = now
}

// note takes in how a read of the store went.
func (s *sharing) note(err error, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noStore = err != nil
	if err != nil {
		s.failed = now
	}
}

// read takes in a list that was read from the store, by a read sent at that
// time, or that a peer has read.
func (s *sharing) read(list []catalog.Endpoint, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.Endpoints, s.hash = list, hashEndpoints(list)
	s.date(sent)
	for _, stop := range s.reading {
		stop()
	}
	s.reading = nil
}

// stopAtList calls stop when a list is taken in.
func (s *sharing) stopAtList(stop func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reading = append(s.reading, stop)
}

// hashEndpoints identifies a list by what decides about its endpoints.
func hashEndpoints(list []catalog.Endpoint) uint64 {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b catalog.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	h := xxhash.New()
	for _, e := range sorted {
		state := "|ready|"
		if e.Draining {
			state = "|draining|"
		}
		_, _ = h.WriteString(e.ID + "|" + e.Service + "|" + e.Address + state)
		_ = binary.Write(h, binary.BigEndian, [2]int64{int64(e.Slots), e.Born}) // a hash takes all that it is given
	}
	return max(1, h.Sum64())
}

// fill adds to a word what this gateway has read.
func (g *Gateway) fill(w *peers.Word, now time.Time) {
	age, _ := g.state.ProofAge(now)
	w.Version, w.ProofAgeMs = g.state.Version(), age.Milliseconds()
	if age < 0 || age > time.Hour {
		w.ProofAgeMs = -1
	}
	s := g.sharing
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hash != 0 && !s.listed.IsZero() {
		w.Endpoints, w.EndpointsAgeMs = s.hash, now.Sub(s.listed).Milliseconds()
	}
}

// heardStore takes in whether a peer reaches the store. That a peer fails as well
// counts like an own failed read, which keeps endpoints that lapsed meanwhile, unless
// others reach it: a gateway that takes lists from these may not have read for long.
// The caller holds the lock.
func (s *sharing) heardStore(w peers.Word, now time.Time) {
	delete(s.heard, w.From)
	delete(s.cut, w.From)
	if len(w.Digests) > 0 {
		s.across[w.From] = now
	}
	switch {
	case w.Leaving:
	case w.NoStore:
		s.cut[w.From] = now
		if s.noStore && !s.othersRead(now) {
			s.failed = now
		}
	default:
		s.heard[w.From] = now
	}
}

// othersRead reports whether a peer was heard lately that reaches the store. The
// caller holds the lock.
func (s *sharing) othersRead(now time.Time) bool {
	for _, at := range s.heard {
		if now.Sub(at) <= hearFor {
			return true
		}
	}
	return false
}

// proved takes in a proof of others, which a read brought that was sent at that time: a
// store that this gateway did not reach long before is thought to be back.
func (s *sharing) proved(sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.noStore && sent.Sub(s.failed) > readCut {
		s.noStore = false
	}
}

// storeLost reports whether the newest own read of the store failed.
func (s *sharing) storeLost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.noStore
}

// heardWord takes in what a peer says of its reads.
func (g *Gateway) heardWord(w peers.Word, from netip.AddrPort) {
	now := time.Now()
	s := g.sharing
	s.mu.Lock()
	s.heardStore(w, now)
	s.mu.Unlock()
	said, ok := g.deps.Mesh.SaidAfter(w)
	if !ok {
		return
	}
	if !g.suspension.after(said) {
		return // it answers what was said before the host was suspended
	}
	g.sawEra(w.StoreEra, w.From)
	g.picker.digests(w, said)
	g.heardProof(w, said, from)
	g.heardEndpoints(w, said, from)
}

// heardProof takes in the proof in a word that was said after that time.
func (g *Gateway) heardProof(w peers.Word, said time.Time, from netip.AddrPort) {
	if w.ProofAgeMs < 0 {
		return
	}
	if w.Version > g.state.Version() {
		g.take(func() { g.askPeerLogged(from) })
		return
	}
	sent := said.Add(-time.Duration(w.ProofAgeMs) * time.Millisecond)
	if !g.state.Prove(w.Version, sent) {
		return
	}
	g.sharing.proved(sent)
	if g.fromAfar(w) {
		g.tellNews() // the own cell hears of it from this gateway
	}
}

// fromAfar reports whether a word came from another cell.
func (g *Gateway) fromAfar(w peers.Word) bool {
	cells := g.state.Cells()
	return w.DataCentre != "" && cells.Of(w.DataCentre) != cells.Of(g.config.DataCentre)
}

// heardEndpoints takes in which list of endpoints the sender of a word has.
func (g *Gateway) heardEndpoints(w peers.Word, said time.Time, from netip.AddrPort) {
	if w.Endpoints == 0 {
		return
	}
	sent := said.Add(-time.Duration(w.EndpointsAgeMs) * time.Millisecond)
	s := g.sharing
	s.mu.Lock()
	newer := sent.After(s.listed)
	same := s.hash == w.Endpoints
	if newer && same {
		s.date(sent)
	}
	s.mu.Unlock()
	if !newer {
		return
	}
	if !same {
		g.take(func() { g.takeEndpointsLogged(from, sent) })
		return
	}
	g.applyEndpoints()
}

// take runs one thing at a time that asks a peer.
func (g *Gateway) take(ask func()) {
	s := g.sharing
	s.mu.Lock()
	busy := s.taking
	s.taking = true
	s.mu.Unlock()
	if busy {
		return
	}
	go func() {
		ask()
		s.mu.Lock()
		s.taking = false
		s.mu.Unlock()
	}()
}

// takeEndpoints reads a peer's list. The peer may have read the store again
// since; then the list is younger than sent says.
func (g *Gateway) takeEndpoints(from netip.AddrPort, sent time.Time) error {
	ctx, cancel := context.WithTimeout(g.ctx, 2*peerTime)
	defer cancel()
	var list endpointList
	if err := g.peers.get(ctx, g.peerURL(from, pathEndpoints), &list); err != nil {
		return err
	}
	g.sharing.read(list.Endpoints, sent)
	g.applyEndpoints()
	return nil
}

// takeEndpointsLogged is takeEndpoints for callers that go on with what they have.
func (g *Gateway) takeEndpointsLogged(from netip.AddrPort, sent time.Time) {
	if err := g.takeEndpoints(from, sent); err != nil {
		g.deps.Log.Logger().Warn("A peer's list of endpoints could not be read.", "peer", from, "err", err)
	}
}

// applyEndpoints decides about endpoints from the newest list.
func (g *Gateway) applyEndpoints() {
	s := g.sharing
	s.mu.Lock()
	list, sent, failed := s.list.Endpoints, s.listed, s.failed
	s.mu.Unlock()
	for _, c := range g.state.Listed(list, sent, time.Now(), failed) {
		g.memberChanged(c)
	}
}

// outdate makes the newest list count as very old, since the host was suspended.
func (s *sharing) outdate(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed, s.since = time.Time{}, now
}

// date notes when the read of the newest list was sent. One from before the host's newest
// suspension is as old as that, which this clock does not tell. The caller holds the lock.
func (s *sharing) date(sent time.Time) {
	s.listed = sent
	if sent.Before(s.since) {
		s.listed = time.Time{}
	}
}

// endpointsAge returns how old the newest list is.
func (s *sharing) endpointsAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hash == 0 || s.listed.IsZero() {
		return 1<<63 - 1
	}
	return now.Sub(s.listed)
}

// serveEndpoints answers a peer that asks for the list.
func (g *Gateway) serveEndpoints(w http.ResponseWriter, _ *http.Request) {
	s := g.sharing
	s.mu.Lock()
	list, hash := s.list, s.hash
	s.mu.Unlock()
	if hash == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	g.answerDocument(w, &g.endpointsDocument, hash, list)
}
