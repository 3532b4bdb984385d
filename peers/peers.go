// Package peers carries what gateways tell each other: datagrams with the load
// that each has in flight. A word holds its sender's load at the endpoints where it
// changed lately, and several times a second the whole of it, so that
// a lost or repeated datagram does no harm. Who is told what is the sender's business.
package peers

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/health"
	"github.com/micarudder/micarudder/quarantine"
	"github.com/micarudder/micarudder/ratelimit"
)

const (
	// maxWord is the largest datagram that is read.
	maxWord = 60 << 10
	// memberLife is how long an address that sent a word is answered when no
	// list names it.
	memberLife = 10 * time.Second
)

// Word is one datagram. Its fields are sent in this order: new ones come last.
type Word struct {
	From     string // name of the sender
	Life     uint64 // random number of the sender's process
	Sequence uint64 // rises within a life
	Version  uint64 // configuration in force there
	Leaving  bool
	// Loads is the sender's load by endpoint id, at all endpoints that are the
	// receiver's business: the whole of it, or only what changed since the last
	// whole one where Partial is set.
	Loads map[string]balance.Load

	// Clock is the sender's monotonic time when it sent the word, in
	// nanoseconds since an instant of its own. Heard gives it back: the newest
	// Clock that the sender has heard of each peer. A peer can so date what the
	// word says by its own clock, whatever the way took.
	Clock int64
	Heard map[string]int64
	// Echo asks Send to fill in Heard; it is not sent.
	Echo bool `msgpack:"-"`
	// ProofAgeMs is how long ago the read was sent that proved Version to be the
	// newest; negative: there is no proof.
	ProofAgeMs int64
	// Endpoints identifies the list of endpoints that the sender read last, and
	// EndpointsAgeMs how long ago; 0: none was read.
	Endpoints      uint64
	EndpointsAgeMs int64
	// NoStore is set by a gateway that cannot reach the store.
	NoStore bool
	// Waiting tells of the first long prompt that waits for endpoints, by
	// service; see balance.Turns.
	Waiting map[string]balance.Claim
	Partial bool // see Loads
	// DataCentre is where the sender stands.
	DataCentre string
	// Digests tell of the load in other cells than the receiver's.
	Digests []Digest
	// Signs is all that the sender has to tell of endpoints' health, in each word for its
	// own cell.
	Signs map[string]health.Sign
	// Crashes tells of requests that were on endpoints that crashed.
	Crashes []quarantine.Report
	// StoreEra is the newest era of the store that the sender knows; 0: none. A higher one than
	// before means that the store came back from an older copy.
	StoreEra uint64
	// Limits tells how many requests a second endpoints of the sender's cell take.
	Limits map[string]ratelimit.Notice
	// Coordinator identifies the gateway that grants sends to these, see ratelimit.Votes; 0: the sender
	// knows of no limit, or cannot do it itself.
	Coordinator uint64
	// Leaves tells of endpoints of the sender's cell or of others that leave, with the life that does, see availability.Leaves.
	Leaves map[string]int64
}

// Digest is the load of the endpoints that one cell offers to others.
type Digest struct {
	DataCentre string // where the gateway stands that made it
	AgeMs      int64  // since it was made
	Gateways   int    // that the cell has
	// Loads holds the load of the endpoints that the cell offers to others, without
	// what the receiver's cell has there itself.
	Loads map[string]balance.Load
	// Short is set when the cell has no endpoints to spare.
	Short bool
}

// Member is a gateway that words may be sent to.
type Member struct {
	Address    netip.AddrPort
	Name       string // empty: not known yet
	DataCentre string // empty: not known yet
}

// heardMember is a member that sent a word, and when.
type heardMember struct {
	Member
	at time.Time
}

// Mesh sends and receives words. Its methods may be called concurrently.
type Mesh struct {
	socket *net.UDPConn
	name   string
	life   uint64

	mu       sync.Mutex
	sequence uint64
	listed   []Member
	heard    map[netip.AddrPort]heardMember
	last     map[string]position
	epoch    time.Time // of Word.Clock
}

