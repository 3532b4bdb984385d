// Package peers implements the UDP protocol between gateways. Each datagram (a Message)
// carries the load that its sender has in flight at endpoints: only what changed, or,
// several times a second, all of it, so that lost or duplicated datagrams do no harm.
// The caller chooses what to send to which gateway; a message for all gateways of another data
// centre can be forwarded there, see EnableForwarding.
package peers

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/forward"
	"github.com/micarudder/micarudder/health"
	"github.com/micarudder/micarudder/quarantine"
	"github.com/micarudder/micarudder/ratelimit"
	"github.com/micarudder/micarudder/residual"
)

const (
	// maxDatagram is the size of the largest datagram that is read, in bytes.
	maxDatagram = 60 << 10
	// memberTTL is how long a gateway that is missing from the list of SetMembers
	// remains a member after its last datagram.
	memberTTL = 10 * time.Second
)

// Message is the content of one datagram. Its fields are sent in this order, so new ones
// must be added at the end.
type Message struct {
	From         string // name of the sender
	Incarnation  uint64 // random number that identifies the sender's process
	Sequence     uint64 // increases with each datagram of the process
	Version      uint64 // version of the configuration in force at the sender
	ShuttingDown bool
	// Loads is the sender's load by endpoint id, at all endpoints that concern the
	// receiver. If Partial is set, it holds only what changed since the last
	// complete one.
	Loads map[string]balance.Load

	// Clock is the sender's monotonic clock when it sent the datagram, in nanoseconds
	// since an epoch of its own. ClockEchoes holds, for each peer, the newest Clock
	// that the sender has received from it. The peer can thus bound the send time of
	// the datagram by its own clock, whatever the network delay; see SentAfter.
	Clock       int64
	ClockEchoes map[string]int64
	// EchoClocks tells Send to fill in ClockEchoes; it is not sent.
	EchoClocks bool `msgpack:"-"`
	// AgesAt is when the ages in the message were computed; Send adds the time since. It is not sent.
	AgesAt time.Time `msgpack:"-"`
	// ProofAgeMs is the time since the sending of the store read that proved Version
	// to be the newest, or that there is none if Version is 0; negative if there is no
	// proof.
	ProofAgeMs int64
	// Endpoints identifies the list of endpoints that the sender read last, and
	// EndpointsAgeMs is the time since that read. Endpoints is 0 if none was read.
	Endpoints      uint64
	EndpointsAgeMs int64
	// StoreUnreachable is set if the sender cannot reach the store.
	StoreUnreachable bool
	// Waiting describes the first long prompt that waits for endpoints, by
	// service; see balance.PromptQueue.
	Waiting map[string]balance.QueueHead
	Partial bool // see Loads
	// DataCentre is the sender's data centre.
	DataCentre string
	// Digests hold the load in cells other than the receiver's.
	Digests []Digest
	// Observations holds everything that the sender has to report about the health of
	// endpoints; it is set in every datagram to the sender's cell.
	Observations map[string]health.Observation
	// CrashReports reports requests that were on endpoints when these crashed.
	CrashReports []quarantine.Report
	// StoreEra is the newest era of the store that the sender knows, or 0. An era
	// higher than the one known before means that the store was restored from an older
	// copy.
	StoreEra uint64
	// Limits holds the request rates that endpoints of the sender's cell accept.
	Limits map[string]ratelimit.LimitUpdate
	// Coordinator identifies the gateway that grants requests to the endpoints in Limits;
	// see ratelimit.Election. It is 0 if the sender knows of no limit or cannot
	// coordinate itself.
	Coordinator uint64
	// Drains holds, by id, the draining endpoints of any cell, each with the
	// incarnation that is draining; see availability.DrainTable.
	Drains map[string]int64
	// Evacuations are the evacuated data centres according to the newest read of the store that the
	// sender knows; nil if it has known of none evacuated.
	Evacuations *catalog.Evacuations
	// Gateways identifies the list of gateways that the sender knows, and GatewaysAgeMs
	// is the time since the read of that list. Gateways is 0 in most messages.
	Gateways      uint64
	GatewaysAgeMs int64
	// CrashAddresses are the addresses of the endpoints in CrashReports, in the same order.
	CrashAddresses []quarantine.Address
	// UnprovenAgeMs is the time, plus one, since the sending of the newest store read that found an
	// entry which does not prove Version; 0 if the proof is newer.
	UnprovenAgeMs int64
	// Forwarding tells how the sender and this message take part in forwarding.
	Forwarding ForwardFlags
	// Residual holds the load of processes that are gone, by endpoint, from the reports of
	// endpoints that the sender received.
	Residual map[string]residual.Report
	// Starting is set while the sender may not know the load of all endpoints.
	Starting bool

	// Kind is the kind of the message in the count of bytes; it is not sent.
	Kind Kind `msgpack:"-"`
	// Direct tells Send not to have the message forwarded; it is not sent.
	Direct bool `msgpack:"-"`
	// Late is set in a complete message that arrived after a partial one that followed it. Loads then
	// includes the changes of that one; everything else may be older than what was received before.
	Late bool `msgpack:"-"`
}

