package peers

import (
	"bytes"
	"maps"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/forward"
)

const (
	// heardRecently is how long after its last message a gateway is asked to forward messages: four
	// regular messages.
	heardRecently = time.Second
	// forwardAfter is the age of the process from which this gateway offers to forward. Earlier it may
	// not have heard from all gateways of its data centre, which report several times a second.
	forwardAfter = time.Second
	// maxForwardDelay is how much longer than the newest direct message of its sender a forwarded one
	// may have taken. A forwarder that was suspended sends older ones; the regular messages sent
	// meanwhile supersede these.
	maxForwardDelay = 500 * time.Millisecond
)

// ForwardFlags describe how the sender of a message and the message take part in forwarding.
type ForwardFlags uint8

// The flags. Gateways that do not forward messages send none.
const (
	// ReadsForwarded is set if the sender reads forwarded messages.
	ReadsForwarded ForwardFlags = 1 << iota
	// Forwards is set if the sender forwards messages when asked.
	Forwards
	// ForwardThis asks the receiver to forward the message to its data centre.
	ForwardThis
)

// A forwarded datagram consists of forwardedMark, the length and the bytes of the address of the
// origin, whether the message is partial, and the datagram as the origin sent it. The datagram is
// not encoded again, so that fields of later releases are kept.

// forwardedMark begins a forwarded datagram. No message begins with it, because MessagePack does
// not use this byte. A gateway that does not read forwarded messages drops them as malformed, and
// so does not take the address of the forwarder for that of the origin.
const forwardedMark = 0xc1

// forwardedOverhead is the most bytes that a forwarded datagram has besides the origin's.
const forwardedOverhead = 3 + 18

// wrap returns the datagram that forwards p, which was received from origin.
func wrap(p []byte, origin netip.AddrPort, partial bool) ([]byte, error) {
	a, err := origin.MarshalBinary()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	out := make([]byte, 0, len(p)+forwardedOverhead)
	out = append(out, forwardedMark, byte(len(a)))
	out = append(out, a...)
	var flag byte
	if partial {
		flag = 1
	}
	out = append(out, flag)
	return append(out, p...), nil
}

// unwrap returns the parts of a forwarded datagram.
func unwrap(p []byte) (original []byte, origin netip.AddrPort, partial bool, err error) {
	if len(p) < 3 || len(p) < 3+int(p[1]) {
		return nil, origin, false, trace.BadParameter("forwarded datagram of %d bytes is too short", len(p))
	}
	n := 2 + int(p[1])
	if err := origin.UnmarshalBinary(p[2:n]); err != nil {
		return nil, origin, false, trace.Wrap(err)
	}
	if !origin.IsValid() {
		return nil, origin, false, trace.BadParameter("forwarded datagram has no address of its origin")
	}
	return p[n+1:], origin, p[n] != 0, nil
}

// messageID identifies a message.
type messageID struct {
	from                  string
	incarnation, sequence uint64
}

// decodeID reads the fields of a datagram that identify the message, without the rest.
func decodeID(p []byte) (id messageID, err error) {
	d := msgpack.NewDecoder(bytes.NewReader(p))
	if _, err := d.DecodeArrayLen(); err != nil {
		return id, trace.Wrap(err)
	}
	if id.from, err = d.DecodeString(); err != nil {
		return id, trace.Wrap(err)
	}
	if id.incarnation, err = d.DecodeUint64(); err != nil {
		return id, trace.Wrap(err)
	}
	id.sequence, err = d.DecodeUint64()
	return id, trace.Wrap(err)
}

// EnableForwarding makes this gateway, which is in the given data centre, forward messages and ask
// others to do so. It must be called before Send and Receive.
func (m *Mesh) EnableForwarding(dataCentre string) {
	m.forwarding, m.dataCentre = true, dataCentre
}

