// Package fairshare decides how far the use of each workspace exceeds its due share of a service while
// callers compete for it. Use is counted over all gateways and decays, so that a workspace is held
// back for a few seconds after a surge. All workspaces are due the same share.
package fairshare

import (
	"math"
	"time"
)

const (
	// halfLife is the time in which recorded use loses half of its weight.
	halfLife = 5 * time.Second
	// activeFor is how long after it last used anything a workspace is counted among those that
	// compete.
	activeFor = 5 * time.Second
	// peerTTL is how long the last report of another gateway remains valid.
	peerTTL = 2 * time.Second
	// minUse is the use in milliseconds below which a record is dropped once its workspace is no
	// longer active.
	minUse = 1
	// highRatio is the ratio of use to the due share above which the level is the highest.
	highRatio = 2
)

// The levels of use that Ledger.Level returns.
const (
	WithinShare   = 0 // at most the due share
	AboveShare    = 1 // up to twice the due share
	FarAboveShare = 2
)

// record is the decayed use of a workspace by this gateway.
type record struct {
	ms        float64
	decayedAt time.Time
	chargedAt time.Time
}

// decay reduces the use to what it counts at a time.
func (r *record) decay(now time.Time) {
	if d := now.Sub(r.decayedAt); d > 0 {
		r.ms *= math.Exp2(-d.Seconds() / halfLife.Seconds())
		r.decayedAt = now
	}
}

// peerUse is another gateway's last report.
type peerUse struct {
	receivedAt time.Time
	use        map[string]float64
}

// Ledger holds the use by workspace. It is not safe for concurrent use.
type Ledger struct {
	local map[string]*record
	peers map[string]peerUse
	// active holds when a workspace last used anything at any gateway.
	active map[string]time.Time
	// sums and due are the total use by workspace and the due share, as of summedAt.
	sums     map[string]float64
	due      float64
	summedAt time.Time
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{local: make(map[string]*record), peers: make(map[string]peerUse), active: make(map[string]time.Time)}
}

// Charge records engine time that a request of a workspace has used.
func (l *Ledger) Charge(workspace string, cost time.Duration, now time.Time) {
	if cost <= 0 {
		return
	}
	r := l.local[workspace]
	if r == nil {
		r = &record{decayedAt: now}
		l.local[workspace] = r
	}
	r.decay(now)
	r.ms += float64(cost) / float64(time.Millisecond)
	r.chargedAt = now
	l.active[workspace] = now
	l.summedAt = time.Time{}
}

// tolerance is the part of the due share by which reports may deviate because they are rounded.
const tolerance = 0.01

// sumInterval is how long sums are reused. Reports of other gateways are older than that, and a
// choice should not add up the reports of all gateways again.
const sumInterval = 20 * time.Millisecond

// Level returns how far the use of a workspace exceeds its due share.
func (l *Ledger) Level(workspace string, now time.Time) int {
	if l.summedAt.IsZero() || now.Sub(l.summedAt) >= sumInterval {
		l.sum(now)
	}
	use, due := l.sums[workspace], l.due*(1+tolerance)
	switch {
	case use <= due:
		return WithinShare
	case use <= highRatio*due:
		return AboveShare
	default:
		return FarAboveShare
	}
}

// sum adds up the use and computes the due share.
func (l *Ledger) sum(now time.Time) {
	l.expire(now)
	l.sums, l.summedAt = make(map[string]float64, len(l.active)), now
	for name, r := range l.local {
		r.decay(now)
		l.sums[name] += r.ms
	}
	for _, p := range l.peers {
		decayed := math.Exp2(-now.Sub(p.receivedAt).Seconds() / halfLife.Seconds())
		for name, ms := range p.use {
			l.sums[name] += decayed * ms
		}
	}
	if len(l.active) == 0 {
		l.due = math.Inf(1)
		return
	}
	total := 0.0
	for name := range l.active {
		total += l.sums[name]
	}
	l.due = total / float64(len(l.active))
}

// expire drops what no longer counts.
func (l *Ledger) expire(now time.Time) {
	for name, at := range l.active {
		if now.Sub(at) > activeFor {
			delete(l.active, name)
		}
	}
	for name, r := range l.local {
		if r.decay(now); r.ms < minUse && now.Sub(r.chargedAt) > activeFor {
			delete(l.local, name)
		}
	}
	for name, p := range l.peers {
		if now.Sub(p.receivedAt) > peerTTL {
			delete(l.peers, name)
		}
	}
}

// Local returns the use by this gateway in milliseconds by workspace, for reporting to the others; nil
// if there is none.
func (l *Ledger) Local(now time.Time) map[string]float64 {
	l.expire(now)
	if len(l.local) == 0 {
		return nil
	}
	out := make(map[string]float64, len(l.local))
	for name, r := range l.local {
		out[name] = math.Round(r.ms)
	}
	return out
}

// SetPeer records the use that another gateway reported, as returned by Local; the ledger keeps use.
// Use that is higher than that gateway's last report shows that the workspace is active.
func (l *Ledger) SetPeer(name string, use map[string]float64, now time.Time) {
	last := l.peers[name]
	for workspace, ms := range use {
		if math.IsNaN(ms) || ms < 0 || ms > maxUse {
			return // not from a gateway that works
		}
		if ms > last.use[workspace] {
			l.active[workspace] = now
		}
	}
	if len(use) == 0 {
		delete(l.peers, name)
	} else {
		l.peers[name] = peerUse{now, use}
	}
	l.summedAt = time.Time{}
}

// maxUse is the largest use in milliseconds that a gateway may report: a thousand hours.
const maxUse = 3.6e9
