package memory

import (
	"cmp"
	"slices"
	"time"

	"github.com/micarudder/micarudder/prefix"
)

const (
	// DefaultImportDivisor is the number of tokens of an imported span that take the memory of
	// one token, because the span stays in the compressed form in which it was transferred.
	DefaultImportDivisor = 8
	// marginDivisor sets the margin that is reserved on top of a member's memory, one part in
	// marginDivisor, because prompt lengths are estimates.
	marginDivisor = 32
	// MaxMembers is the maximum number of endpoints in one group.
	MaxMembers = 16
	// availabilityBuckets is the number of levels to which the memory now available is rounded
	// in the choice of endpoints.
	availabilityBuckets = 8
	// preferredNum over preferredDen is the fraction of its limit that an endpoint is asked
	// for as long as more members would do: the rest serves other work and groups.
	preferredNum = 6
	preferredDen = 7
)

// EndpointMemory is the memory of one endpoint as a coordinator knows it.
type EndpointMemory struct {
	Endpoint       string
	Limit          uint64        // maximum number of tokens that reservations may take together
	Reserved       uint64        // tokens that they take now
	Free           uint64        // tokens neither used nor reserved
	Wait           time.Duration // predicted wait of long work
	SameDataCentre bool          // in the coordinator's data centre
	Avoid          bool          // failed this request recently
}

// maximum returns the tokens that a reservation could get once there is no other.
func (r EndpointMemory) maximum() uint64 { return r.Limit }

// available returns the tokens that a reservation could get immediately.
func (r EndpointMemory) available() uint64 { return r.Limit - min(r.Limit, r.Reserved) }

// preferred returns the part of the available tokens that leaves the endpoint some memory.
func (r EndpointMemory) preferred() uint64 {
	return min(r.available(), r.Limit/preferredDen*preferredNum)
}

// PlanRequest describes the prompt that a group is planned for.
type PlanRequest struct {
	Prompt uint64
	Output uint64
	// ImportDivisor is the divisor described at DefaultImportDivisor, which 0 selects.
	ImportDivisor uint64
	// LastEndpoint is the endpoint that has to answer; empty means any.
	LastEndpoint string
}

// Member is one endpoint's part in a group: it computes the prompt's tokens from Start on,
// after importing all tokens before them.
type Member struct {
	Endpoint      string
	Start         uint64
	Tokens        uint64
	ReserveTokens uint64 // memory that it needs for that, in tokens
}

// Plan is a group's members in the order of their spans. The last member computes its span
// as part of the run and generates the response.
type Plan []Member

// Plan chooses the fewest endpoints that can hold the prompt together, in order of
// preference, and splits the prompt so that the largest part is as small as possible.
// Plans that leave the members some memory are preferred to plans that fill them, and
// plans that fit immediately to plans that have to wait for other groups. It returns nil
// if all endpoints together cannot hold the prompt.
func (n PlanRequest) Plan(view []EndpointMemory) Plan {
	if n.ImportDivisor == 0 {
		n.ImportDivisor = DefaultImportDivisor
	}
	for _, size := range []func(EndpointMemory) uint64{EndpointMemory.preferred, EndpointMemory.available, EndpointMemory.maximum} {
		if p := n.planWith(view, size); p != nil {
			return p
		}
	}
	return nil
}

// candidate is an endpoint with the memory that a plan may use of it.
type candidate struct {
	EndpointMemory
	tokens uint64
}

// planWith plans with the memory that size returns for each endpoint.
func (n PlanRequest) planWith(view []EndpointMemory, size func(EndpointMemory) uint64) Plan {
	var candidates []candidate
	for _, r := range view {
		if tokens := size(r); tokens > 0 {
			candidates = append(candidates, candidate{r, tokens})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return n.compareCandidates(a, b) })
	if n.LastEndpoint != "" && (len(candidates) == 0 || candidates[0].Endpoint != n.LastEndpoint) {
		return nil
	}
	for k := 2; k <= min(len(candidates), MaxMembers); k++ {
		if p := n.split(n.spanOrder(candidates[:k])); p != nil {
			return p
		}
	}
	return nil
}

