package balance

import (
	"maps"
	"time"
)

// Load is what is under way at one endpoint. Words carry its fields in this
// order, so new ones come last.
type Load struct {
	ReadMs float64 // time of prompts that are still to be read
	Short  int     // requests with short prompts
	Long   int     // requests with long prompts
	Tokens int     // memory that the requests need
	// Parts counts the parts of long prompts that are still read here. An
	// engine reads the newest part first, so a second one holds up the first.
	Parts int
	// Unread counts the short requests whose first event has not come.
	Unread int
	// Patient counts those of Long whose route allows the longest pauses of the
	// service.
	Patient int
}

// plus returns the sum of both loads.
func (l Load) plus(o Load) Load {
	return Load{
		ReadMs: l.ReadMs + o.ReadMs, Short: l.Short + o.Short, Long: l.Long + o.Long,
		Tokens: l.Tokens + o.Tokens, Parts: l.Parts + o.Parts,
		Unread: l.Unread + o.Unread, Patient: l.Patient + o.Patient,
	}
}

// minus returns l without o.
func (l Load) minus(o Load) Load {
	return Load{
		ReadMs: l.ReadMs - o.ReadMs, Short: l.Short - o.Short, Long: l.Long - o.Long,
		Tokens: l.Tokens - o.Tokens, Parts: l.Parts - o.Parts,
		Unread: l.Unread - o.Unread, Patient: l.Patient - o.Patient,
	}
}

// reading returns the part of the load that is over with the first event.
func (l Load) reading() Load {
	return Load{ReadMs: l.ReadMs, Parts: l.Parts, Unread: l.Unread}
}

// peerLife is how long a peer's last word counts. A live peer speaks several
// times a second.
const peerLife = 1500 * time.Millisecond

// account is this gateway's load at one endpoint.
type account struct {
	load     Load
	requests int // whose load is counted here
	unread   int // those of them whose first event has not come
}

type peer struct {
	at         time.Time
	dataCentre string
	loads      map[string]Load
}

// digestLife is how long a digest counts after it was made. The gateways that pass
// digests on do so twice a second, each over one gateway of either cell; one that is lost
// is made good.
const digestLife = 2 * time.Second

// Digest is the load in another cell: that of the endpoints which it offers to
// others.
type Digest struct {
	Made  time.Time
	Loads map[string]Load // without what this gateway's own cell has there
}

// Book keeps the load by endpoint. A prompt's reading counts whole until its
// first event: counting it down by the model's time lets more prompts in than
// engines read while they are busy. Book is not safe for concurrent use.
type Book struct {
	own     map[string]*account
	peers   map[string]peer
	digests map[string]Digest // by cell
	// changed holds the endpoints whose own load changed since Own was called.
	changed map[string]struct{}
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{own: make(map[string]*account), peers: make(map[string]peer), digests: make(map[string]Digest), changed: make(map[string]struct{})}
}

// Add counts load that an endpoint is given for one request.
func (b *Book) Add(endpoint string, l Load) {
	a := b.own[endpoint]
	if a == nil {
		a = new(account)
		b.own[endpoint] = a
	}
	b.changed[endpoint] = struct{}{}
	a.load = a.load.plus(l)
	a.requests++
	a.unread++
}

// Read notes that the prompt of a load that was added has been read.
func (b *Book) Read(endpoint string, l Load) {
	a := b.own[endpoint]
	if a == nil {
		return
	}
	b.changed[endpoint] = struct{}{}
	a.load = a.load.minus(l.reading())
	a.unread--
	if a.unread == 0 {
		a.load.ReadMs = 0 // what rounding has left
	}
}

// Remove takes a load off that was added, and read.
func (b *Book) Remove(endpoint string, l Load) {
	a := b.own[endpoint]
	if a == nil {
		return
	}
	b.changed[endpoint] = struct{}{}
	a.load = a.load.minus(l).plus(l.reading())
	a.requests--
	if a.requests == 0 {
		delete(b.own, endpoint)
	}
}

// Own returns this gateway's whole load, to be told to its peers.
func (b *Book) Own() map[string]Load {
	clear(b.changed)
	out := make(map[string]Load, len(b.own))
	for id, a := range b.own {
		out[id] = a.load
	}
	return out
}

// Changed returns this gateway's load at the endpoints where it changed since Own
// was called; it is the zero Load where nothing is left.
func (b *Book) Changed() map[string]Load {
	out := make(map[string]Load, len(b.changed))
	for id := range b.changed {
		out[id] = b.ownAt(id)
	}
	return out
}

func (b *Book) ownAt(endpoint string) Load {
	if a := b.own[endpoint]; a != nil {
		return a.load
	}
	return Load{}
}

// Peer takes in the whole load of a peer in that data centre.
func (b *Book) Peer(name, dataCentre string, loads map[string]Load, now time.Time) {
	b.peers[name] = peer{at: now, dataCentre: dataCentre, loads: loads}
}

// PeerChanged takes in a peer's load at some endpoints. A word that was lost is
// made good by the next whole one.
func (b *Book) PeerChanged(name, dataCentre string, loads map[string]Load, now time.Time) {
	p := b.peers[name]
	if p.loads == nil || now.Sub(p.at) > peerLife {
		p.loads = make(map[string]Load, len(loads))
	}
	p.at, p.dataCentre = now, dataCentre
	maps.Copy(p.loads, loads)
	b.peers[name] = p
}

// Peers returns how many peers were heard lately.
func (b *Book) Peers(now time.Time) int {
	for name, p := range b.peers {
		if now.Sub(p.at) > peerLife {
			delete(b.peers, name)
		}
	}
	return len(b.peers)
}

// Load returns what the gateways that this one hears have at an endpoint, and what the
// newest digest of its cell tells of the others.
func (b *Book) Load(endpoint string, now time.Time) Load {
	sum := b.LoadWithout(endpoint, nil, now)
	for _, d := range b.digests {
		if now.Sub(d.Made) <= digestLife {
			sum = sum.plus(d.Loads[endpoint])
		}
	}
	return sum
}

// LoadWithout returns what this gateway and its peers have at an endpoint, without
// peers in data centres that are left out; nil: none is.
func (b *Book) LoadWithout(endpoint string, leftOut func(dataCentre string) bool, now time.Time) Load {
	sum := b.ownAt(endpoint)
	for _, p := range b.peers {
		if now.Sub(p.at) <= peerLife && (leftOut == nil || !leftOut(p.dataCentre)) {
			sum = sum.plus(p.loads[endpoint])
		}
	}
	return sum
}

// TakeDigest takes in the digest of another cell unless a younger one is known.
func (b *Book) TakeDigest(cell string, d Digest) {
	if d.Made.After(b.digests[cell].Made) {
		b.digests[cell] = d
	}
}

// Digests returns the digests that count, by cell.
func (b *Book) Digests(now time.Time) map[string]Digest {
	for cell, d := range b.digests {
		if now.Sub(d.Made) > digestLife {
			delete(b.digests, cell)
		}
	}
	return b.digests
}
