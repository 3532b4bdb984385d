package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/micarudder/micarudder/availability"
	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/eventstream"
	"github.com/micarudder/micarudder/heldmemory"
	"github.com/micarudder/micarudder/residual"
	"github.com/micarudder/micarudder/stall/monitor"
)

// placement is the placement of a request on endpoints, and the attempt that is made there. Its load counts
// until it ends.
type placement struct {
	picker        *picker
	endpoint      catalog.Endpoint
	helpers       []catalog.Endpoint
	memoryDemands []memoryDemand
	reservations  *reservations           // reserved for the attempt; nil if none
	ctx           context.Context         // of the attempt; ends early if its memory is released or its stream moves
	cancel        context.CancelCauseFunc // ends ctx; nil if its stream is not monitored
	stall         *monitor.Monitor[*placement]
	stallRecorded bool                 // whether a stall counts as a failure of the endpoint already
	response      *http.Response       // nil before its head has arrived
	memory        *heldmemory.Response // of the response; nil before the attempt
	responseBegun bool                 // whether a part of the response was delivered
	callerDelay   time.Duration        // longest that a part of the response has waited for the caller
	grant         *grant               // permits an attempt at an endpoint with a rate limit; nil if none
	sentRequest   availability.SentRequest
	loadBefore    balance.Load // load of the endpoint before this request
	// residual is the part of loadBefore of processes that are gone, and residualAge the time since
	// the endpoint's report on it; negative if there was none.
	residual    residual.Load
	residualAge time.Duration
	chosenAt    time.Time
	slowdown    float64 // of the slowest of the endpoints, as known when the choice was made
	// candidates is the number of endpoints that were considered.
	candidates      int
	remoteEndpoints int // number of endpoints of other cells that work on the request
	expected        balance.Estimate
	loads           []*placedLoad
}

// reserve returns a function that counts what a part of the response occupies.
func (pl *placement) reserve(p heldmemory.Part) eventstream.Reserve {
	return func(bytes int) error { return pl.memory.Resize(p, int64(bytes)) }
}

// memoryDemand is memory that has to be reserved before an attempt.
type memoryDemand struct {
	endpoint catalog.Endpoint
	tokens   int
}

type placedLoad struct {
	endpoint    string
	load        balance.Load
	prefillDone bool
	timer       *time.Timer // ends the prefill of a part; may be nil
}

// endPrefill removes the prefill load of the prompt, which has ended once the first event has
// arrived.
func (pl *placement) endPrefill() {
	p := pl.picker
	p.mu.Lock()
	defer p.mu.Unlock()
	if pl.removePrefill() {
		p.notifyWaitersLocked()
	}
}

// addLoad records load that was counted at an endpoint. The caller holds the lock.
func (pl *placement) addLoad(endpoint string, l balance.LoadShare) {
	part := &placedLoad{endpoint: endpoint, load: l.Load}
	pl.loads = append(pl.loads, part)
	if l.PrefillFor > 0 {
		part.timer = time.AfterFunc(l.PrefillFor, func() { pl.endPartPrefill(part) })
	}
}

// endPartPrefill removes the prefill load of a part whose estimated time has passed.
func (pl *placement) endPartPrefill(part *placedLoad) {
	p := pl.picker
	p.mu.Lock()
	defer p.mu.Unlock()
	if part.endPrefill(p.loads) {
		p.notifyWaitersLocked()
		p.notifyPeers()
	}
}

// endPrefill removes the prefill load; it reports whether it was still counted.
func (l *placedLoad) endPrefill(tracker *balance.LoadTracker) bool {
	if l.timer != nil {
		l.timer.Stop()
	}
	if l.prefillDone {
		return false
	}
	l.prefillDone = true
	tracker.PrefillDone(l.endpoint, l.load)
	return true
}

// removePrefill removes all prefill load; it reports whether any was still counted.
func (pl *placement) removePrefill() bool {
	removed := false
	for _, l := range pl.loads {
		removed = l.endPrefill(pl.picker.loads) || removed
	}
	return removed
}

// end ends the attempt and removes all load of the request; pl may be nil.
func (pl *placement) end() {
	if pl == nil {
		return
	}
	if pl.response != nil {
		_ = pl.response.Body.Close()
	}
	pl.memory.Release()
	pl.stall.End()
	if pl.cancel != nil {
		pl.cancel(nil)
	}
	pl.reservations.end()
	pl.release()
}

// release removes all load of the request.
func (pl *placement) release() {
	p := pl.picker
	pl.endAttempt(false)
	p.mu.Lock()
	defer p.mu.Unlock()
	pl.removePrefill()
	for _, l := range pl.loads {
		p.loads.Remove(l.endpoint, l.load)
	}
	pl.loads = nil
	p.notifyWaitersLocked()
}

// endAttempt records that the request was answered, or will not be; only the first call counts. It
// reports whether this ends the slow start of an endpoint after its backoff.
func (pl *placement) endAttempt(answered bool) bool {
	sent := pl.sentRequest
	pl.sentRequest = availability.SentRequest{}
	return pl.picker.state.EndAttempt(sent, answered)
}
