package relay

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/quarantine"
)

// outcome is how a request ended, as it stands in logs and metrics.
type outcome string

const (
	answered    outcome = "answered"
	brokenOff   outcome = "broken-off"   // the answer ended early
	refusedFull outcome = "refused-full" // not run: no endpoint took it
	refusedBusy outcome = "refused-busy" // not run: all slots are taken
	// refusedLimit: not run: endpoints limit their requests, and none can take it in its time.
	refusedLimit outcome = "refused-limit"
	// refusedRest: not run: endpoints want rest from this gateway, and none can take it in its time.
	refusedRest outcome = "refused-rest"
	refusedKey  outcome = "refused-key"  // not run: no proof that the key is still good
	noRoute     outcome = "no-route"     // 404
	noKey       outcome = "unknown-key"  // 401
	badRequest  outcome = "bad-request"  // 4xx
	unknownEnd  outcome = "may-have-run" // 502: sent, no answer, must not be sent again
	outOfTime   outcome = "out-of-time"  // deadline
	callerGone  outcome = "caller-gone"  // the caller closed its connection
	notStarted  outcome = "not-started"  // 503: no configuration is known yet
	stopping    outcome = "stopping"     // 503: the process is about to end
	tooLarge    outcome = "body-too-large"
	// quarantinedEnd is 503, or 502 where it was sent before: endpoints crash under it.
	quarantinedEnd outcome = "quarantined"
)

const (
	// retryAfterFull is the time to come back that a refused caller is told:
	// about one pass of a busy engine.
	retryAfterFull = 200 * time.Millisecond
	// retryAfterStore is told while the gateway waits for the store or peers.
	retryAfterStore = 500 * time.Millisecond
	// startTime is how long after the start of the process its requests wait for a
	// configuration: a host with 0.144 of a core read one of 1,400 routes in 0.34 s.
	startTime = 500 * time.Millisecond
	// retryAfterStop is told by a gateway that is about to end.
	retryAfterStop = 50 * time.Millisecond
	// freshPatience is how long a request waits for a younger proof.
	freshPatience = 600 * time.Millisecond
	// proofMargin is taken off RevokeAfter for timers that run late.
	proofMargin = 150 * time.Millisecond
	// leastRemaining is the time below which a request is not sent any more:
	// nothing can answer in it.
	leastRemaining = 20 * time.Millisecond
	// staleBefore is the age of the proof beyond which an unknown route or key
	// is not answered as such, since a newer configuration may have it.
	staleBefore = 2 * time.Second
	// unsafeIdle is how long a kept connection may have been idle to carry a
	// request that may run only once: endpoints forget idle connections.
	unsafeIdle = 1500 * time.Millisecond
)

// exchange is one caller's request on its way through the gateway.
type exchange struct {
	g         *Gateway
	w         http.ResponseWriter
	r         *http.Request
	call      Call
	table     *catalog.Table
	route     *catalog.Route
	service   *catalog.Service
	workspace *catalog.Workspace
	body      []byte
	held      int64 // what the body counts against Config.BodyMemory
	started   time.Time
	deadline  time.Time

	attempts int // sends that may have reached an endpoint
	unsent   int // sends that did not
	// helperFailures counts those of the attempts that did not run because of a helper, and
	// sentTo lists the endpoints that any attempt went to.
	helperFailures int
	sentTo         []string
	tried          []string // endpoints that were sent to, or could not be reached
	unfit          []string // endpoints that had not the memory, or were named at fault
	mayRun         bool     // whether a send may have run or run later
	granted        bool     // whether the next send was already taken out of the budget
	stream         *eventStream
	firstAt        time.Time     // of the first part of the answer
	lastAt         time.Time     // of the newest part
	maxGap         time.Duration // longest pause between two parts
	lastError      error
	status         int                     // of the newest answer
	begun          bool                    // whether the newest send brought a part of the answer
	suspended      time.Duration           // how long the host was suspended until then, as far as started and deadline count it
	fingerprint    *quarantine.Fingerprint // see identity; nil: not worked out yet
}

// refuse answers a request that has not run with a status that says so, or
// ends it when the head of an answer is already out.
func (x *exchange) refuse(status int, after time.Duration, o outcome) outcome {
	if x.stream != nil && x.stream.headSent {
		return x.abort()
	}
	if after > 0 {
		x.w.Header().Set("Retry-After", seconds(after))
	}
	x.w.Header().Set("Content-Length", "0")
	x.w.WriteHeader(status)
	return o
}

// abort cuts the caller's connection, so that an answer that ends early does
// not look whole.
func (x *exchange) abort() outcome {
	x.finish(brokenOff)
	panic(http.ErrAbortHandler)
}

// giveUp ends a request for which nothing more can be done.
func (x *exchange) giveUp(o outcome) outcome {
	switch {
	case x.r.Context().Err() != nil:
		return callerGone
	case x.mayRun && o == outOfTime:
		return x.refuse(http.StatusGatewayTimeout, 0, o)
	case x.mayRun:
		return x.refuse(http.StatusBadGateway, 0, unknownEnd)
	default:
		return x.refuse(http.StatusServiceUnavailable, x.comeBack(time.Now()), o)
	}
}

// comeBack returns when the caller of a request that was turned away everywhere had better come back.
func (x *exchange) comeBack(now time.Time) time.Duration {
	if x.service == nil {
		return retryAfterFull
	}
	if rests := x.g.state.RestOf(x.service.Name, now); rests.open == 0 && rests.closed > 0 && rests.opens.After(now) {
		return x.g.state.SendAway(x.service.Name, rests.opens, now)
	}
	return retryAfterFull
}

// run sends the request until it is answered or must be given up.
func (x *exchange) run() outcome {
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	x.g.picker.request(x.service.Name, x.started)
	for {
		at, o := x.place(ctx)
		if at == nil {
			return o
		}
		if !x.maySendTo(at.endpoint.ID) {
			at.release()
			return x.giveUp(refusedFull)
		}
		o, again := x.attempt(ctx, at)
		if !again {
			return o
		}
		if ctx.Err() != nil {
			return x.giveUp(outOfTime)
		}
		if o, ok := x.admissible(); !ok {
			return o
		}
		if !x.mayRepeat() {
			return x.giveUp(refusedFull)
		}
	}
}

// maySendTo reports whether the request may go to an endpoint: to one that it was sent to
// already, which a helper kept from running it, or to another one while there are not as
// many as the route allows.
func (x *exchange) maySendTo(endpoint string) bool {
	return slices.Contains(x.sentTo, endpoint) || len(x.sentTo) < x.route.MaxAttempts
}

// mayProceed looks again at everything that a wait or a freeze may have
// changed, right before the request is sent. What others tell of crashes comes in while it
// waits for an endpoint.
func (x *exchange) mayProceed() (outcome, bool) {
	x.countSuspension()
	if time.Until(x.deadline) < leastRemaining {
		return x.giveUp(outOfTime), false
	}
	if o, ok := x.admissible(); !ok {
		return o, false
	}
	return x.authorize()
}

// mayRepeat reports whether the request may be sent once more.
func (x *exchange) mayRepeat() bool {
	if x.granted {
		x.granted = false
		return true
	}
	switch x.patience().afterSend(x.route, x.mayRun) {
	case giveUp:
		return false
	case sendAgain:
		return true
	}
	ok := x.g.picker.retry(x.service.Name, time.Now())
	if ok {
		x.g.meter.retries.Inc()
	}
	x.g.deps.Log.Request("Second send decided.", "request", x.call.ID, "granted", ok, "attempts", x.attempts, "tried", x.tried, "err", x.lastError)
	return ok
}