// RecordDelay records how much later than due a regular message of this gateway is sent, which
// decides whether the gateway offers to forward messages.
func (m *Mesh) RecordDelay(d time.Duration) {
	if !m.forwarding {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.punctuality.Record(d)
}

// OffersForwarding reports whether this gateway's messages now offer to forward those of others.
func (m *Mesh) OffersForwarding(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.flags(now)&Forwards != 0
}

// flags returns the flags for this gateway's messages. The caller holds mu.
func (m *Mesh) flags(now time.Time) ForwardFlags {
	switch {
	case !m.forwarding:
		return 0
	case now.Sub(m.epoch) < forwardAfter || !m.punctuality.Punctual():
		return ReadsForwarded
	default:
		return ReadsForwarded | Forwards
	}
}

// plan returns whom a message for these addresses is sent to. The caller holds mu.
func (m *Mesh) plan(to []netip.AddrPort, now time.Time) forward.Plan {
	readers := make(map[string]int)
	for _, r := range m.recent {
		if r.flags&ReadsForwarded != 0 && now.Sub(r.received) <= memberTTL {
			readers[r.DataCentre]++
		}
	}
	recipients := m.recipients[:0]
	for _, a := range to {
		r := m.recent[a] // empty if the gateway is not known to read forwarded messages
		recipients = append(recipients, forward.Member{
			Address: a, Name: r.Name, DataCentre: r.DataCentre, Reads: r.flags&ReadsForwarded != 0,
			Forwards: r.flags&Forwards != 0 && now.Sub(r.received) <= heardRecently,
		})
	}
	m.recipients = recipients
	return forward.New(m.name, m.dataCentre, recipients, readers)
}

// forward sends a datagram that asks for it to the gateways of this data centre that read forwarded
// messages.
func (m *Mesh) forward(p []byte, msg Message, origin netip.AddrPort) {
	if !m.forwarding || msg.Forwarding&ForwardThis == 0 || msg.DataCentre == m.dataCentre {
		return
	}
	wrapped, err := wrap(p, origin, msg.Partial)
	if err != nil {
		return // the address was read from a datagram
	}
	// A failure is made up for by the other forwarder and by the regular messages.
	_ = m.write(Forwarded, wrapped, m.forwardTargets(origin, time.Now()))
}

// forwardTargets returns the gateways of this data centre that read forwarded messages.
func (m *Mesh) forwardTargets(origin netip.AddrPort, now time.Time) []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []netip.AddrPort
	for a, r := range m.recent {
		if r.DataCentre == m.dataCentre && r.flags&ReadsForwarded != 0 && now.Sub(r.received) <= memberTTL && a != origin {
			out = append(out, a)
		}
	}
	return out
}

// readForwarded returns the message in a forwarded datagram and the address of its origin. ok is false
// if the message was received before or is superseded.
func (m *Mesh) readForwarded(p []byte) (msg Message, origin netip.AddrPort, ok bool, err error) {
	original, origin, partial, err := unwrap(p)
	if err != nil {
		return msg, origin, false, err
	}
	id, err := decodeID(original)
	if err != nil {
		return msg, origin, false, err
	}
	if id.from == m.name || m.superseded(id, partial, true) {
		return msg, origin, false, nil
	}
	msg, err = decode(original)
	return msg, origin, err == nil, err
}

// superseded reports whether a message is of no use, because it or a later one that includes it was
// received before.
func (m *Mesh) superseded(id messageID, partial, forwarded bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	last, ok := m.lastReceived[id.from]
	return ok && last.supersedes(id.incarnation, id.sequence, m.forwarding && !partial, forwarded)
}

// supersedes reports whether a message of the same sender is of no use after the ones that r
// describes. Each message holds all changes of load since the complete one before it. An earlier
// partial message is therefore included in a later message; an earlier complete one is not included
// in the partial messages that follow it. keepComplete is set if the message is complete and is
// used in this case.
func (r receipt) supersedes(incarnation, sequence uint64, keepComplete, forwarded bool) bool {
	if r.incarnation != incarnation {
		// A forwarder that was suspended sends messages of a process that was replaced meanwhile.
		return forwarded && r.replaced == incarnation && incarnation != 0
	}
	return sequence <= r.complete || sequence == r.sequence || sequence < r.sequence && !keepComplete
}

// tooLate reports whether a forwarded message took much longer than the newest direct one of its
// sender.
func (r receipt) tooLate(msg Message, now time.Time, epoch time.Time) bool {
	if r.incarnation != msg.Incarnation || r.directAt.IsZero() || now.Sub(r.directAt) > memberTTL {
		return false
	}
	return clockOffset(msg, now, epoch)-r.directOffset > maxForwardDelay
}

// clockOffset is the difference between the clock of this process and that of the sender, plus the
// time that the message took.
func clockOffset(msg Message, now, epoch time.Time) time.Duration {
	return now.Sub(epoch) - time.Duration(msg.Clock)
}

// after returns the receipt with what remains valid of the one before it.
func (r receipt) after(last receipt) receipt {
	if r.incarnation != last.incarnation {
		r.replaced = last.incarnation
		return r
	}
	r.replaced, r.complete, r.changes = last.replaced, last.complete, last.changes
	r.directOffset, r.directAt = last.directOffset, last.directAt
	r.sequence, r.clock = max(r.sequence, last.sequence), max(r.clock, last.clock)
	return r
}

// change is the load at an endpoint in the partial message with this sequence.
type change struct {
	load     balance.Load
	sequence uint64
}

// record records the loads in a message. A complete one that arrived after later partial ones becomes
// Late and receives their changes.
func (r *receipt) record(msg *Message) {
	if msg.Partial {
		if r.changes == nil {
			r.changes = make(map[string]change)
		}
		for e, l := range msg.Loads {
			r.changes[e] = change{l, msg.Sequence}
		}
		return
	}
	r.complete = msg.Sequence
	maps.DeleteFunc(r.changes, func(_ string, c change) bool { return c.sequence < msg.Sequence })
	if msg.Sequence == r.sequence {
		return
	}
	msg.Late = true
	if msg.Loads == nil {
		msg.Loads = make(map[string]balance.Load)
	}
	for e, c := range r.changes {
		msg.Loads[e] = c.load
	}
}