// addAge adds a time to the ages in the message that it has.
func (m *Message) addAge(d time.Duration) {
	more := AgeMs(d)
	if m.ProofAgeMs >= 0 {
		m.ProofAgeMs += more
	}
	if m.Endpoints != 0 {
		m.EndpointsAgeMs += more
	}
	if m.Gateways != 0 {
		m.GatewaysAgeMs += more
	}
	if m.UnprovenAgeMs > 0 {
		m.UnprovenAgeMs += more
	}
	m.Digests = slices.Clone(m.Digests) // other messages share them
	for i := range m.Digests {
		m.Digests[i].AgeMs += more
	}
	m.Residual = maps.Clone(m.Residual)
	for id, r := range m.Residual {
		r.AgeMs += more
		m.Residual[id] = r
	}
}

// MaxAge is the largest age that gateways tell and believe: whatever is older counts as unknown.
const MaxAge = 24 * time.Hour

// AgeMs returns an age in milliseconds for another gateway, at most MaxAge. It is rounded up, so that nothing
// becomes younger on its way through the fleet, however fast the messages are.
func AgeMs(age time.Duration) int64 {
	age = min(age, MaxAge)
	ms := age.Milliseconds()
	if age > time.Duration(ms)*time.Millisecond {
		ms++
	}
	return ms
}

// AgeFromMs returns the age that another gateway told, from 0 to MaxAge.
func AgeFromMs(ms int64) time.Duration {
	return time.Duration(min(max(0, ms), MaxAge.Milliseconds())) * time.Millisecond
}

// splitAddresses fills CrashAddresses from CrashReports, before the message is encoded.
func (m *Message) splitAddresses() {
	m.CrashAddresses = nil
	for i, r := range m.CrashReports {
		if r.Address == 0 {
			continue
		}
		if m.CrashAddresses == nil {
			m.CrashAddresses = make([]quarantine.Address, len(m.CrashReports))
		}
		m.CrashAddresses[i] = r.Address
	}
}

// joinAddresses sets the addresses of CrashReports after the message was decoded.
func (m *Message) joinAddresses() {
	for i := range min(len(m.CrashAddresses), len(m.CrashReports)) {
		m.CrashReports[i].Address = m.CrashAddresses[i]
	}
}

// Digest is the load at the endpoints that one cell offers to others.
type Digest struct {
	DataCentre string // data centre of the gateway that made the digest
	AgeMs      int64  // time since the digest was made
	Gateways   int    // number of gateways in the cell
	// Loads holds the load at the endpoints that the cell offers to others, without
	// the load of the receiver's cell there.
	Loads map[string]balance.Load
	// NoSpareEndpoints is set if the cell has no endpoints to spare.
	NoSpareEndpoints bool
}

// Member is a gateway that datagrams may be sent to.
type Member struct {
	Address    netip.AddrPort
	Name       string // empty if not known yet
	DataCentre string // empty if not known yet
}

// recentMember is a member that sent a datagram, and when the last one arrived.
type recentMember struct {
	Member
	received time.Time
	flags    ForwardFlags
}

