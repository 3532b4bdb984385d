package relay

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/micarudder/micarudder/peers"
	"github.com/micarudder/micarudder/quarantine"
)

// QuarantineStore keeps what stands against requests that crash endpoints beyond the life
// of all gateways.
type QuarantineStore interface {
	// Quarantined returns all that is kept.
	Quarantined(ctx context.Context) ([]quarantine.Entry, error)
	// KeepQuarantined keeps an entry, in place of an older one, for so long.
	KeepQuarantined(ctx context.Context, e quarantine.Entry, life time.Duration) error
	// DropQuarantined removes an entry.
	DropQuarantined(ctx context.Context, f quarantine.Fingerprint) error
}

const (
	// keptFor is how long an entry is kept after the newest crash: the longest that a
	// lease of the store lasts. It is needed only if all gateways start again.
	keptFor = 10 * time.Minute
	// keepAgain is the pause after an entry could not be kept, or recalled.
	keepAgain = time.Second
	// mostToKeep bounds the requests whose entries wait to be kept.
	mostToKeep = 64
)

// quarantined is the gateway's table of requests that crash endpoints.
type quarantined struct {
	// known is the number of requests in the table: while there are none, a request costs
	// nothing.
	known atomic.Int64
	// speaks is set while this gateway tells other cells what its own knows.
	speaks atomic.Bool
	// turn says which other cell is told next what stands against quarantined requests; it
	// belongs to whoever tells.
	turn int
	// toKeep are requests whose entry in the store is out of date.
	toKeep chan quarantine.Fingerprint

	mu    sync.Mutex
	table *quarantine.Table
}

func newQuarantined() *quarantined {
	return &quarantined{table: quarantine.NewTable(), toKeep: make(chan quarantine.Fingerprint, mostToKeep)}
}

// change runs do on the table.
func (q *quarantined) change(do func(t *quarantine.Table)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	do(q.table)
	q.known.Store(int64(q.table.Len()))
}

// mayKnow reports whether there may be something to say of a request.
func (q *quarantined) mayKnow(r *quarantine.Request) bool {
	if q.known.Load() == 0 {
		return false
	}
	head := r.Head()
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.MayKnow(head)
}

func (q *quarantined) verdict(f quarantine.Fingerprint, now time.Time) quarantine.Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Verdict(f, now)
}

// entry returns what to keep of a request; ok is false when it is not quarantined.
func (q *quarantined) entry(f quarantine.Fingerprint, now time.Time) (e quarantine.Entry, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Entry(f), q.table.Verdict(f, now).Quarantined()
}

