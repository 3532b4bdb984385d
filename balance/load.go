package balance

import (
	"maps"
	"time"
)

// Load is the load of one endpoint. Messages between gateways encode its fields by
// position, so new fields are appended.
type Load struct {
	PrefillMs    float64 // estimated time to prefill the pending prompts
	Short        int     // requests with short prompts
	Long         int     // requests with long prompts
	MemoryTokens int     // context memory that the requests need
	// Parts is the number of parts of long prompts that are still being prefilled.
	// Engines prefill the newest part first, so a second part delays the first.
	Parts int
	// AwaitingFirstEvent is the number of short requests that wait for their first event.
	AwaitingFirstEvent int
	// GapTolerant is the number of requests in Long whose route allows the longest gaps
	// between events of the service.
	GapTolerant int
}

// plus returns the sum of both loads.
func (l Load) plus(o Load) Load {
	return Load{
		PrefillMs: l.PrefillMs + o.PrefillMs, Short: l.Short + o.Short, Long: l.Long + o.Long,
		MemoryTokens: l.MemoryTokens + o.MemoryTokens, Parts: l.Parts + o.Parts,
		AwaitingFirstEvent: l.AwaitingFirstEvent + o.AwaitingFirstEvent, GapTolerant: l.GapTolerant + o.GapTolerant,
	}
}

// minus returns l less o.
func (l Load) minus(o Load) Load {
	return Load{
		PrefillMs: l.PrefillMs - o.PrefillMs, Short: l.Short - o.Short, Long: l.Long - o.Long,
		MemoryTokens: l.MemoryTokens - o.MemoryTokens, Parts: l.Parts - o.Parts,
		AwaitingFirstEvent: l.AwaitingFirstEvent - o.AwaitingFirstEvent, GapTolerant: l.GapTolerant - o.GapTolerant,
	}
}

// prefillOnly returns the part of the load that ends with the first event.
func (l Load) prefillOnly() Load {
	return Load{PrefillMs: l.PrefillMs, Parts: l.Parts, AwaitingFirstEvent: l.AwaitingFirstEvent}
}

// peerTTL is how long the load reported by a peer remains valid. A live peer reports
// several times a second.
const peerTTL = 1500 * time.Millisecond

// localLoad is this gateway's load at one endpoint.
type localLoad struct {
	load          Load
	requests      int // included in load
	awaitingFirst int // requests still waiting for their first event
}

type peerLoad struct {
	receivedAt time.Time
	dataCentre string
	loads      map[string]Load
}

// loadSum is the load that the peers of one data centre have at one endpoint.
type loadSum struct {
	load  Load
	peers int // that have load there
}

// digestTTL is how long after its creation a digest remains valid. Several gateways
// forward digests, each twice a second through one gateway of either cell, so a lost
// digest is replaced.
const digestTTL = 2 * time.Second

// Digest is the load of the endpoints that another cell offers to other cells.
type Digest struct {
	CreatedAt time.Time
	Loads     map[string]Load // without the load of this gateway's cell
}

// LoadTracker tracks load by endpoint. The prefill time of a prompt counts in full
// until PrefillDone is called: reducing it at the estimated rate would admit more
// prompts than busy engines can prefill. LoadTracker is not safe for concurrent use.
type LoadTracker struct {
	local map[string]*localLoad
	peers map[string]peerLoad
	// sums adds up the loads of peers, by data centre and endpoint, so that a choice among many
	// endpoints does not look through all peers for each.
	sums map[string]map[string]*loadSum
	// nextExpiry is a time before which no peer's report expires.
	nextExpiry time.Time
	digests    map[string]Digest // by cell
	// changed holds the endpoints whose local load has changed since the last call of
	// Local.
	changed map[string]struct{}
}

// NewLoadTracker returns an empty tracker.
func NewLoadTracker() *LoadTracker {
	return &LoadTracker{
		local: make(map[string]*localLoad), peers: make(map[string]peerLoad), sums: make(map[string]map[string]*loadSum),
		digests: make(map[string]Digest), changed: make(map[string]struct{}),
	}
}

// Add adds the load of one request to an endpoint.
func (t *LoadTracker) Add(endpoint string, l Load) {
	local := t.local[endpoint]
	if local == nil {
		local = new(localLoad)
		t.local[endpoint] = local
	}
	t.changed[endpoint] = struct{}{}
	local.load = local.load.plus(l)
	local.requests++
	local.awaitingFirst++
}

// PrefillDone removes the prefill part of a load that was added, once the prompt has been
// prefilled.
func (t *LoadTracker) PrefillDone(endpoint string, l Load) {
	local := t.local[endpoint]
	if local == nil {
		return
	}
	t.changed[endpoint] = struct{}{}
	local.load = local.load.minus(l.prefillOnly())
	local.awaitingFirst--
	if local.awaitingFirst == 0 {
		local.load.PrefillMs = 0 // clear the rounding error
	}
}

// Remove removes the rest of a load that was added and for which PrefillDone was called.
func (t *LoadTracker) Remove(endpoint string, l Load) {
	local := t.local[endpoint]
	if local == nil {
		return
	}
	t.changed[endpoint] = struct{}{}
	local.load = local.load.minus(l).plus(l.prefillOnly())
	local.requests--
	if local.requests == 0 {
		delete(t.local, endpoint)
	}
}

// Local returns this gateway's full load by endpoint, for reporting to peers.
func (t *LoadTracker) Local() map[string]Load {
	clear(t.changed)
	out := make(map[string]Load, len(t.local))
	for id, local := range t.local {
		out[id] = local.load
	}
	return out
}

// LocalChanges returns this gateway's load at the endpoints where it has changed since
// the last call of Local. It is zero at endpoints without remaining load.
func (t *LoadTracker) LocalChanges() map[string]Load {
	out := make(map[string]Load, len(t.changed))
	for id := range t.changed {
		out[id] = t.localLoadAt(id)
	}
	return out
}

