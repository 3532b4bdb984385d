package limits

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Use is what one gateway was lately asked for by one workspace, refused
// requests included. Gateways tell it each other.
type Use struct {
	Workspace         string
	RequestsPerSecond float64
	TokensPerSecond   float64
}

const (
	// demandSpan is the time constant of recent use.
	demandSpan = 5 * time.Second
	// peerSpan is how long a peer's last word counts. After that its part goes
	// to the others: it is dead, or cut off and serves nobody.
	peerSpan = 30 * time.Second
	// evenPart is the part of a limit that is split evenly, so that a gateway
	// that was not asked lately can serve the first requests at once.
	evenPart = 0.2
)

// report is a peer's last word.
type report struct {
	at   time.Time
	uses map[string]Use
}

// demand is a decaying average of what was asked for.
type demand struct {
	requests, tokens float64
	at               time.Time
}

func (d *demand) add(tokens uint64, now time.Time) {
	d.decay(now)
	d.requests += 1 / demandSpan.Seconds()
	d.tokens += float64(tokens) / demandSpan.Seconds()
}

func (d *demand) decay(now time.Time) {
	keep := math.Exp(-float64(max(0, now.Sub(d.at))) / float64(demandSpan))
	d.requests *= keep
	d.tokens *= keep
	d.at = now
}

// Uses returns this gateway's recent use of what is limited, to be told to its
// peers, ordered by workspace.
func (t *Table) Uses(now time.Time) []Use {
	out := make([]Use, 0, len(t.workspaces))
	for name, a := range t.workspaces {
		if a.limit == (Limit{}) {
			continue
		}
		a.demand.decay(now)
		out = append(out, Use{name, a.demand.requests, a.demand.tokens})
	}
	slices.SortFunc(out, func(a, b Use) int { return strings.Compare(a.Workspace, b.Workspace) })
	return out
}

// Peer takes in what a peer said of its recent use. A peer without use is
// still one to share with.
func (t *Table) Peer(name string, uses []Use, now time.Time) {
	if name == t.self {
		return
	}
	r := report{at: now, uses: make(map[string]Use, len(uses))}
	for _, u := range uses {
		r.uses[u.Workspace] = u
	}
	t.peers[name] = r
	t.divide(now)
}

// PeerGone drops a peer that said that it leaves.
func (t *Table) PeerGone(name string, now time.Time) {
	delete(t.peers, name)
	t.divide(now)
}

// divide sets every limit to this gateway's part. It is called when a peer
// speaks; the caller also calls Tick so that silent peers lose theirs.
func (t *Table) divide(now time.Time) {
	for name, a := range t.workspaces {
		a.demand.decay(now)
		requests, tokens := t.shares(name, a, now)
		a.requests.setRate(a.limit.RequestsPerSecond*requests, now)
		a.tokens.setRate(a.limit.TokensPerSecond*tokens, now)
		a.mostInFlight = t.inFlightShare(name, a, requests, now)
	}
}

// Tick forgets peers that have been silent too long and divides again. It is
// called about once a second.
func (t *Table) Tick(now time.Time) {
	for name, r := range t.peers {
		if now.Sub(r.at) > peerSpan {
			delete(t.peers, name)
		}
	}
	t.divide(now)
}

// unheard returns how many gateways may be there of which nothing was heard yet.
func (t *Table) unheard(now time.Time) int {
	if now.Sub(t.begun) > peerSpan {
		return 0
	}
	return max(0, t.others-len(t.peers))
}

// shares returns this gateway's share of a workspace's requests and tokens:
// an even part, and the rest by recent use. Over gateways with the same view
// the shares sum to one. Those of which nothing was heard yet count as asked for as much as this one:
// gateways that start together would each give out the whole limit otherwise.
func (t *Table) shares(workspace string, a *account, now time.Time) (requests, tokens float64) {
	unheard := float64(t.unheard(now))
	sum := Use{RequestsPerSecond: unheard * a.demand.requests, TokensPerSecond: unheard * a.demand.tokens}
	for _, r := range t.peers {
		u := r.uses[workspace]
		sum.RequestsPerSecond += u.RequestsPerSecond
		sum.TokensPerSecond += u.TokensPerSecond
	}
	gateways := float64(len(t.peers)+1) + unheard
	return share(a.demand.requests, sum.RequestsPerSecond, gateways),
		share(a.demand.tokens, sum.TokensPerSecond, gateways)
}

func share(own, others, gateways float64) float64 {
	even := 1 / gateways
	if own+others <= 0 {
		return even
	}
	return evenPart*even + (1-evenPart)*own/(own+others)
}

// inFlightShare returns how many requests may be in flight here, at least one
// if there is a limit; 0 means no limit. Gateways with the same view give out no more than the limit together, as long as that is
// one for each: the parts are laid end to end in the order of the gateways' names, and each has the whole numbers that end in its own.
func (t *Table) inFlightShare(workspace string, a *account, share float64, now time.Time) int {
	most := float64(a.limit.MaxInFlight)
	if most <= 0 {
		return 0
	}
	if t.unheard(now) > 0 {
		return max(1, int(most*share))
	}
	before := 0.0
	for name, r := range t.peers {
		if name < t.self {
			before += t.shareOf(r.uses[workspace].RequestsPerSecond, workspace, a)
		}
	}
	return max(1, wholes((before+share)*most)-wholes(before*most))
}

// rounding is by how much a sum of parts may be off.
const rounding = 1e-6

// wholes returns the number of whole units in a sum of parts.
func wholes(sum float64) int { return int(math.Floor(sum + rounding)) }

// shareOf returns the share of the requests that falls to a gateway with that use.
func (t *Table) shareOf(perSecond float64, workspace string, a *account) float64 {
	all := a.demand.requests
	for _, r := range t.peers {
		all += r.uses[workspace].RequestsPerSecond
	}
	return share(perSecond, all-perSecond, float64(len(t.peers)+1))
}