// compareCandidates orders endpoints by how preferable they are as members.
func (n PlanRequest) compareCandidates(a, b candidate) int {
	last := func(r candidate) int { return trueFirst(n.LastEndpoint != "" && r.Endpoint == n.LastEndpoint) }
	bucket := func(r candidate) uint64 { return r.available() * availabilityBuckets / max(r.Limit, 1) }
	return cmp.Or(
		cmp.Compare(last(a), last(b)),
		cmp.Compare(trueFirst(!a.Avoid), trueFirst(!b.Avoid)),
		cmp.Compare(trueFirst(a.SameDataCentre), trueFirst(b.SameDataCentre)),
		cmp.Compare(bucket(b), bucket(a)),
		cmp.Compare(a.Wait, b.Wait),
		cmp.Compare(a.Endpoint, b.Endpoint),
	)
}

// trueFirst returns a sort key that orders true before false.
func trueFirst(b bool) int {
	if b {
		return 0
	}
	return 1
}

// spanOrder returns the chosen endpoints in the order of their spans: those with the most
// free memory first, so that running work at the others has time to end.
func (n PlanRequest) spanOrder(chosen []candidate) []candidate {
	out := slices.Clone(chosen)
	slices.SortFunc(out, func(a, b candidate) int {
		last := func(r candidate) int { return 1 - trueFirst(n.LastEndpoint != "" && r.Endpoint == n.LastEndpoint) }
		return cmp.Or(
			cmp.Compare(last(a), last(b)),
			cmp.Compare(b.Free, a.Free),
			cmp.Compare(a.Endpoint, b.Endpoint),
		)
	})
	return out
}

// split finds the smallest bound on each member's memory with which the prompt still fits,
// and splits the prompt accordingly.
func (n PlanRequest) split(candidates []candidate) Plan {
	var largest uint64
	for _, r := range candidates {
		largest = max(largest, r.tokens)
	}
	best := n.assign(candidates, largest)
	if best == nil {
		return nil
	}
	low, high := uint64(0), largest
	for high-low > prefix.BlockTokens {
		middle := (low + high) / 2
		if p := n.assign(candidates, middle); p != nil {
			best, high = p, middle
		} else {
			low = middle
		}
	}
	return best
}

// assign gives each endpoint in turn as much of the prompt as fits within the bound. The
// last one must get the rest, which must not be empty.
func (n PlanRequest) assign(candidates []candidate, bound uint64) Plan {
	var p Plan
	var start uint64
	for i, r := range candidates {
		size := min(r.tokens, bound)
		imported := (start + n.ImportDivisor - 1) / n.ImportDivisor
		if i == len(candidates)-1 {
			m := n.member(r.Endpoint, start, n.Prompt-start, imported+n.Output)
			if m.ReserveTokens > size {
				return nil
			}
			return append(p, m)
		}
		span := maxSpan(size, imported)
		if span == 0 || start+span >= n.Prompt {
			return nil
		}
		p = append(p, n.member(r.Endpoint, start, span, imported))
		start += span
	}
	return nil
}

// maxSpan returns the longest span of whole blocks that fits beside the imported tokens,
// with the margin.
func maxSpan(size, imported uint64) uint64 {
	usable := size * marginDivisor / (marginDivisor + 1)
	if usable <= imported {
		return 0
	}
	return (usable - imported) / prefix.BlockTokens * prefix.BlockTokens
}

// member returns a member whose reservation includes the margin.
func (n PlanRequest) member(endpoint string, start, span, extra uint64) Member {
	need := span + extra
	return Member{Endpoint: endpoint, Start: start, Tokens: span, ReserveTokens: need + need/marginDivisor}
}
