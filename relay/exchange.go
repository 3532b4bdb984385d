package relay

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/daemon/drain"
	"github.com/micarudder/micarudder/heldmemory"
	"github.com/micarudder/micarudder/httpsyntax"
	"github.com/micarudder/micarudder/internal/sleep"
	"github.com/micarudder/micarudder/quarantine"
	"github.com/micarudder/micarudder/waitpolicy"
)

// outcome is how a request ended, as written to logs and metrics.
type outcome string

const (
	answered    outcome = "answered"
	brokenOff   outcome = "broken-off"   // the response ended early
	refusedFull outcome = "refused-full" // not run: no endpoint accepted it
	refusedBusy outcome = "refused-busy" // not run: all slots are in use
	// refusedLimit: not run, because endpoints limit their request rate and none can accept the
	// request within its deadline.
	refusedLimit outcome = "refused-limit"
	// refusedBackoff: not run, because endpoints asked this gateway to back off and none can accept
	// the request within its deadline.
	refusedBackoff  outcome = "refused-rest"
	refusedKey      outcome = "refused-key"  // not run: no proof that the key is still valid
	noRoute         outcome = "no-route"     // 404
	unknownKey      outcome = "unknown-key"  // 401
	badRequest      outcome = "bad-request"  // 4xx
	mayHaveRun      outcome = "may-have-run" // 502: sent without a response and must not be sent again
	outOfTime       outcome = "out-of-time"  // deadline exceeded
	callerGone      outcome = "caller-gone"  // the caller closed its connection
	notStarted      outcome = "not-started"  // 503: no configuration is known yet
	refusedShutdown outcome = "stopping"     // 503: the process is about to exit
	tooLarge        outcome = "body-too-large"
	refusedMemory   outcome = "refused-memory" // not run: too many requests are served at once
	// quarantinedOutcome is a 503: endpoints crash when they run the request. One that was sent
	// before gets a 502 and the outcome mayHaveRun.
	quarantinedOutcome outcome = "quarantined"
)

const (
	// retryAfterFull is the Retry-After of a refused request: about one pass of a busy engine.
	retryAfterFull = 200 * time.Millisecond
	// retryAfterStore is the Retry-After while the gateway waits for the store or for peers.
	retryAfterStore = 500 * time.Millisecond
	// startupWait is how long after the start of the process its requests wait for a configuration.
	startupWait = 500 * time.Millisecond
	// retryAfterShutdown is the Retry-After of a gateway that is about to exit.
	retryAfterShutdown = 50 * time.Millisecond
	// proofWait is how long a request waits for a newer proof of the configuration.
	proofWait = 600 * time.Millisecond
	// proofMargin is subtracted from RevokeAfter to allow for timers that fire late.
	proofMargin = 150 * time.Millisecond
	// minRemaining is the shortest remaining time with which a request is still sent; no endpoint
	// can answer in less.
	minRemaining = 20 * time.Millisecond
	// maxDenialProofAge is the age of the proof above which a request with an unknown route or key
	// is not denied, because a newer configuration may contain the route or key.
	maxDenialProofAge = 2 * time.Second
	// maxUnsafeIdle is how long a pooled connection may have been idle to carry a request that may
	// run only once: endpoints drop idle connections.
	maxUnsafeIdle = 1500 * time.Millisecond
)

// exchange is one caller's request in the gateway.
type exchange struct {
	g         *Gateway
	w         http.ResponseWriter
	r         *http.Request
	call      Call
	table     *catalog.Table
	route     *catalog.Route
	service   *catalog.Service
	workspace *catalog.Workspace
	body      *heldmemory.Body    // nil: none
	held      *heldmemory.Request // counted against Config.HeldMemory; nil: not counted
	started   time.Time
	deadline  time.Time

	attempts       int  // attempts that may have reached an endpoint
	unsentAttempts int  // attempts that did not reach an endpoint
	unsent         bool // whether the newest attempt did not
	// misdirected counts the attempts that reached another incarnation than the one meant, and
	// wrongIncarnation is set if the newest attempt did.
	misdirected      int
	wrongIncarnation bool
	// helperFailures counts those of the attempts that did not run because a helper failed.
	// sentEndpoints lists the endpoints that any attempt was sent to.
	helperFailures    int
	sentEndpoints     []string
	tried             []string // endpoints that an attempt was sent to or that could not be reached
	excluded          []string // endpoints that lacked memory or were reported as faulty
	mayRun            bool     // whether an attempt may have run, or may run later
	retryGranted      bool     // whether the next attempt needs no charge to the retry budget
	stream            *eventStream
	firstPartAt       time.Time     // when the first part of the response arrived
	lastPartAt        time.Time     // when the newest part of the response arrived
	maxGap            time.Duration // longest pause between two parts
	lastError         error
	abortReason       outcome              // see abort
	failed            *placement           // the newest attempt at which the endpoint failed; nil: none is kept
	resuming          bool                 // see resume
	countedSuspension time.Duration        // total suspension of the host that started and deadline account for
	subjects          *quarantine.Subjects // see quarantineSubjects
}

// refuse answers a request that has not run with the given status, or aborts the connection if the
// head of a response has already been sent.
func (x *exchange) refuse(status int, retryAfter time.Duration, o outcome) outcome {
	if x.partial() {
		return x.abort(o)
	}
	if o, ok := x.relayFailed(); ok {
		return o
	}
	if retryAfter > 0 {
		x.w.Header().Set("Retry-After", httpsyntax.Seconds(retryAfter))
	}
	x.w.Header().Set("Content-Length", "0")
	x.sendHead(status)
	return o
}

