package relay

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/daemon/drain"
	"github.com/micarudder/micarudder/heldmemory"
	"github.com/micarudder/micarudder/httpsyntax"
)

// ServeHTTP relays one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{g: g, w: w, r: r, started: time.Now(), countedSuspension: g.checkSuspension()}
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	defer func() { x.body.Release() }()
	defer func() { x.g.held.Release(x.held) }()
	o := x.serve()
	x.recordEnd(o)
	if o == callerGone {
		// A caller that has closed only its sending side may still read. What it has must not look complete.
		panic(http.ErrAbortHandler)
	}
	// Clears the write deadline, since the connection may carry another request. On a broken
	// connection this fails, and the error is of no use.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
}

// recordEnd logs how a request ended and updates the metrics.
func (x *exchange) recordEnd(o outcome) {
	x.g.meter.recordRequest(o, x.started)
	age, _ := x.g.state.ProofAge(time.Now())
	var route catalog.Route
	if x.route != nil {
		route = *x.route
	}
	var suspects []string // the parts of the prompt, while anything is suspected of crashes
	if x.g.quarantine.Len() > 0 {
		suspects = x.call.SharedParts
	}
	x.g.deps.Log.Request("Request ended.", "request", x.call.ID, "outcome", string(o), "why", string(x.abortReason), "route", route.Name, "version", x.g.state.Version(),
		"tokens", x.call.PromptTokens, "deadline_ms", x.call.Deadline.Milliseconds(), "objective_ms", route.Objective.Milliseconds(), "pause_ms", route.GapObjective.Milliseconds(),
		"proof_age_ms", age.Milliseconds(), "attempts", x.attempts, "unsent", x.unsentAttempts, "tried", x.tried,
		"first_ms", x.firstPartMs(), "gap_ms", x.maxGap.Milliseconds(), "ms", time.Since(x.started).Milliseconds(), "fingerprint", x.knownFingerprint(), "parts", suspects, "err", x.lastError)
}

// firstPartMs returns the time to the first part of the response in milliseconds, or -1 if no part
// has arrived.
func (x *exchange) firstPartMs() int64 {
	if x.firstPartAt.IsZero() {
		return -1
	}
	return x.firstPartAt.Sub(x.started).Milliseconds()
}

// awaitTable returns the configuration in force. A process that has just started waits for its
// first configuration, because its callers are retrying after another gateway ended and have few
// attempts left.
func (x *exchange) awaitTable(ctx context.Context) *catalog.Table {
	if t := x.g.state.Table(); t != nil {
		return t
	}
	if left := startupWait - time.Since(x.g.started); left > 0 {
		x.g.state.WaitFresh(ctx, math.MaxInt64, left)
	}
	return x.g.state.Table()
}

// serve validates a request and runs it.
func (x *exchange) serve() outcome {
	if x.g.drain.Phase() >= drain.Refusing {
		return x.refuse(http.StatusServiceUnavailable, retryAfterShutdown, refusedShutdown)
	}
	ctx, cancel := x.g.drain.WithWork(x.r.Context())
	defer cancel()
	x.table = x.awaitTable(ctx)
	if x.table == nil {
		return x.refuse(http.StatusServiceUnavailable, retryAfterStore, notStarted)
	}
	call, err := x.g.deps.Protocol.Call(x.r.Header)
	if err != nil {
		x.lastError = err
		x.w.Header().Set("Connection", "close")
		return x.refuse(http.StatusBadRequest, 0, badRequest)
	}
	x.call = call
	head, err := x.g.bodies.HoldHead(x.r.Header)
	defer head.Release()
	if err != nil {
		return x.refuseBodyMemory()
	}
	if o, ok := x.authorize(ctx); !ok {
		return o
	}
	x.setDeadline()
	if o, ok := x.admitHeld(); !ok {
		return o
	}
	if o, ok := x.readBody(ctx); !ok {
		return o
	}
	// The service is picked from the route's targets only once, so that a retry uses the same
	// service.
	x.service = x.table.Service(x.route.PickService(rand.IntN))
	if x.service == nil {
		return x.refuse(http.StatusServiceUnavailable, retryAfterFull, refusedFull)
	}
	if o, ok := x.checkQuarantine(x.g.quarantine.Check); !ok {
		return o
	}
	return x.run(ctx)
}