// Conn is the socket of a mesh; *net.UDPConn implements it.
type Conn interface {
	ReadFromUDPAddrPort(p []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(p []byte, to netip.AddrPort) (int, error)
	LocalAddr() net.Addr
	Close() error
}

// Mesh exchanges datagrams with the other gateways. Its methods may be called
// concurrently.
type Mesh struct {
	socket      Conn
	name        string
	incarnation uint64
	dataCentre  string                                  // of this gateway; set with forwarding or count
	forwarding  bool                                    // see EnableForwarding
	count       func(kind Kind, remote bool, bytes int) // see CountBytes; may be nil
	countLate   func()                                  // see CountLate; may be nil

	mu                sync.Mutex
	sequence          uint64
	listed            []Member
	listedDataCentres map[netip.AddrPort]string
	recent            map[netip.AddrPort]recentMember
	lastReceived      map[string]receipt
	punctuality       forward.Punctuality
	recipients        []forward.Member // memory that plan uses again
	epoch             time.Time        // zero point of the clock sent in datagrams
}

// receipt describes the newest datagram received from a sender.
type receipt struct {
	incarnation, sequence uint64
	clock                 int64
	at                    time.Time
	from                  netip.AddrPort
	// replaced is the incarnation of the process before this one; 0 if none is known.
	replaced uint64
	// complete is the sequence of the newest complete message, and changes holds the newest loads of the
	// partial ones that followed it.
	complete uint64
	changes  map[string]change
	// directOffset is the clock offset of the newest message that was not forwarded, received at
	// directAt; see tooLate.
	directOffset time.Duration
	directAt     time.Time
}

// Listen opens the UDP socket of the named gateway.
func Listen(name, address string) (*Mesh, error) {
	at, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	socket, err := net.ListenUDP("udp4", at)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return New(name, socket), nil
}

// New returns the mesh of the named gateway, which takes over the socket.
func New(name string, socket Conn) *Mesh {
	return &Mesh{
		socket: socket, name: name, incarnation: rand.Uint64(),
		recent: make(map[netip.AddrPort]recentMember), lastReceived: make(map[string]receipt), epoch: time.Now(),
	}
}

// Close closes the socket; Receive then returns.
func (m *Mesh) Close() error { return m.socket.Close() }

// Address returns the address on which this gateway receives datagrams.
func (m *Mesh) Address() netip.AddrPort {
	a, _ := netip.ParseAddrPort(m.socket.LocalAddr().String())
	return a
}

// SetMembers replaces the list of members. Gateways that sent a datagram within
// memberTTL and are not shutting down are members in any case.
func (m *Mesh) SetMembers(members []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed = members
	m.listedDataCentres = make(map[netip.AddrPort]string, len(members))
	for _, l := range members {
		m.listedDataCentres[l.Address] = l.DataCentre
	}
}

// Members returns the other gateways that are listed, or that sent a datagram within
// memberTTL and are not shutting down. What a gateway reports about itself replaces its
// list entry.
func (m *Mesh) Members(now time.Time) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	self := m.Address()
	out := make([]Member, 0, len(m.listed)+len(m.recent))
	for a, r := range m.recent {
		if now.Sub(r.received) > memberTTL {
			delete(m.recent, a)
			continue
		}
		out = append(out, r.Member)
	}
	maps.DeleteFunc(m.lastReceived, func(_ string, r receipt) bool { return now.Sub(r.at) > memberTTL })
	for _, l := range m.listed {
		if _, isRecent := m.recent[l.Address]; !isRecent && l.Address != self {
			out = append(out, l)
		}
	}
	return out
}

// Send fills in the sender's fields of msg and sends it to each of the addresses. If forwarding is
// enabled and msg is not Direct, other gateways send it on to some of them.
func (m *Mesh) Send(msg Message, to []netip.AddrPort, now time.Time) error {
	m.mu.Lock()
	m.sequence++
	msg.From, msg.Incarnation, msg.Sequence = m.name, m.incarnation, m.sequence
	msg.Clock = int64(now.Sub(m.epoch))
	if msg.EchoClocks {
		msg.ClockEchoes = m.clockEchoes(to, now)
	}
	p := forward.Plan{Direct: to}
	if m.forwarding && !msg.Direct {
		p = m.plan(to, now)
	}
	msg.Forwarding = m.flags(now)
	m.mu.Unlock()
	if !msg.AgesAt.IsZero() {
		// After the echoes were chosen: the receiver dates the message by them.
		msg.addAge(time.Since(msg.AgesAt))
	}
	var err error
	if len(p.Forwarders) > 0 {
		asking := msg
		asking.Forwarding |= ForwardThis
		var datagram []byte
		if datagram, err = encode(&asking); err != nil {
			return trace.Wrap(err)
		}
		if len(datagram)+forwardedOverhead > maxDatagram {
			p = forward.Plan{Direct: to} // too large to be forwarded
		} else {
			err = m.write(msg.Kind, datagram, p.Forwarders)
		}
	}
	if len(p.Direct) == 0 {
		return err
	}
	datagram, e := encode(&msg)
	if e != nil {
		return trace.Wrap(e)
	}
	return cmp.Or(m.write(msg.Kind, datagram, p.Direct), err)
}