// sendHead sends the head of a response. It tells the caller if the connection carries no further request.
func (x *exchange) sendHead(status int) {
	if x.g.drain.Begun() {
		x.w.Header().Set("Connection", "close")
	}
	x.w.WriteHeader(status)
}

// abort closes the caller's connection, so that a truncated response does not look complete. reason says
// what kept the rest from being sent, for the log.
func (x *exchange) abort(reason outcome) outcome {
	if x.resuming {
		return reason // the stream is still awaited at another endpoint
	}
	x.abortReason = reason
	x.recordEnd(brokenOff)
	panic(http.ErrAbortHandler)
}

// giveUp ends a request that must not or cannot be sent again.
func (x *exchange) giveUp(o outcome) outcome {
	switch {
	case x.r.Context().Err() != nil:
		return callerGone
	case x.partial():
		return x.abort(o)
	case x.mayRun && o == outOfTime:
		return x.refuse(http.StatusGatewayTimeout, 0, o)
	case x.mayRun:
		return x.refuse(http.StatusBadGateway, 0, mayHaveRun)
	default:
		return x.refuse(http.StatusServiceUnavailable, x.retryAfter(time.Now()), o)
	}
}

// retryAfter returns the Retry-After for a request that no endpoint accepted.
func (x *exchange) retryAfter(now time.Time) time.Duration {
	switch {
	case x.g.drain.Phase() >= drain.Refusing:
		return retryAfterShutdown
	case x.service == nil:
		return retryAfterFull
	}
	if backoff := x.g.state.ServiceBackoff(x.service.Name, now); backoff.open == 0 && backoff.closed > 0 && backoff.opensAt.After(now) {
		return x.g.state.BackoffRetryAfter(x.service.Name, backoff.opensAt, now)
	}
	return retryAfterFull
}

// run sends the request until it is answered or has to be given up.
func (x *exchange) run(ctx context.Context) outcome {
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	defer x.dropFailed()
	x.g.picker.countRequest(x.service.Name, x.started)
	pl, o := x.obtain(ctx)
	for pl != nil {
		next, o, again := x.relayAttempt(pl)
		if !again {
			return o
		}
		if next == nil {
			if o, ok := x.mayRetry(ctx); !ok {
				return o
			}
			if next, o = x.obtain(ctx); next == nil {
				return o
			}
		}
		pl = next
	}
	return o
}

// obtain sends the request until the response of an endpoint can be passed on or the request has to be given
// up. It returns the attempt with that response, or nil.
func (x *exchange) obtain(ctx context.Context) (*placement, outcome) {
	for {
		pl, o := x.findPlacement(ctx)
		if pl == nil {
			return nil, o
		}
		if !x.maySendTo(pl.endpoint.ID) {
			pl.end()
			return nil, x.giveUp(refusedFull)
		}
		switch result, o := x.send(ctx, pl); result {
		case sendAnswered:
			x.dropFailed()
			return pl, ""
		case sendEnded:
			return nil, o
		}
		if o, ok := x.mayRetry(ctx); !ok {
			return nil, o
		}
	}
}

// mayRetry reports whether the request may be sent again after an attempt without a complete response.
func (x *exchange) mayRetry(ctx context.Context) (outcome, bool) {
	if ctx.Err() != nil {
		return x.giveUp(endReason(ctx)), false
	}
	if o, ok := x.checkQuarantine(x.g.quarantine.Check); !ok {
		return o, false
	}
	if !x.mayRepeat() {
		return x.giveUp(refusedFull), false
	}
	if !x.pauseUnreached(ctx) {
		return x.giveUp(endReason(ctx)), false
	}
	return "", true
}

// pauseUnreached waits before an attempt to continue a stream whose newest attempt did not reach the
// endpoint that was meant. It reports whether there is time left.
func (x *exchange) pauseUnreached(ctx context.Context) bool {
	delay := x.waitPolicy().UnreachedRetryDelay()
	return delay == 0 || sleep.For(ctx, delay)
}

// partial reports whether the caller has received the beginning of a stream.
func (x *exchange) partial() bool { return x.stream != nil && x.stream.headSent }

// maySendTo reports whether the request may be sent to an endpoint: to one that it was sent to
// before, where a helper kept it from running, or to another one while fewer endpoints than the
// route's MaxAttempts have been used. A stream is not resumed where it is still awaited.
func (x *exchange) maySendTo(endpoint string) bool {
	if x.resuming && slices.Contains(x.tried, endpoint) {
		return false
	}
	return slices.Contains(x.sentEndpoints, endpoint) || len(x.sentEndpoints) < x.route.MaxAttempts
}

// mayProceed checks again, right before the request is sent, everything that may have changed while
// the request waited or the process was frozen. Peers may have reported crashes while the request
// waited for an endpoint.
func (x *exchange) mayProceed(ctx context.Context) (outcome, bool) {
	x.deductSuspension()
	if time.Until(x.deadline) < minRemaining {
		return x.giveUp(outOfTime), false
	}
	if o, ok := x.checkQuarantine(x.g.quarantine.Admit); !ok {
		return o, false
	}
	return x.authorize(ctx)
}

// mayRepeat reports whether the request may be sent again.
func (x *exchange) mayRepeat() bool {
	if x.retryGranted {
		x.retryGranted = false
		return true
	}
	switch x.waitPolicy().AfterAttempt(x.route, x.mayRun) {
	case waitpolicy.NoRetry:
		return false
	case waitpolicy.FreeRetry:
		return true
	}
	ok := x.g.picker.takeRetry(x.service.Name, time.Now())
	if ok {
		x.g.meter.retries.Inc()
	}
	x.g.deps.Log.Request("Second send decided.", "request", x.call.ID, "granted", ok, "attempts", x.attempts, "tried", x.tried, "err", x.lastError)
	return ok
}
