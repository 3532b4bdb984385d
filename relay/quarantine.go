package relay

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
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

// quarantineTable is the gateway's table of requests that crash endpoints, and of such parts of prompts.
type quarantineTable struct {
	*quarantine.SyncTable
	// representative is set while this gateway forwards the reports of the local cell to other cells.
	representative atomic.Bool
	// nextCell selects the other cell to which the reports on quarantined requests are repeated
	// next; only the goroutine that sends peer messages uses it.
	nextCell int
	// pendingEntries holds requests whose stored entry is out of date.
	pendingEntries chan quarantine.Fingerprint
}

// newQuarantineTable returns an empty table of the gateway with the given name.
func newQuarantineTable(name string) *quarantineTable {
	return &quarantineTable{
		SyncTable: quarantine.NewSyncTable(xxhash.Sum64String(name)), pendingEntries: make(chan quarantine.Fingerprint, maxPendingEntries),
	}
}

// quarantineSubjects returns what crashes under the request count against.
func (x *exchange) quarantineSubjects() *quarantine.Subjects {
	if x.subjects == nil {
		request := quarantine.Request{Method: x.r.Method, Host: x.r.Host, Target: x.r.RequestURI, Body: x.body.Content()}
		if x.workspace != nil {
			request.Workspace = x.workspace.Name
		}
		x.subjects = &quarantine.Subjects{Request: request, Model: x.call.Model, SharedParts: x.call.SharedParts}
	}
	return x.subjects
}

// knownFingerprint returns the fingerprint for the log, or an empty string if it was not computed.
func (x *exchange) knownFingerprint() string {
	if x.subjects == nil {
		return ""
	}
	return x.subjects.KnownFingerprint()
}

// recordCrash records that an endpoint crashed while it had a request. An endpoint that was draining, as this
// gateway may have learned since the exchange broke, ended as announced, whatever requests it still had.
func (g *Gateway) recordCrash(b brokenExchange) {
	_, known := g.state.CellOf(b.endpoint.ID)
	if _, inUse := g.state.Endpoint(b.endpoint.ID); !b.inUse || known && !inUse {
		return
	}
	now := time.Now()
	crash := quarantine.Crash{Endpoint: quarantine.IncarnationOf(b.endpoint.ID, b.endpoint.Born), Begun: b.begun, At: b.at, Address: quarantine.AddressOf(b.endpoint.Address)}
	c := g.quarantine.RecordCrash(b.subjects, crash, now)
	g.deps.Log.Request("Crash counted.", "request", b.request, "fingerprint", b.subjects.Fingerprint(), "endpoint", b.endpoint.ID, "born", b.endpoint.Born, "begun", b.begun,
		"after_ms", now.Sub(b.at).Milliseconds(), "crashed_before", c.Request.CrashesBefore, "crashed_within", c.Request.CrashesWithin,
		"part", c.Part, "part_crashed_before", c.PartVerdict.CrashesBefore, "part_crashed_within", c.PartVerdict.CrashesWithin)
	g.announceCrashes()
	g.meter.quarantines.Add(len(c.Quarantined))
	g.handleVerdicts(c, now, "request", b.request, "parts", b.subjects.SharedParts, "workspace", b.workspace, "route", b.route)
	if c.Request.Quarantined() {
		g.scheduleStore(b.subjects.Fingerprint())
	}
	if c.PartVerdict.Quarantined() {
		g.scheduleStore(c.Part)
	}
}

// recordSuccess records that the endpoint completed the request. A failure that the endpoint
// reports does not count, since the request may not have started there.
func (x *exchange) recordSuccess(pl *placement) {
	g, now := x.g, time.Now()
	if pl.response.StatusCode/100 != 2 || g.quarantine.Len() == 0 {
		return
	}
	c := g.quarantine.RecordSuccess(x.quarantineSubjects(), quarantine.IncarnationOf(pl.endpoint.ID, pl.endpoint.Born), quarantine.AddressOf(pl.endpoint.Address), now)
	if !c.New {
		return
	}
	g.deps.Log.Request("A request that is suspected of crashes was completed.", "request", x.call.ID, "fingerprint", x.knownFingerprint(), "endpoint", pl.endpoint.ID, "born", pl.endpoint.Born,
		"crashed_before", c.Request.CrashesBefore, "crashed_within", c.Request.CrashesWithin, "ended_well", c.Request.Successes,
		"part", c.Part, "part_crashed_before", c.PartVerdict.CrashesBefore, "part_crashed_within", c.PartVerdict.CrashesWithin, "part_ended_well", c.PartVerdict.Successes)
	g.announceCrashes()
	g.handleVerdicts(c, now, "request", x.call.ID)
}