// write sends a datagram to each of the addresses.
func (m *Mesh) write(kind Kind, datagram []byte, to []netip.AddrPort) (err error) {
	for _, a := range to {
		if _, e := m.socket.WriteToUDPAddrPort(datagram, a); e != nil {
			err = trace.Wrap(e)
		}
	}
	m.countBytes(kind, len(datagram), to)
	return err
}

// clockEchoes returns the newest Clock of each receiver from which a datagram arrived
// within memberTTL. The caller holds mu.
func (m *Mesh) clockEchoes(to []netip.AddrPort, now time.Time) map[string]int64 {
	out := make(map[string]int64, len(to))
	for name, r := range m.lastReceived {
		if now.Sub(r.at) > memberTTL {
			delete(m.lastReceived, name)
			continue
		}
		if slices.Contains(to, r.from) {
			out[name] = r.clock
		}
	}
	return out
}

// SentAfter returns a time, by this process's clock, before which msg cannot have been
// sent. ok is false if msg echoes no valid clock of this process.
func (m *Mesh) SentAfter(msg Message) (at time.Time, ok bool) {
	clock, ok := msg.ClockEchoes[m.name]
	if !ok || clock < 0 {
		return time.Time{}, false
	}
	at = m.epoch.Add(time.Duration(clock))
	return at, !at.After(time.Now())
}

// Receive calls handle for each datagram of another gateway until the mesh is closed; from is the
// address of its sender, also if another gateway forwarded it. The datagrams of one sender are
// handled in the order of sending; one that arrives after a later one is dropped, except for a
// complete one that is handled as Late. Receive returns the number of datagrams that could not be
// decoded.
func (m *Mesh) Receive(handle func(msg Message, from netip.AddrPort)) (malformed int) {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := m.socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			return malformed
		}
		p := buf[:n]
		var msg Message
		ok, forwarded := true, m.forwarding && n > 0 && p[0] == forwardedMark
		if forwarded {
			msg, from, ok, err = m.readForwarded(p)
		} else {
			msg, err = decode(p)
		}
		if err != nil {
			malformed++
			continue
		}
		if !ok || msg.From == m.name {
			continue
		}
		if !forwarded {
			m.forward(p, msg, from)
		}
		if m.accept(&msg, from, forwarded) {
			handle(msg, from)
		}
	}
}

// accept records the receipt of a datagram. It returns false if the datagram is of no use because
// the same or a later one was received before, or because it was forwarded too late. A complete one
// that arrived after later partial ones becomes Late and receives their changes.
func (m *Mesh) accept(msg *Message, from netip.AddrPort, forwarded bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	last, ok := m.lastReceived[msg.From]
	if ok && last.supersedes(msg.Incarnation, msg.Sequence, m.forwarding && !msg.Partial, forwarded) {
		return false
	}
	if forwarded && last.tooLate(*msg, now, m.epoch) {
		if m.countLate != nil {
			m.countLate()
		}
		return false
	}
	next := receipt{incarnation: msg.Incarnation, sequence: msg.Sequence, clock: msg.Clock, at: now, from: from}
	if m.forwarding {
		next = next.after(last)
		next.record(msg)
		if !forwarded {
			next.directOffset, next.directAt = clockOffset(*msg, now, m.epoch), now
		}
	}
	m.lastReceived[msg.From] = next
	switch {
	case msg.Late: // a later one was received before
	case msg.ShuttingDown:
		delete(m.recent, from)
	default:
		m.recent[from] = recentMember{Member{from, msg.From, msg.DataCentre}, now, msg.Forwarding}
	}
	return true
}
