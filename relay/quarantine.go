package relay

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/micarudder/micarudder/peers"
	"github.com/micarudder/micarudder/quarantine"
)

// QuarantineStore persists the quarantine entries of requests that crash endpoints, so that they
// outlive a restart of all gateways.
type QuarantineStore interface {
	// Quarantined returns all stored entries.
	Quarantined(ctx context.Context) ([]quarantine.Entry, error)
	// StoreQuarantined stores an entry for the given time and replaces an older one of the same
	// request.
	StoreQuarantined(ctx context.Context, e quarantine.Entry, ttl time.Duration) error
	// DropQuarantined removes an entry.
	DropQuarantined(ctx context.Context, f quarantine.Fingerprint) error
}

const (
	// storedEntryTTL is how long an entry stays in the store after the newest crash: the longest
	// lease of the store. It is needed only if all gateways restart.
	storedEntryTTL = 10 * time.Minute
	// storeRetryDelay is the pause after an entry could not be stored, or the entries could not be
	// loaded.
	storeRetryDelay = time.Second
	// maxPendingEntries bounds the requests whose entries wait to be stored.
	maxPendingEntries = 64
)

// quarantineTable is the gateway's shared table of requests that crash endpoints.
type quarantineTable struct {
	// count is the number of requests in the table; while it is zero, the check of a request costs
	// nothing.
	count atomic.Int64
	// representative is set while this gateway forwards the reports of the local cell to other cells.
	representative atomic.Bool
	// nextCell selects the other cell to which the reports on quarantined requests are repeated
	// next; only the goroutine that sends peer messages uses it.
	nextCell int
	// pendingEntries holds requests whose stored entry is out of date.
	pendingEntries chan quarantine.Fingerprint

	mu    sync.Mutex
	table *quarantine.Table
}

func newQuarantineTable() *quarantineTable {
	return &quarantineTable{table: quarantine.NewTable(), pendingEntries: make(chan quarantine.Fingerprint, maxPendingEntries)}
}

// change runs do on the table under the lock.
func (q *quarantineTable) change(do func(t *quarantine.Table)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	do(q.table)
	q.count.Store(int64(q.table.Len()))
}

// mayContain reports whether the table may hold an entry for a request.
func (q *quarantineTable) mayContain(r *quarantine.Request) bool {
	if q.count.Load() == 0 {
		return false
	}
	head := r.Head()
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.MayContain(head)
}

func (q *quarantineTable) verdict(f quarantine.Fingerprint, now time.Time) quarantine.Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Verdict(f, now)
}

// entry returns the entry to store for a request; ok is false if it is not quarantined.
func (q *quarantineTable) entry(f quarantine.Fingerprint, now time.Time) (e quarantine.Entry, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Entry(f), q.table.Verdict(f, now).Quarantined()
}

