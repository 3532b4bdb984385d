package forward

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"github.com/matryer/is"
)

func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 7100)
}

// gateways returns this many members of each data centre that forward messages.
func gateways(sizes ...int) []Member {
	var out []Member
	for dc, size := range sizes {
		for range size {
			n := len(out)
			out = append(out, Member{Address: address(n), Name: fmt.Sprint("g", n), DataCentre: fmt.Sprint("dc", dc), Reads: true, Forwards: true})
		}
	}
	return out
}

// TestPlan checks how many gateways of the own data centre (5 members) and of another one are sent
// a message directly.
func TestPlan(t *testing.T) {
	const own = 5
	for name, c := range map[string]struct {
		size               int // of the other data centre
		recipients         int // of these, the first ones
		change             func(other []Member)
		direct, forwarders int // in the other data centre
	}{
		"all forward":                 {10, 10, func([]Member) {}, 0, Copies},
		"small data centre":           {MaxDirect, MaxDirect, func([]Member) {}, MaxDirect, 0},
		"smallest that forwards":      {MaxDirect + 1, MaxDirect + 1, func([]Member) {}, 0, Copies},
		"one cannot read":             {10, 10, func(o []Member) { clearFlags(o[3:4]) }, 1, Copies},
		"most cannot read":            {10, 10, func(o []Member) { clearFlags(o[:8]) }, 8, Copies},
		"only one forwards":           {10, 10, func(o []Member) { clearFlags(o[:9]) }, 10, 0},
		"none was heard recently":     {10, 10, func(o []Member) { clearForwards(o) }, 10, 0},
		"two were heard recently":     {10, 10, func(o []Member) { clearForwards(o[2:]) }, 0, Copies},
		"message for some of them":    {10, 5, func([]Member) {}, 5, 0},
		"message for few of them":     {10, 2, func([]Member) {}, 2, 0},
		"message for all that read":   {10, 9, func(o []Member) { clearFlags(o[9:]) }, 0, Copies},
		"not for this data centre":    {10, 0, func([]Member) {}, 0, 0},
		"data centre not known":       {10, 10, func(o []Member) { clearDataCentres(o) }, 10, 0},
		"data centre of some unknown": {10, 10, func(o []Member) { clearDataCentres(o[6:]) }, 4, Copies},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			members := gateways(own, c.size)
			c.change(members[own:])
			recipients := members[:own+c.recipients]
			p := New("sender", "dc0", recipients, readers(members))
			is.Equal(len(p.Direct), own+c.direct)
			is.Equal(len(p.Forwarders), c.forwarders)
			for _, m := range recipients {
				direct, forwarder := slices.Contains(p.Direct, m.Address), slices.Contains(p.Forwarders, m.Address)
				is.True(!direct || !forwarder) // no gateway is sent a message twice
				is.True(!forwarder || m.Forwards)
				is.True(direct || forwarder || m.Reads) // the others can read a forwarded one
			}
		})
	}
}

// readers counts the members of each data centre that read forwarded messages.
func readers(members []Member) map[string]int {
	out := make(map[string]int)
	for _, m := range members {
		if m.Reads {
			out[m.DataCentre]++
		}
	}
	return out
}

func clearFlags(members []Member) {
	for i := range members {
		members[i].Reads, members[i].Forwards = false, false
	}
}

func clearForwards(members []Member) {
	for i := range members {
		members[i].Forwards = false
	}
}

func clearDataCentres(members []Member) {
	for i := range members {
		members[i].DataCentre = ""
	}
}

// TestForwardersAreStable guards against a choice that depends on the order of the members, or that
// changes for all senders when one gateway dies.
func TestForwardersAreStable(t *testing.T) {
	is := is.New(t)
	members := gateways(0, 10)
	before := New("sender", "dc0", members, readers(members)).Forwarders
	slices.Reverse(members)
	is.Equal(sorted(New("sender", "dc0", members, readers(members)).Forwarders), sorted(before))
	dead := before[0]
	for i := range members {
		members[i].Forwards = members[i].Address != dead
	}
	after := New("sender", "dc0", members, readers(members)).Forwarders
	is.True(slices.Contains(after, before[1])) // the other one remains
	is.True(!slices.Contains(after, dead))
}

// TestForwardingIsSpread guards against a few gateways that forward for most senders.
func TestForwardingIsSpread(t *testing.T) {
	for _, size := range []int{10, 16, 134, 268} {
		is := is.New(t)
		members := gateways(0, size)
		count := make(map[netip.AddrPort]int)
		senders := 2 * size // of the two other data centres of three
		for n := range senders {
			for _, a := range New(fmt.Sprintf("gw-%04d", n), "dc0", members, readers(members)).Forwarders {
				count[a]++
			}
		}
		most := 0
		for _, n := range count {
			most = max(most, n)
		}
		mean := float64(Copies*senders) / float64(size)
		t.Logf("%d gateways: one forwards for %.1f senders on average, for %d at most", size, mean, most)
		is.True(float64(most) <= 3.5*mean)
	}
}

func sorted(list []netip.AddrPort) []netip.AddrPort {
	out := slices.Clone(list)
	slices.SortFunc(out, netip.AddrPort.Compare)
	return out
}