func (t *LoadTracker) localLoadAt(endpoint string) Load {
	if local := t.local[endpoint]; local != nil {
		return local.load
	}
	return Load{}
}

// SetPeerLoad records the full load of a peer in the given data centre.
func (t *LoadTracker) SetPeerLoad(name, dataCentre string, loads map[string]Load, now time.Time) {
	t.removePeer(name)
	for id, l := range loads {
		t.addToSum(dataCentre, id, l)
	}
	t.storePeer(name, peerLoad{receivedAt: now, dataCentre: dataCentre, loads: loads})
}

// UpdatePeerLoad records a peer's load at the endpoints where it has changed. A lost
// update is corrected by the peer's next full report.
func (t *LoadTracker) UpdatePeerLoad(name, dataCentre string, loads map[string]Load, now time.Time) {
	p, ok := t.peers[name]
	if !ok || now.Sub(p.receivedAt) > peerTTL || p.dataCentre != dataCentre || p.loads == nil {
		t.SetPeerLoad(name, dataCentre, maps.Clone(loads), now)
		return
	}
	for id, l := range loads {
		if old, ok := p.loads[id]; ok {
			t.subtractFromSum(dataCentre, id, old)
		}
		t.addToSum(dataCentre, id, l)
		p.loads[id] = l
	}
	p.receivedAt = now
	t.storePeer(name, p)
}

func (t *LoadTracker) storePeer(name string, p peerLoad) {
	t.peers[name] = p
	if expiry := p.receivedAt.Add(peerTTL); t.nextExpiry.IsZero() || expiry.Before(t.nextExpiry) {
		t.nextExpiry = expiry
	}
}

// EachDecrease calls f for each endpoint where a peer has fewer requests according to a new report
// than it had before. It must be called before the report is recorded.
func (t *LoadTracker) EachDecrease(name string, loads map[string]Load, partial bool, f func(endpoint string, requests int)) {
	for id, old := range t.peers[name].loads {
		l, ok := loads[id]
		if !ok && partial {
			continue
		}
		if n := old.Short + old.Long - l.Short - l.Long; n > 0 {
			f(id, n)
		}
	}
}

// HasChanges reports whether this gateway's load has changed since the last call of Local.
func (t *LoadTracker) HasChanges() bool { return len(t.changed) > 0 }

// removePeer drops the report of a peer, if there is one.
func (t *LoadTracker) removePeer(name string) {
	p := t.peers[name]
	for id, l := range p.loads {
		t.subtractFromSum(p.dataCentre, id, l)
	}
	delete(t.peers, name)
}

func (t *LoadTracker) addToSum(dataCentre, endpoint string, l Load) {
	sums := t.sums[dataCentre]
	if sums == nil {
		sums = make(map[string]*loadSum)
		t.sums[dataCentre] = sums
	}
	sum := sums[endpoint]
	if sum == nil {
		sum = new(loadSum)
		sums[endpoint] = sum
	}
	sum.load = sum.load.plus(l)
	sum.peers++
}

func (t *LoadTracker) subtractFromSum(dataCentre, endpoint string, l Load) {
	sums := t.sums[dataCentre]
	sum := sums[endpoint]
	sum.load = sum.load.minus(l)
	sum.peers--
	if sum.peers == 0 { // this also clears the rounding error
		delete(sums, endpoint)
	}
	if len(sums) == 0 {
		delete(t.sums, dataCentre)
	}
}

// expirePeers drops the reports that are older than peerTTL.
func (t *LoadTracker) expirePeers(now time.Time) {
	if t.nextExpiry.IsZero() || !now.After(t.nextExpiry) {
		return
	}
	t.nextExpiry = time.Time{}
	for name, p := range t.peers {
		if now.Sub(p.receivedAt) > peerTTL {
			t.removePeer(name)
			continue
		}
		t.storePeer(name, p)
	}
}

// LivePeers returns the number of peers that have reported within peerTTL.
func (t *LoadTracker) LivePeers(now time.Time) int {
	t.expirePeers(now)
	return len(t.peers)
}

// Load returns the load of an endpoint: that of this gateway, of peers with a valid
// report, and of other cells according to their valid digests.
func (t *LoadTracker) Load(endpoint string, now time.Time) Load {
	sum := t.LoadExcluding(endpoint, nil, now)
	for _, d := range t.digests {
		if now.Sub(d.CreatedAt) <= digestTTL {
			sum = sum.plus(d.Loads[endpoint])
		}
	}
	return sum
}

// LoadExcluding returns the load that this gateway and its peers have at an endpoint,
// without peers in data centres for which excluded returns true. A nil excluded
// excludes none.
func (t *LoadTracker) LoadExcluding(endpoint string, excluded func(dataCentre string) bool, now time.Time) Load {
	t.expirePeers(now)
	sum := t.localLoadAt(endpoint)
	for dataCentre, sums := range t.sums {
		if excluded != nil && excluded(dataCentre) {
			continue
		}
		if peers := sums[endpoint]; peers != nil {
			sum = sum.plus(peers.load)
		}
	}
	return sum
}

// StoreDigest stores the digest of another cell unless a newer one is stored.
func (t *LoadTracker) StoreDigest(cell string, d Digest) {
	if d.CreatedAt.After(t.digests[cell].CreatedAt) {
		t.digests[cell] = d
	}
}

// Digests returns the valid digests by cell.
func (t *LoadTracker) Digests(now time.Time) map[string]Digest {
	for cell, d := range t.digests {
		if now.Sub(d.CreatedAt) > digestTTL {
			delete(t.digests, cell)
		}
	}
	return t.digests
}
