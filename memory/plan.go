package memory

import (
	"cmp"
	"slices"
	"time"

	"github.com/micarudder/micarudder/prefix"
)

const (
	// DefaultImportDivisor: an imported span takes its tokens over this much
	// memory, for it stays in the compressed form in which it travelled.
	DefaultImportDivisor = 8
	// marginParts is the part of a member's memory that is reserved on top, for
	// prompt lengths are estimates.
	marginParts = 32
	// MaxMembers bounds the endpoints of one group.
	MaxMembers = 16
	// bucketParts is how finely the memory now free counts in the choice.
	bucketParts = 8
	// easyParts of easyOf is the share of its limit that a member is asked for
	// while more members would do: what is left serves other work and groups.
	easyParts = 6
	easyOf    = 7
)

// Room is one endpoint as a coordinator knows it.
type Room struct {
	Endpoint string
	Limit    uint64        // most tokens that reservations may take together
	Reserved uint64        // tokens that they take now
	Free     uint64        // tokens neither used nor reserved
	Wait     time.Duration // predicted wait of long work
	Near     bool          // in the coordinator's data centre
	Avoid    bool          // failed this request lately
}

// whole returns the tokens that a reservation could get once no other is left.
func (r Room) whole() uint64 { return r.Limit }

// now returns the tokens that a reservation could get at once.
func (r Room) now() uint64 { return r.Limit - min(r.Limit, r.Reserved) }

// easy returns the part of them that leaves the endpoint some room.
func (r Room) easy() uint64 { return min(r.now(), r.Limit/easyOf*easyParts) }

// Need is what a prompt asks of a group.
type Need struct {
	Prompt uint64
	Answer uint64
	// ImportDivisor: see DefaultImportDivisor, which 0 selects.
	ImportDivisor uint64
	// Last names the endpoint that has to answer; empty: any.
	Last string
}

// Member is one endpoint's part in a group: it computes the prompt's tokens from
// Start on, with all tokens before them imported.
type Member struct {
	Endpoint string
	Start    uint64
	Tokens   uint64
	Reserve  uint64 // memory that it needs for that
}

// Plan is a group's members in the order of their spans. The last one computes
// its span as part of the run and answers.
type Plan []Member

// Plan chooses the fewest endpoints that can hold the prompt together, best
// first, and cuts the prompt so that the largest part is as small as possible.
// What leaves the members some room goes before what fills them, and what fits
// at once before what has to wait for other groups. It returns nil when all
// endpoints together cannot hold the prompt.
func (n Need) Plan(view []Room) Plan {
	if n.ImportDivisor == 0 {
		n.ImportDivisor = DefaultImportDivisor
	}
	for _, size := range []func(Room) uint64{Room.easy, Room.now, Room.whole} {
		if p := n.within(view, size); p != nil {
			return p
		}
	}
	return nil
}

// room is an endpoint with the memory that is counted on.
type room struct {
	Room
	tokens uint64
}

// within plans with the memory that size gives of each endpoint.
func (n Need) within(view []Room, size func(Room) uint64) Plan {
	var rooms []room
	for _, r := range view {
		if tokens := size(r); tokens > 0 {
			rooms = append(rooms, room{r, tokens})
		}
	}
	slices.SortFunc(rooms, func(a, b room) int { return n.prefer(a, b) })
	if n.Last != "" && (len(rooms) == 0 || rooms[0].Endpoint != n.Last) {
		return nil
	}
	for k := 2; k <= min(len(rooms), MaxMembers); k++ {
		if p := n.cut(n.ordered(rooms[:k])); p != nil {
			return p
		}
	}
	return nil
}

// prefer orders endpoints by how much they are wanted in the group.
func (n Need) prefer(a, b room) int {
	last := func(r room) int { return order(n.Last != "" && r.Endpoint == n.Last) }
	bucket := func(r room) uint64 { return r.now() * bucketParts / max(r.Limit, 1) }
	return cmp.Or(
		cmp.Compare(last(a), last(b)),
		cmp.Compare(order(!a.Avoid), order(!b.Avoid)),
		cmp.Compare(order(a.Near), order(b.Near)),
		cmp.Compare(bucket(b), bucket(a)),
		cmp.Compare(a.Wait, b.Wait),
		cmp.Compare(a.Endpoint, b.Endpoint),
	)
}

// order sorts true before false.
func order(b bool) int {
	if b {
		return 0
	}
	return 1
}

// ordered puts the chosen endpoints into the order of their spans: those with
// the most free memory first, so that the others have time to empty.
func (n Need) ordered(chosen []room) []room {
	out := slices.Clone(chosen)
	slices.SortFunc(out, func(a, b room) int {
		last := func(r room) int { return 1 - order(n.Last != "" && r.Endpoint == n.Last) }
		return cmp.Or(
			cmp.Compare(last(a), last(b)),
			cmp.Compare(b.Free, a.Free),
			cmp.Compare(a.Endpoint, b.Endpoint),
		)
	})
	return out
}

// cut finds the smallest bound on each member's memory with which the prompt
// still fits, and cuts the prompt by it.
func (n Need) cut(rooms []room) Plan {
	var largest uint64
	for _, r := range rooms {
		largest = max(largest, r.tokens)
	}
	best := n.fill(rooms, largest)
	if best == nil {
		return nil
	}
	low, high := uint64(0), largest
	for high-low > prefix.BlockTokens {
		middle := (low + high) / 2
		if p := n.fill(rooms, middle); p != nil {
			best, high = p, middle
		} else {
			low = middle
		}
	}
	return best
}

// fill gives each endpoint in turn as much of the prompt as fits within the
// bound. The last must get the rest, of which there must be some.
func (n Need) fill(rooms []room, bound uint64) Plan {
	var p Plan
	var start uint64
	for i, r := range rooms {
		size := min(r.tokens, bound)
		imported := (start + n.ImportDivisor - 1) / n.ImportDivisor
		if i == len(rooms)-1 {
			m := n.member(r.Endpoint, start, n.Prompt-start, imported+n.Answer)
			if m.Reserve > size {
				return nil
			}
			return append(p, m)
		}
		span := spanWithin(size, imported)
		if span == 0 || start+span >= n.Prompt {
			return nil
		}
		p = append(p, n.member(r.Endpoint, start, span, imported))
		start += span
	}
	return nil
}

// spanWithin returns the longest span of whole blocks that fits beside what is
// imported, with the margin.
func spanWithin(size, imported uint64) uint64 {
	plain := size * marginParts / (marginParts + 1)
	if plain <= imported {
		return 0
	}
	return (plain - imported) / prefix.BlockTokens * prefix.BlockTokens
}

func (n Need) member(endpoint string, start, span, beside uint64) Member {
	need := span + beside
	return Member{Endpoint: endpoint, Start: start, Tokens: span, Reserve: need + need/marginParts}
}