// position is how far a sender's words were read.
type position struct {
	life, sequence uint64
	clock          int64
	at             time.Time
	from           netip.AddrPort
}

// Listen opens the mesh's socket.
func Listen(name, address string) (*Mesh, error) {
	at, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	socket, err := net.ListenUDP("udp4", at)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Mesh{
		socket: socket, name: name, life: rand.Uint64(),
		heard: make(map[netip.AddrPort]heardMember), last: make(map[string]position), epoch: time.Now(),
	}, nil
}

// Close ends the mesh; Receive returns.
func (m *Mesh) Close() error { return m.socket.Close() }

// Address returns where this gateway's mesh listens.
func (m *Mesh) Address() netip.AddrPort {
	a, _ := netip.ParseAddrPort(m.socket.LocalAddr().String())
	return a
}

// SetMembers replaces the listed members; those that were heard lately count besides.
func (m *Mesh) SetMembers(members []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed = members
}

// Members returns the other gateways that are listed or were heard lately.
func (m *Mesh) Members(now time.Time) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	self := m.Address()
	out := make([]Member, 0, len(m.listed)+len(m.heard))
	for a, h := range m.heard {
		if now.Sub(h.at) > memberLife {
			delete(m.heard, a)
			continue
		}
		out = append(out, h.Member)
	}
	for _, l := range m.listed {
		if _, heard := m.heard[l.Address]; !heard && l.Address != self {
			out = append(out, l)
		}
	}
	return out
}

// Send sends the word, whose sender fields are filled in, to each of the addresses.
func (m *Mesh) Send(w Word, to []netip.AddrPort, now time.Time) error {
	m.mu.Lock()
	m.sequence++
	w.From, w.Life, w.Sequence = m.name, m.life, m.sequence
	w.Clock = int64(now.Sub(m.epoch))
	if w.Echo {
		w.Heard = m.clocks(to, now)
	}
	m.mu.Unlock()
	p, err := encode(&w)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, a := range to {
		if _, e := m.socket.WriteToUDPAddrPort(p, a); e != nil {
			err = trace.Wrap(e)
		}
	}
	return err
}

// clocks returns the newest clock of each receiver that was heard lately.
func (m *Mesh) clocks(to []netip.AddrPort, now time.Time) map[string]int64 {
	out := make(map[string]int64, len(to))
	for name, p := range m.last {
		if now.Sub(p.at) > memberLife {
			delete(m.last, name)
			continue
		}
		if slices.Contains(to, p.from) {
			out[name] = p.clock
		}
	}
	return out
}

// SaidAfter returns a time of this process's clock that was before w was sent;
// ok is false when the sender had not heard this process.
func (m *Mesh) SaidAfter(w Word) (at time.Time, ok bool) {
	clock, ok := w.Heard[m.name]
	if !ok || clock < 0 {
		return time.Time{}, false
	}
	at = m.epoch.Add(time.Duration(clock))
	return at, !at.After(time.Now())
}

// Receive calls take for each word of another gateway, in the order of its
// sending, until the mesh is closed. It returns how many datagrams could not be
// read.
func (m *Mesh) Receive(take func(w Word, from netip.AddrPort)) (malformed int) {
	buf := make([]byte, maxWord)
	for {
		n, from, err := m.socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			return malformed
		}
		w, err := decode(buf[:n])
		if err != nil {
			malformed++
			continue
		}
		if w.From != m.name && m.newer(w, from) {
			take(w, from)
		}
	}
}

// newer notes a word and reports whether it was not overtaken by a later one.
func (m *Mesh) newer(w Word, from netip.AddrPort) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if last, ok := m.last[w.From]; ok && last.life == w.Life && last.sequence >= w.Sequence {
		return false
	}
	now := time.Now()
	m.last[w.From] = position{w.Life, w.Sequence, w.Clock, now, from}
	if w.Leaving {
		delete(m.heard, from)
	} else {
		m.heard[from] = heardMember{Member{from, w.From, w.DataCentre}, now}
	}
	return true
}
