package limits

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Demand is the recent use of one workspace at one gateway, refused requests included.
// Gateways report it to each other.
type Demand struct {
	Workspace         string
	RequestsPerSecond float64
	TokensPerSecond   float64
}

const (
	// demandTimeConstant is the time constant of recent use.
	demandTimeConstant = 5 * time.Second
	// peerTimeout is how long a peer's last report counts. After that its part goes to the
	// other gateways: the peer is down, or is cut off and serves nobody.
	peerTimeout = 30 * time.Second
	// evenFraction is the fraction of a limit that is split evenly, so that a gateway without
	// recent requests can admit the first ones immediately.
	evenFraction = 0.2
)

// peerReport is a peer's last report.
type peerReport struct {
	received time.Time
	uses     map[string]Demand
}

// demand is a decaying average of the requests and tokens asked for.
type demand struct {
	requests, tokens float64
	updated          time.Time
}

func (d *demand) add(tokens uint64, now time.Time) {
	d.decay(now)
	d.requests += 1 / demandTimeConstant.Seconds()
	d.tokens += float64(tokens) / demandTimeConstant.Seconds()
}

func (d *demand) decay(now time.Time) {
	factor := math.Exp(-float64(max(0, now.Sub(d.updated))) / float64(demandTimeConstant))
	d.requests *= factor
	d.tokens *= factor
	d.updated = now
}

// Demands returns this gateway's recent use of all limited workspaces, ordered by workspace,
// to be reported to its peers.
func (t *Table) Demands(now time.Time) []Demand {
	out := make([]Demand, 0, len(t.workspaces))
	for name, a := range t.workspaces {
		if a.limit == (Limit{}) {
			continue
		}
		a.demand.decay(now)
		out = append(out, Demand{name, a.demand.requests, a.demand.tokens})
	}
	slices.SortFunc(out, func(a, b Demand) int { return strings.Compare(a.Workspace, b.Workspace) })
	return out
}

// RecordPeer records a peer's report of its recent use. A peer that reports no use still counts
// in the split.
func (t *Table) RecordPeer(name string, uses []Demand, now time.Time) {
	if name == t.self {
		return
	}
	r := peerReport{received: now, uses: make(map[string]Demand, len(uses))}
	for _, u := range uses {
		r.uses[u.Workspace] = u
	}
	t.peers[name] = r
	t.splitLimits(now)
}

// RemovePeer removes a peer that has announced that it is shutting down.
func (t *Table) RemovePeer(name string, now time.Time) {
	delete(t.peers, name)
	t.splitLimits(now)
}

// splitLimits sets every limit to this gateway's part. It is called on each report of a
// peer; the caller also calls Tick, so that silent peers lose their part.
func (t *Table) splitLimits(now time.Time) {
	for name, a := range t.workspaces {
		a.demand.decay(now)
		requests, tokens := t.shares(name, a, now)
		a.requests.setRate(a.limit.RequestsPerSecond*requests, now)
		a.tokens.setRate(a.limit.TokensPerSecond*tokens, now)
		a.maxInFlight = t.inFlightLimit(name, a, requests, now)
	}
}

// Tick removes peers that have been silent for longer than peerTimeout and splits the
// limits again. It is to be called periodically.
func (t *Table) Tick(now time.Time) {
	for name, r := range t.peers {
		if now.Sub(r.received) > peerTimeout {
			delete(t.peers, name)
		}
	}
	t.splitLimits(now)
}

// missingPeers returns the number of expected peers that may be up but have not been heard
// from yet.
func (t *Table) missingPeers(now time.Time) int {
	if now.Sub(t.started) > peerTimeout {
		return 0
	}
	return max(0, t.expectedPeers-len(t.peers))
}

// shares returns this gateway's share of a workspace's requests and tokens: an even part,
// and the rest by recent use. The shares of gateways with the same view sum to one. Peers
// that have not been heard from yet count with the same use as this gateway: otherwise
// gateways that start together would each give out the complete limit.
func (t *Table) shares(workspace string, a *account, now time.Time) (requests, tokens float64) {
	missing := float64(t.missingPeers(now))
	sum := Demand{RequestsPerSecond: missing * a.demand.requests, TokensPerSecond: missing * a.demand.tokens}
	for _, r := range t.peers {
		u := r.uses[workspace]
		sum.RequestsPerSecond += u.RequestsPerSecond
		sum.TokensPerSecond += u.TokensPerSecond
	}
	gateways := float64(len(t.peers)+1) + missing
	return share(a.demand.requests, sum.RequestsPerSecond, gateways),
		share(a.demand.tokens, sum.TokensPerSecond, gateways)
}

// share returns the share of a gateway with the given use among so many gateways.
func share(own, others, gateways float64) float64 {
	even := 1 / gateways
	if own+others <= 0 {
		return even
	}
	return evenFraction*even + (1-evenFraction)*own/(own+others)
}

// inFlightLimit returns how many requests may be in flight at this gateway, at least one
// if there is a limit; 0 means no limit. Gateways with the same view together give out no
// more than the limit, as long as that is one for each: their fractional parts are laid
// end to end in the order of the gateways' names, and each gateway gets the whole units
// that end within its own part.
func (t *Table) inFlightLimit(workspace string, a *account, share float64, now time.Time) int {
	limit := float64(a.limit.MaxInFlight)
	if limit <= 0 {
		return 0
	}
	if t.missingPeers(now) > 0 {
		return max(1, int(limit*share))
	}
	before := 0.0
	for name, r := range t.peers {
		if name < t.self {
			before += t.requestShare(r.uses[workspace].RequestsPerSecond, workspace, a)
		}
	}
	return max(1, wholeUnits((before+share)*limit)-wholeUnits(before*limit))
}

// roundingTolerance is the rounding error that a sum of parts may have.
const roundingTolerance = 1e-6

// wholeUnits returns the number of whole units in a sum of parts.
func wholeUnits(sum float64) int { return int(math.Floor(sum + roundingTolerance)) }

// requestShare returns the share of a workspace's requests of a gateway with the given
// use.
func (t *Table) requestShare(perSecond float64, workspace string, a *account) float64 {
	total := a.demand.requests
	for _, r := range t.peers {
		total += r.uses[workspace].RequestsPerSecond
	}
	return share(perSecond, total-perSecond, float64(len(t.peers)+1))
}