// authorize looks up the route and the key in the configuration in force. It is called again before
// each attempt, because a request must not be sent for a route or key that was revoked while the
// request waited.
func (x *exchange) authorize(ctx context.Context) (outcome, bool) {
	table := x.g.state.Table()
	route := table.Route(x.r.Host, httpsyntax.Path(x.r.RequestURI))
	if route == nil {
		return x.deny(http.StatusNotFound, noRoute), false
	}
	// A request in flight keeps the definition of its route as long as the route has the same
	// target services.
	if x.route == nil || !route.SameTargets(x.route) {
		x.table, x.route = table, route
		if x.service != nil && table.Service(x.service.Name) == nil {
			x.service = table.Service(route.PickService(rand.IntN))
		}
	}
	if !table.KeysRequired {
		return "", true
	}
	x.workspace = table.Workspace(x.call.Key)
	if x.workspace == nil && !route.Public {
		return x.deny(http.StatusUnauthorized, unknownKey), false
	}
	if route.Public || x.g.config.RevokeAfter == 0 {
		return "", true
	}
	if !x.g.state.WaitFresh(ctx, x.g.config.RevokeAfter-proofMargin, proofWait) {
		return x.refuseWithoutProof(), false
	}
	if x.g.state.Table() != table {
		return x.authorize(ctx)
	}
	return "", true
}

// deny answers a request that the configuration does not allow. A gateway that may have missed a
// newer configuration answers with a retryable status instead of a final one.
func (x *exchange) deny(status int, o outcome) outcome {
	if x.mayRun {
		return x.giveUp(o)
	}
	if age, _ := x.g.state.ProofAge(time.Now()); age > maxDenialProofAge {
		return x.refuseWithoutProof()
	}
	return x.refuse(status, 0, o)
}

func (x *exchange) refuseWithoutProof() outcome {
	if x.mayRun {
		return x.giveUp(refusedKey)
	}
	return x.refuse(http.StatusServiceUnavailable, retryAfterStore, refusedKey)
}

// setDeadline sets the deadline to the shorter of the caller's deadline and the route's timeout,
// counted from when the request head was read.
func (x *exchange) setDeadline() {
	limit := x.route.Timeout
	if x.call.Deadline > 0 && (limit <= 0 || x.call.Deadline < limit) {
		limit = x.call.Deadline
	}
	if limit <= 0 {
		limit = defaultDeadline
	}
	x.deadline = x.started.Add(limit)
	// A caller that does not read its response must not keep its request open indefinitely.
	if err := http.NewResponseController(x.w).SetWriteDeadline(x.deadline.Add(writeGracePeriod)); err != nil {
		x.g.deps.Log.Request("Setting the write deadline failed.", "request", x.call.ID, "err", err)
	}
}

// writeGracePeriod is how long after the deadline of a request its last bytes may still be written
// to the caller.
const writeGracePeriod = time.Second

// defaultDeadline applies if neither the caller nor the route sets a deadline.
const defaultDeadline = 30 * time.Second

// readBody reads the complete body, so that the request can be sent again and is known to be complete
// before anything is sent, within ctx. If that fails, the read deadline stays, so that the server does not wait for the
// rest of the body before it answers.
func (x *exchange) readBody(ctx context.Context) (outcome, bool) {
	limit := x.table.Limits.BodyBytes
	if limit > 0 && x.r.ContentLength > limit {
		x.w.Header().Set("Connection", "close")
		return x.refuse(http.StatusRequestEntityTooLarge, 0, tooLarge), false
	}
	if x.r.Body == nil || x.r.Body == http.NoBody {
		return "", true
	}
	_ = http.NewResponseController(x.w).SetReadDeadline(x.deadline)
	stopWatching := context.AfterFunc(ctx, func() { _ = http.NewResponseController(x.w).SetReadDeadline(time.Now()) })
	body := x.r.Body
	if limit > 0 {
		body = http.MaxBytesReader(x.w, body, limit)
	}
	var err error
	x.body, err = x.g.bodies.Read(body, x.r.ContentLength, limit)
	var tooLargeErr *http.MaxBytesError
	switch ended := !stopWatching(); {
	case ended && drain.Ended(ctx):
		x.w.Header().Set("Connection", "close")
		return x.refuse(http.StatusServiceUnavailable, retryAfterShutdown, refusedShutdown), false
	case err == nil:
		_ = http.NewResponseController(x.w).SetReadDeadline(time.Time{})
		return "", true
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.lastError = err
		x.w.Header().Set("Connection", "close")
		return x.refuse(http.StatusRequestTimeout, 0, outOfTime), false
	case errors.Is(err, heldmemory.ErrFull):
		return x.refuseBodyMemory(), false
	case errors.As(err, &tooLargeErr):
		return x.refuse(http.StatusRequestEntityTooLarge, 0, tooLarge), false
	case x.r.Context().Err() != nil:
		return callerGone, false
	default:
		x.lastError = err
		x.w.Header().Set("Connection", "close")
		return x.refuse(http.StatusBadRequest, 0, badRequest), false
	}
}

// refuseBodyMemory refuses a request whose head or body has no room in Config.BodyMemory.
func (x *exchange) refuseBodyMemory() outcome {
	x.w.Header().Set("Connection", "close")
	return x.refuse(http.StatusServiceUnavailable, retryAfterFull, refusedMemory)
}