// fingerprints returns the quarantined requests.
func (q *quarantineTable) fingerprints(now time.Time) []quarantine.Fingerprint {
	if q.count.Load() == 0 {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Quarantined(now)
}

// fingerprintInput returns the parts of the request that identify it across retries and callers.
func (x *exchange) fingerprintInput() *quarantine.Request {
	r := &quarantine.Request{Method: x.r.Method, Host: x.r.Host, Target: x.r.RequestURI, Body: x.body}
	if x.workspace != nil {
		r.Workspace = x.workspace.Name
	}
	return r
}

// requestFingerprint returns the request's fingerprint. It is computed only on demand: a prompt of
// a million tokens has megabytes.
func (x *exchange) requestFingerprint() quarantine.Fingerprint {
	if x.fingerprint == nil {
		f := x.fingerprintInput().Fingerprint()
		x.fingerprint = &f
	}
	return *x.fingerprint
}

// knownFingerprint returns the fingerprint for the log, or an empty string if it was not computed.
func (x *exchange) knownFingerprint() string {
	if x.fingerprint == nil {
		return ""
	}
	return x.fingerprint.String()
}

// recordCrash records that an endpoint crashed while it had a request. An endpoint that was draining, as this
// gateway may have learned since the exchange broke, ended as announced, whatever requests it still had.
func (g *Gateway) recordCrash(b brokenExchange) {
	_, known := g.state.CellOf(b.endpoint.ID)
	if _, inUse := g.state.Endpoint(b.endpoint.ID); !b.inUse || known && !inUse {
		return
	}
	f, now := b.fingerprint, time.Now()
	var before, after quarantine.Verdict
	g.quarantine.change(func(t *quarantine.Table) {
		before = t.Verdict(f, now)
		t.RecordCrash(f, quarantine.Crash{Endpoint: quarantine.IncarnationOf(b.endpoint.ID, b.endpoint.Born), Begun: b.begun, At: b.at}, now)
		after = t.Verdict(f, now)
	})
	g.deps.Log.Request("Crash counted.", "request", b.request, "fingerprint", f, "endpoint", b.endpoint.ID, "born", b.endpoint.Born, "begun", b.begun,
		"after_ms", now.Sub(b.at).Milliseconds(), "crashed_before", after.CrashesBefore, "crashed_within", after.CrashesWithin)
	g.announceCrashes()
	if !after.Quarantined() {
		return
	}
	if !before.Quarantined() {
		g.meter.quarantines.Inc()
		g.logQuarantined(f, after, now, "request", b.request, "workspace", b.workspace, "route", b.route)
	}
	g.scheduleStore(f)
}

// recordSuccess records that the endpoint completed the request. A failure that the endpoint
// reports does not count, since the request may not have started there.
func (x *exchange) recordSuccess(pl *placement) {
	g := x.g
	if x.status/100 != 2 || !g.quarantine.mayContain(x.fingerprintInput()) {
		return
	}
	f, now := x.requestFingerprint(), time.Now()
	var before, after quarantine.Verdict
	isNew := false
	g.quarantine.change(func(t *quarantine.Table) {
		before = t.Verdict(f, now)
		isNew = t.RecordSuccess(f, quarantine.IncarnationOf(pl.endpoint.ID, pl.endpoint.Born), quarantine.AddressOf(pl.endpoint.Address), now)
		after = t.Verdict(f, now)
	})
	if !isNew {
		return
	}
	g.deps.Log.Request("A request that is suspected of crashes was completed.", "request", x.call.ID, "fingerprint", f, "endpoint", pl.endpoint.ID, "born", pl.endpoint.Born,
		"crashed_before", after.CrashesBefore, "crashed_within", after.CrashesWithin, "ended_well", after.Successes)
	g.announceCrashes()
	if before.Quarantined() && !after.Quarantined() {
		g.handleCleared(f, after, "request", x.call.ID)
	}
}

// handleCleared logs and stores that a request is no longer quarantined; cause holds log fields.
func (g *Gateway) handleCleared(f quarantine.Fingerprint, v quarantine.Verdict, cause ...any) {
	g.logVerdict(log.InfoLevel, "Request cleared.", f, v, append(cause, "ended_well", v.Successes)...)
	g.scheduleStore(f)
}

// logQuarantined logs that a request became quarantined; cause holds log fields.
func (g *Gateway) logQuarantined(f quarantine.Fingerprint, v quarantine.Verdict, now time.Time, cause ...any) {
	g.logVerdict(log.WarnLevel, "Request quarantined.", f, v, append(cause, "for", v.Until.Sub(now))...)
}

// logVerdict logs a verdict with the endpoints that crashed under the request and those that
// completed it.
func (g *Gateway) logVerdict(level log.Level, msg string, f quarantine.Fingerprint, v quarantine.Verdict, more ...any) {
	var crashed, completed []quarantine.Incarnation
	g.quarantine.change(func(t *quarantine.Table) { crashed, completed = t.Evidence(f) })
	g.deps.Log.Logger().Log(level, msg, append([]any{"fingerprint", f, "crashed_before", v.CrashesBefore, "crashed_within", v.CrashesWithin,
		"crashed_at", g.incarnationNames(crashed), "completed_at", g.incarnationNames(completed)}, more...)...)
}

// incarnationNames returns incarnations for the log: the endpoint's id and start, or a number if
// this gateway knows no such endpoint any more.
func (g *Gateway) incarnationNames(incarnations []quarantine.Incarnation) []string {
	known := make(map[quarantine.Incarnation]string)
	for _, s := range g.state.Services() {
		for _, e := range g.state.Endpoints(s.Name) {
			known[quarantine.IncarnationOf(e.ID, e.Born)] = fmt.Sprintf("%s@%d", e.ID, e.Born)
		}
	}
	out := make([]string, len(incarnations))
	for i, n := range incarnations {
		out[i] = cmp.Or(known[n], fmt.Sprintf("%x", uint64(n)))
	}
	return out
}

// checkQuarantine reports whether the request may be sent. A quarantined request is refused with
// the time until it may be sent again, or, if it was sent before, with the response that it may have
// run.
func (x *exchange) checkQuarantine() (outcome, bool) {
	q := x.g.quarantine
	if !q.mayContain(x.fingerprintInput()) {
		return "", true
	}
	now := time.Now()
	v := q.verdict(x.requestFingerprint(), now)
	if !v.Quarantined() {
		return "", true
	}
	x.g.deps.Log.Request("Not sent: quarantined.", "request", x.call.ID, "fingerprint", x.requestFingerprint(),
		"crashed_before", v.CrashesBefore, "crashed_within", v.CrashesWithin, "for", v.Until.Sub(now))
	if x.mayRun {
		return x.giveUp(quarantinedOutcome), false
	}
	return x.refuse(http.StatusServiceUnavailable, v.Until.Sub(now).Truncate(time.Second), quarantinedOutcome), false
}

// handleCrashReports processes the crash reports in a peer's message.
func (g *Gateway) handleCrashReports(msg peers.Message) {
	if len(msg.CrashReports) == 0 {
		return
	}
	now := time.Now()
	var applied quarantine.Applied
	g.quarantine.change(func(t *quarantine.Table) { applied = t.Apply(msg.CrashReports, g.fromOtherCell(msg), now) })
	for _, f := range applied.Quarantined {
		g.logQuarantined(f, g.quarantine.verdict(f, now), now, "peer", msg.From)
	}
	for _, f := range applied.Cleared {
		v := g.quarantine.verdict(f, now)
		g.logVerdict(log.InfoLevel, "Request cleared.", f, v, "peer", msg.From, "ended_well", v.Successes)
	}
	if g.quarantine.representative.Load() && !g.fromOtherCell(msg) {
		// The gateway that saw the crashes may end before it reaches the store.
		for _, f := range slices.Concat(applied.Quarantined, applied.Cleared) {
			g.scheduleStore(f)
		}
	}
	if applied.New > 0 && g.quarantine.representative.Load() {
		g.broadcastSoon()
	}
}

// scheduleStore schedules an update of the stored entry of a request.
func (g *Gateway) scheduleStore(f quarantine.Fingerprint) {
	select {
	case g.quarantine.pendingEntries <- f:
	default:
		g.deps.Log.Logger().Warn("Quarantined request not stored: too many entries are pending.", "fingerprint", f)
	}
}

// storeQuarantined updates the stored entries from the table until the gateway is closed. The
// gateway that saw the crash does this, and when a verdict changes also the representatives of its cell.
func (g *Gateway) storeQuarantined() {
	pending := make(map[quarantine.Fingerprint]bool)
	for {
		var retry <-chan time.Time
		if len(pending) > 0 {
			retry = time.After(storeRetryDelay)
		}
		select {
		case <-g.ctx.Done():
			return
		case f := <-g.quarantine.pendingEntries:
			pending[f] = true
		case <-retry:
		}
		for f := range pending {
			if err := g.storeEntry(f); err != nil {
				g.meter.storeFailures.Inc()
				g.deps.Log.Logger().Warn("A quarantined request was not kept in the store.", "fingerprint", f, "err", err)
				continue
			}
			delete(pending, f)
		}
	}
}

// storeEntry updates one stored entry from the table.
func (g *Gateway) storeEntry(f quarantine.Fingerprint) error {
	ctx, cancel := context.WithTimeout(g.ctx, readTimeout)
	defer cancel()
	e, ok := g.quarantine.entry(f, time.Now())
	if !ok {
		return g.deps.Source.DropQuarantined(ctx, f)
	}
	return g.deps.Source.StoreQuarantined(ctx, e, storedEntryTTL)
}

// loadQuarantined loads the stored entries. A process that starts knows of no crashes, and possibly
// no other process does. While the store cannot be reached it waits until some gateway has read the
// store again.
func (g *Gateway) loadQuarantined() {
	for {
		ctx, cancel := context.WithTimeout(g.ctx, readTimeout)
		entries, err := g.deps.Source.Quarantined(ctx)
		cancel()
		if err == nil {
			g.applyStoredEntries(entries)
			return
		}
		g.deps.Log.Logger().Warn("The quarantined requests could not be recalled.", "err", err)
		for wait := true; wait; wait = g.proofAge() > takeoverAge {
			if !g.pause(storeRetryDelay) {
				return
			}
		}
	}
}

func (g *Gateway) applyStoredEntries(entries []quarantine.Entry) {
	if len(entries) == 0 {
		return
	}
	now := time.Now()
	g.quarantine.change(func(t *quarantine.Table) {
		for _, e := range entries {
			t.Restore(e, now)
		}
	})
	g.deps.Log.Logger().Info("Quarantined requests recalled.", "requests", len(entries))
}

// PathQuarantine is the path on a gateway's peer address under which operators list the suspected
// and quarantined requests. A DELETE of a fingerprint below it clears that request at all gateways.
const PathQuarantine = "/peer/quarantine"

// serveQuarantine lists the requests in the table.
func (g *Gateway) serveQuarantine(w http.ResponseWriter, _ *http.Request) {
	var list []quarantine.Listing
	g.quarantine.change(func(t *quarantine.Table) { list = t.List(time.Now()) })
	g.writePeerResponse(w, list)
}

// serveClear clears a request for an operator.
func (g *Gateway) serveClear(w http.ResponseWriter, r *http.Request) {
	f, err := quarantine.ParseFingerprint(r.PathValue("fingerprint"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	known := false
	g.quarantine.change(func(t *quarantine.Table) { known = t.Clear(f, time.Now()) })
	if !known {
		http.Error(w, "nothing stands against it", http.StatusNotFound)
		return
	}
	g.announceCrashes()
	g.handleCleared(f, quarantine.Verdict{}, "operator", true)
}

// announceCrashes schedules messages to the peers.
func (g *Gateway) announceCrashes() {
	g.picker.notifyPeers()
	if g.quarantine.representative.Load() {
		g.broadcastSoon()
	}
}