// handleVerdicts logs and stores the verdicts that an event of this gateway changed; cause holds log fields.
func (g *Gateway) handleVerdicts(c quarantine.Counted, now time.Time, cause ...any) {
	for _, f := range c.Quarantined {
		g.logQuarantined(f, g.quarantine.Verdict(f, now), now, cause...)
		g.scheduleStore(f)
	}
	for _, f := range c.Cleared {
		g.handleCleared(f, g.quarantine.Verdict(f, now), cause...)
	}
}

// handleCleared logs and stores that a request is no longer quarantined; cause holds log fields.
func (g *Gateway) handleCleared(f quarantine.Fingerprint, v quarantine.Verdict, cause ...any) {
	g.logVerdict(log.InfoLevel, "Request cleared.", f, v, append(cause, "ended_well", v.Successes)...)
	g.scheduleStore(f)
}

// logQuarantined logs that a request became quarantined; cause holds log fields.
func (g *Gateway) logQuarantined(f quarantine.Fingerprint, v quarantine.Verdict, now time.Time, cause ...any) {
	g.logVerdict(log.WarnLevel, "Request quarantined.", f, v, append(cause, "part", f.IsPart(), "for", v.Until.Sub(now))...)
}

// logVerdict logs a verdict with the endpoints that crashed under the request and those that
// completed it.
func (g *Gateway) logVerdict(level log.Level, msg string, f quarantine.Fingerprint, v quarantine.Verdict, more ...any) {
	var crashed, completed []quarantine.Incarnation
	g.quarantine.Change(func(t *quarantine.Table) { crashed, completed = t.Evidence(f) })
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

// quarantineCheck is quarantine.SyncTable.Check or, right before the request is sent, Admit.
type quarantineCheck func(*quarantine.Subjects, string, time.Time) (quarantine.Refusal, bool)

// checkQuarantine reports whether the request may be sent. A quarantined request is refused with
// the time until it may be sent again, or, if it was sent before, with the response that it may have
// run.
func (x *exchange) checkQuarantine(check quarantineCheck) (outcome, bool) {
	if x.g.quarantine.Len() == 0 {
		return "", true
	}
	now := time.Now()
	refusal, ok := check(x.quarantineSubjects(), x.call.ID, now)
	if ok {
		return "", true
	}
	x.g.deps.Log.Request("Not sent: quarantined.", "request", x.call.ID, "fingerprint", refusal.Fingerprint, "part", refusal.Fingerprint.IsPart(),
		"crashed_before", refusal.Verdict.CrashesBefore, "crashed_within", refusal.Verdict.CrashesWithin, "probation", refusal.Verdict.Probation, "for", refusal.Until.Sub(now))
	if x.mayRun {
		return x.giveUp(quarantinedOutcome), false
	}
	return x.refuse(http.StatusServiceUnavailable, max(time.Second, refusal.Until.Sub(now).Truncate(time.Second)), quarantinedOutcome), false
}

// handleCrashReports processes the crash reports in a peer's message.
func (g *Gateway) handleCrashReports(msg peers.Message) {
	if len(msg.CrashReports) == 0 {
		return
	}
	now := time.Now()
	var applied quarantine.Applied
	g.quarantine.Change(func(t *quarantine.Table) { applied = t.Apply(msg.CrashReports, g.fromOtherCell(msg), now) })
	for _, f := range applied.Quarantined {
		g.logQuarantined(f, g.quarantine.Verdict(f, now), now, "peer", msg.From)
	}
	for _, f := range applied.Cleared {
		v := g.quarantine.Verdict(f, now)
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
	e, ok := g.quarantine.Entry(f, time.Now())
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
	g.quarantine.Change(func(t *quarantine.Table) {
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
	g.quarantine.Change(func(t *quarantine.Table) { list = t.List(time.Now()) })
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
	g.quarantine.Change(func(t *quarantine.Table) { known = t.Clear(f, time.Now()) })
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
