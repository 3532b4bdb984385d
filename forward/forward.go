// Package forward decides which gateways are sent a message, and which of them are asked to forward it
// to the other gateways of their data centre, so that a message crosses to another data centre twice
// instead of once for each gateway there.
package forward

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// Copies is the number of gateways of another data centre that are asked to forward a message. With
	// two, nothing is lost if one of them dies.
	Copies = 2
	// MaxDirect is the size of the largest data centre whose gateways are all sent the message
	// directly: two copies and the forwarding would save at most one datagram.
	MaxDirect = 3
)

// Member is a gateway that a message is for.
type Member struct {
	Address    netip.AddrPort
	Name       string
	DataCentre string // empty if not known yet
	// Reads is set if the gateway has reported that it reads forwarded messages.
	Reads bool
	// Forwards is set if the gateway has recently reported that it forwards messages.
	Forwards bool
}

// Plan is how a message reaches its recipients.
type Plan struct {
	Direct     []netip.AddrPort // sent the message
	Forwarders []netip.AddrPort // sent the message and asked to forward it
}

// New returns the plan for a message of a sender in a data centre. readers is the number of gateways in
// each data centre that read forwarded messages; a message that is not for all of them is not forwarded
// there, since forwarders do not know for whom it is. Gateways that do not read forwarded messages are
// sent it directly.
func New(sender, dataCentre string, recipients []Member, readers map[string]int) Plan {
	p := Plan{Direct: make([]netip.AddrPort, 0, len(recipients))}
	var groups []group
	for i := range recipients {
		m := &recipients[i]
		if m.DataCentre == "" || m.DataCentre == dataCentre {
			continue
		}
		n := find(groups, m.DataCentre)
		if n < 0 {
			n = len(groups)
			groups = append(groups, group{dataCentre: m.DataCentre})
		}
		groups[n].add(sender, m)
	}
	for i := range groups {
		g := &groups[i]
		g.usable = g.recipients > MaxDirect && g.readers >= readers[g.dataCentre] && g.forwarders[Copies-1].address.IsValid()
	}
	for i := range recipients {
		m := &recipients[i]
		n := find(groups, m.DataCentre)
		switch {
		case n < 0 || !groups[n].usable:
			p.Direct = append(p.Direct, m.Address)
		case groups[n].chosen(m.Address):
			p.Forwarders = append(p.Forwarders, m.Address)
		case !m.Reads:
			p.Direct = append(p.Direct, m.Address)
		}
	}
	return p
}

// group holds the recipients in another data centre.
type group struct {
	dataCentre string
	recipients int
	readers    int // recipients that read forwarded messages
	// forwarders are the gateways with the highest scores, the highest first.
	forwarders [Copies]scored
	usable     bool // whether the message is forwarded
}

// find returns the index of the group of a data centre, or -1. There are few.
func find(groups []group, dataCentre string) int {
	return slices.IndexFunc(groups, func(g group) bool { return g.dataCentre == dataCentre })
}

type scored struct {
	score   uint64
	address netip.AddrPort
}

func (g *group) add(sender string, m *Member) {
	g.recipients++
	if !m.Reads {
		return
	}
	g.readers++
	if !m.Forwards {
		return
	}
	next := scored{score(sender, m.Name), m.Address}
	for i, f := range g.forwarders {
		if !f.address.IsValid() || next.compare(f) > 0 {
			g.forwarders[i], next = next, f
		}
	}
}

func (g *group) chosen(a netip.AddrPort) bool {
	for _, f := range g.forwarders {
		if f.address == a {
			return true
		}
	}
	return false
}

func (s scored) compare(o scored) int {
	return cmp.Or(cmp.Compare(s.score, o.score), s.address.Compare(o.address))
}

// score is the rendezvous hash of a sender and a member, which spreads the forwarding over all members.
func score(sender, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(sender) // never fails
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(member)
	return d.Sum64()
}
