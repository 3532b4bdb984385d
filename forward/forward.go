// Package forward decides which gateways are sent a message, and which of them are asked to forward it
// to the other gateways of their data centre, so that a message crosses to another data centre twice
// instead of once for each gateway there.
package forward

import (
	"cmp"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

const (
	// Copies is the number of gateways of another data centre that are asked to forward a message. With
	// two, nothing is lost if one of them dies.
	Copies = 2
	// MaxDirect is the size of the largest data centre whose gateways are all sent the message directly:
	// two copies and the forwarding would save at most one datagram.
	MaxDirect = 3
)

// Member is a gateway that may be sent a message.
type Member struct {
	Address    netip.AddrPort
	Name       string
	DataCentre string // empty if not known yet
	// Recipient is set if the message is for this gateway.
	Recipient bool
	// Understands is set if the gateway has reported that it reads forwarded messages.
	Understands bool
	// Forwards is set if the gateway has recently reported that it forwards messages.
	Forwards bool
}

// Plan is how a message reaches its recipients.
type Plan struct {
	Direct     []netip.AddrPort // sent the message
	Forwarders []netip.AddrPort // sent the message and asked to forward it
}

// New returns the plan for a message of a sender in a data centre; members are all other gateways. A
// message that is not for all gateways of another data centre that read forwarded messages is not forwarded there, since
// forwarders do not know for whom it is. Gateways that do not read forwarded messages are sent it
// directly.
func New(sender, dataCentre string, members []Member) Plan {
	var p Plan
	groups := make(map[string]*group)
	for _, m := range members {
		if m.DataCentre == "" || m.DataCentre == dataCentre {
			if m.Recipient {
				p.Direct = append(p.Direct, m.Address)
			}
			continue
		}
		g := groups[m.DataCentre]
		if g == nil {
			g = new(group)
			groups[m.DataCentre] = g
		}
		g.add(sender, m)
	}
	for _, m := range members {
		g := groups[m.DataCentre]
		switch {
		case !m.Recipient || g == nil:
		case !g.usable():
			p.Direct = append(p.Direct, m.Address)
		case g.chosen(m.Address):
			p.Forwarders = append(p.Forwarders, m.Address)
		case !m.Understands:
			p.Direct = append(p.Direct, m.Address)
		}
	}
	return p
}

// group holds the gateways of another data centre.
type group struct {
	recipients int
	incomplete bool // the message is not for all of those that read forwarded messages
	// forwarders are the gateways with the highest scores, the highest first.
	forwarders [Copies]scored
}

type scored struct {
	score   uint64
	address netip.AddrPort
}

func (g *group) add(sender string, m Member) {
	if !m.Recipient {
		g.incomplete = g.incomplete || m.Understands
		return
	}
	g.recipients++
	if !m.Forwards || !m.Understands {
		return
	}
	next := scored{score(sender, m.Name), m.Address}
	for i, f := range g.forwarders {
		if !f.address.IsValid() || next.compare(f) > 0 {
			g.forwarders[i], next = next, f
		}
	}
}

// usable reports whether a message is forwarded in the data centre.
func (g *group) usable() bool {
	return !g.incomplete && g.recipients > MaxDirect && g.forwarders[Copies-1].address.IsValid()
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
