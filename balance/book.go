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

// digestTTL is how long after its creation a digest remains valid. Several gateways
// forward digests, each twice a second through one gateway of either cell, so a lost
// digest is replaced.
const digestTTL = 2 * time.Second

// Digest is the load of the endpoints that another cell offers to other cells.
type Digest struct {
	CreatedAt time.Time
	Loads     map[string]Load // without the load of this gateway's own cell
}

// LoadTracker tracks load by endpoint. The prefill time of a prompt counts in full until Read
// is called: reducing it at the estimated rate would admit more prompts than busy
// engines can prefill. Book is not safe for concurrent use.
type LoadTracker struct {
	local   map[string]*localLoad
	peers   map[string]peerLoad
	digests map[string]Digest // by cell
	// changed holds the endpoints whose local load has changed since the last call of
	// Own.
	changed map[string]struct{}
}

// NewLoadTracker returns an empty book.
func NewLoadTracker() *LoadTracker {
	return &LoadTracker{local: make(map[string]*localLoad), peers: make(map[string]peerLoad), digests: make(map[string]Digest), changed: make(map[string]struct{})}
}

// Add adds the load of one request to an endpoint.
func (b *LoadTracker) Add(endpoint string, l Load) {
	a := b.local[endpoint]
	if a == nil {
		a = new(localLoad)
		b.local[endpoint] = a
	}
	b.changed[endpoint] = struct{}{}
	a.load = a.load.plus(l)
	a.requests++
	a.awaitingFirst++
}

// PrefillDone removes the prefill part of a load that was added, once the prompt has been
// prefilled.
func (b *LoadTracker) PrefillDone(endpoint string, l Load) {
	a := b.local[endpoint]
	if a == nil {
		return
	}
	b.changed[endpoint] = struct{}{}
	a.load = a.load.minus(l.prefillOnly())
	a.awaitingFirst--
	if a.awaitingFirst == 0 {
		a.load.PrefillMs = 0 // clear the rounding error
	}
}

// Remove removes the rest of a load that was added and for which Read was called.
func (b *LoadTracker) Remove(endpoint string, l Load) {
	a := b.local[endpoint]
	if a == nil {
		return
	}
	b.changed[endpoint] = struct{}{}
	a.load = a.load.minus(l).plus(l.prefillOnly())
	a.requests--
	if a.requests == 0 {
		delete(b.local, endpoint)
	}
}

// Local returns this gateway's full load by endpoint, for reporting to peers.
func (b *LoadTracker) Local() map[string]Load {
	clear(b.changed)
	out := make(map[string]Load, len(b.local))
	for id, a := range b.local {
		out[id] = a.load
	}
	return out
}

// LocalChanges returns this gateway's load at the endpoints where it has changed since the
// last call of Own. It is zero at endpoints without remaining load.
func (b *LoadTracker) LocalChanges() map[string]Load {
	out := make(map[string]Load, len(b.changed))
	for id := range b.changed {
		out[id] = b.localLoadAt(id)
	}
	return out
}

func (b *LoadTracker) localLoadAt(endpoint string) Load {
	if a := b.local[endpoint]; a != nil {
		return a.load
	}
	return Load{}
}

// SetPeerLoad records the full load of a peer in the given data centre.
func (b *LoadTracker) SetPeerLoad(name, dataCentre string, loads map[string]Load, now time.Time) {
	b.peers[name] = peerLoad{receivedAt: now, dataCentre: dataCentre, loads: loads}
}

// UpdatePeerLoad records a peer's load at the endpoints where it has changed. A lost
// update is corrected by the peer's next full report.
func (b *LoadTracker) UpdatePeerLoad(name, dataCentre string, loads map[string]Load, now time.Time) {
	p := b.peers[name]
	if p.loads == nil || now.Sub(p.receivedAt) > peerTTL {
		p.loads = make(map[string]Load, len(loads))
	}
	p.receivedAt, p.dataCentre = now, dataCentre
	maps.Copy(p.loads, loads)
	b.peers[name] = p
}

// LivePeers returns the number of peers that have reported within peerTTL.
func (b *LoadTracker) LivePeers(now time.Time) int {
	for name, p := range b.peers {
		if now.Sub(p.receivedAt) > peerTTL {
			delete(b.peers, name)
		}
	}
	return len(b.peers)
}

// Load returns the load of an endpoint: that of this gateway, of peers with a valid
// report, and of other cells according to their valid digests.
func (b *LoadTracker) Load(endpoint string, now time.Time) Load {
	sum := b.LoadExcluding(endpoint, nil, now)
	for _, d := range b.digests {
		if now.Sub(d.CreatedAt) <= digestTTL {
			sum = sum.plus(d.Loads[endpoint])
		}
	}
	return sum
}

// LoadExcluding returns the load that this gateway and its peers have at an endpoint,
// without peers in data centres for which excluded returns true. A nil excluded
// excludes none.
func (b *LoadTracker) LoadExcluding(endpoint string, excluded func(dataCentre string) bool, now time.Time) Load {
	sum := b.localLoadAt(endpoint)
	for _, p := range b.peers {
		if now.Sub(p.receivedAt) <= peerTTL && (excluded == nil || !excluded(p.dataCentre)) {
			sum = sum.plus(p.loads[endpoint])
		}
	}
	return sum
}

// StoreDigest stores the digest of another cell unless a newer one is stored.
func (b *LoadTracker) StoreDigest(cell string, d Digest) {
	if d.CreatedAt.After(b.digests[cell].CreatedAt) {
		b.digests[cell] = d
	}
}

// Digests returns the valid digests by cell.
func (b *LoadTracker) Digests(now time.Time) map[string]Digest {
	for cell, d := range b.digests {
		if now.Sub(d.CreatedAt) > digestTTL {
			delete(b.digests, cell)
		}
	}
	return b.digests
}