// fingerprints returns the quarantined requests.
func (q *quarantined) fingerprints(now time.Time) []quarantine.Fingerprint {
	if q.known.Load() == 0 {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Quarantined(now)
}

// work returns what makes this request the same work as another one.
func (x *exchange) work() *quarantine.Request {
	r := &quarantine.Request{Method: x.r.Method, Host: x.r.Host, Target: x.r.RequestURI, Body: x.body}
	if x.workspace != nil {
		r.Workspace = x.workspace.Name
	}
	return r
}

// identity returns the request's fingerprint. It is worked out only where it is needed: a
// prompt of a million tokens has megabytes.
func (x *exchange) identity() quarantine.Fingerprint {
	if x.fingerprint == nil {
		f := x.work().Fingerprint()
		x.fingerprint = &f
	}
	return *x.fingerprint
}

// knownFingerprint returns the fingerprint as it stands in logs; empty: it was not needed.
func (x *exchange) knownFingerprint() string {
	if x.fingerprint == nil {
		return ""
	}
	return x.fingerprint.String()
}

// crashed takes in that the endpoint crashed while the request was on it.
func (x *exchange) crashed(at *place) {
	g, f, now := x.g, x.identity(), time.Now()
	var before, after quarantine.Verdict
	g.quarantined.change(func(t *quarantine.Table) {
		before = t.Verdict(f, now)
		t.Crashed(f, quarantine.Crash{Endpoint: quarantine.IncarnationOf(at.endpoint.ID, at.endpoint.Born), Begun: x.begun, At: now}, now)
		after = t.Verdict(f, now)
	})
	g.tellOfCrashes()
	if !after.Quarantined() {
		return
	}
	if !before.Quarantined() {
		g.meter.quarantines.Inc()
		g.deps.Log.Logger().Warn("Request quarantined.", "fingerprint", f, "request", x.call.ID, "workspace", x.work().Workspace, "route", x.route.Name,
			"crashed_before", after.Before, "crashed_within", after.Within, "for", after.Until.Sub(now))
	}
	g.keep(f)
}

// served takes in that the endpoint ended the request well. An endpoint's failure is no such
// end: it may not have begun.
func (x *exchange) served(at *place) {
	g := x.g
	if x.status/100 != 2 || !g.quarantined.mayKnow(x.work()) {
		return
	}
	f, now := x.identity(), time.Now()
	var before, after quarantine.Verdict
	fresh := false
	g.quarantined.change(func(t *quarantine.Table) {
		before = t.Verdict(f, now)
		fresh = t.Served(f, quarantine.IncarnationOf(at.endpoint.ID, at.endpoint.Born), now)
		after = t.Verdict(f, now)
	})
	if !fresh {
		return
	}
	g.tellOfCrashes()
	if before.Quarantined() && !after.Quarantined() {
		g.cleared(f, after, x.call.ID)
	}
}

// cleared takes in that a request is not quarantined any more. id is the copy that ended
// well; empty: an operator cleared it.
func (g *Gateway) cleared(f quarantine.Fingerprint, v quarantine.Verdict, id string) {
	g.deps.Log.Logger().Info("Request cleared.", "fingerprint", f, "request", id, "crashed_before", v.Before, "crashed_within", v.Within, "ended_well", v.Good)
	g.keep(f)
}

// admissible reports whether the request may be sent as far as crashes of endpoints go. One
// that is quarantined is refused with the time until it may be sent again, or told that it
// may have run.
func (x *exchange) admissible() (outcome, bool) {
	q := x.g.quarantined
	if !q.mayKnow(x.work()) {
		return "", true
	}
	now := time.Now()
	v := q.verdict(x.identity(), now)
	if !v.Quarantined() {
		return "", true
	}
	x.g.deps.Log.Request("Not sent: quarantined.", "request", x.call.ID, "fingerprint", x.identity(),
		"crashed_before", v.Before, "crashed_within", v.Within, "for", v.Until.Sub(now))
	if x.mayRun {
		return x.giveUp(quarantinedEnd), false
	}
	return x.refuse(http.StatusServiceUnavailable, v.Until.Sub(now).Truncate(time.Second), quarantinedEnd), false
}

// heardCrashes takes in what a peer tells of crashes.
func (g *Gateway) heardCrashes(w peers.Word) {
	if len(w.Crashes) == 0 {
		return
	}
	now := time.Now()
	var list []quarantine.Fingerprint
	fresh := 0
	g.quarantined.change(func(t *quarantine.Table) {
		list, fresh = t.Hear(w.Crashes, g.fromAfar(w), now)
	})
	for _, f := range list {
		v := g.quarantined.verdict(f, now)
		g.deps.Log.Logger().Warn("Request quarantined.", "fingerprint", f, "peer", w.From,
			"crashed_before", v.Before, "crashed_within", v.Within, "for", v.Until.Sub(now))
	}
	if fresh > 0 && g.quarantined.speaks.Load() {
		g.tellNews()
	}
}

// keep makes the entry of a request in the store follow the table soon.
func (g *Gateway) keep(f quarantine.Fingerprint) {
	select {
	case g.quarantined.toKeep <- f:
	default:
		g.deps.Log.Logger().Warn("A quarantined request is not kept in the store: too many wait.", "fingerprint", f)
	}
}

// keepQuarantined makes the store's entries follow the table until the gateway is closed.
// The gateway that saw the crash does that; if it dies first, the others still know.
func (g *Gateway) keepQuarantined() {
	pending := make(map[quarantine.Fingerprint]bool)
	for {
		var again <-chan time.Time
		if len(pending) > 0 {
			again = time.After(keepAgain)
		}
		select {
		case <-g.ctx.Done():
			return
		case f := <-g.quarantined.toKeep:
			pending[f] = true
		case <-again:
		}
		for f := range pending {
			if err := g.keepNow(f); err != nil {
				g.meter.storeFailures.Inc()
				g.deps.Log.Logger().Warn("A quarantined request was not kept in the store.", "fingerprint", f, "err", err)
				continue
			}
			delete(pending, f)
		}
	}
}

// keepNow makes one entry follow the table.
func (g *Gateway) keepNow(f quarantine.Fingerprint) error {
	ctx, cancel := context.WithTimeout(g.ctx, readTime)
	defer cancel()
	e, ok := g.quarantined.entry(f, time.Now())
	if !ok {
		return g.deps.Source.DropQuarantined(ctx, f)
	}
	return g.deps.Source.KeepQuarantined(ctx, e, keptFor)
}

// recallQuarantined takes in what the store keeps; a process that starts knows nothing, and
// perhaps no other one does. Where the store is away it waits until somebody reads it again.
func (g *Gateway) recallQuarantined() {
	for {
		ctx, cancel := context.WithTimeout(g.ctx, readTime)
		entries, err := g.deps.Source.Quarantined(ctx)
		cancel()
		if err == nil {
			g.recall(entries)
			return
		}
		g.deps.Log.Logger().Warn("The quarantined requests could not be recalled.", "err", err)
		for wait := true; wait; wait = g.proofAge() > takeOver {
			if !g.pause(keepAgain) {
				return
			}
		}
	}
}

func (g *Gateway) recall(entries []quarantine.Entry) {
	if len(entries) == 0 {
		return
	}
	now := time.Now()
	g.quarantined.change(func(t *quarantine.Table) {
		for _, e := range entries {
			t.Recall(e, now)
		}
	})
	g.deps.Log.Logger().Info("Quarantined requests recalled.", "requests", len(entries))
}

// PathQuarantine is where a gateway's peer address tells operators what stands against
// requests; a DELETE of a fingerprint below it clears that request everywhere.
const PathQuarantine = "/peer/quarantine"

// serveQuarantine lists what stands against requests.
func (g *Gateway) serveQuarantine(w http.ResponseWriter, _ *http.Request) {
	var list []quarantine.Listing
	g.quarantined.change(func(t *quarantine.Table) { list = t.List(time.Now()) })
	g.answerPeer(w, list)
}

// serveClear clears a request on an operator's word.
func (g *Gateway) serveClear(w http.ResponseWriter, r *http.Request) {
	f, err := quarantine.ParseFingerprint(r.PathValue("fingerprint"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	known := false
	g.quarantined.change(func(t *quarantine.Table) { known = t.Clear(f, time.Now()) })
	if !known {
		http.Error(w, "nothing stands against it", http.StatusNotFound)
		return
	}
	g.tellOfCrashes()
	g.cleared(f, quarantine.Verdict{}, "")
}

// tellOfCrashes makes the next words to the peers go out soon.
func (g *Gateway) tellOfCrashes() {
	g.picker.callPeers()
	if g.quarantined.speaks.Load() {
		g.tellNews()
	}
}
