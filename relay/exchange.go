package relay

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/upstream"
)

// outcome is how a request ended, as it stands in logs and metrics.
type outcome string

const (
	answered    outcome = "answered"
	brokenOff   outcome = "broken-off"   // the answer ended early
	refusedFull outcome = "refused-full" // not run: no endpoint took it
	refusedBusy outcome = "refused-busy" // not run: all slots are taken
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
)

const (
	// retryAfterFull is the time to come back that a refused caller is told:
	// about one pass of a busy engine.
	retryAfterFull = 200 * time.Millisecond
	// retryAfterBusy is told while all slots of a service are taken: a little
	// longer than a short request takes, so that those under way are done.
	retryAfterBusy = 3 * time.Second
	// callerHonours is the part of its time left, as a divisor, up to which a
	// caller waits as it is told.
	callerHonours = 3
	// retryAfterStore is told while the gateway waits for the store or peers.
	retryAfterStore = 500 * time.Millisecond
	// retryAfterStop is told by a gateway that is about to end.
	retryAfterStop = 50 * time.Millisecond
	// freshPatience is how long a request waits for a younger proof.
	freshPatience = 600 * time.Millisecond
	// proofMargin is taken off RevokeAfter for timers that run late.
	proofMargin = 150 * time.Millisecond
	// maxUnsent is how many sends of a request may fail before a byte was
	// written; they do not count as attempts.
	maxUnsent = 4
	// retryAfterQueue is told when no endpoint may take a long prompt: the prompts
	// that are read now are done, and most that came with them. 2 s instead: worth
	// 0.007 lower (24 days of 18 engines, standard error 0.003).
	retryAfterQueue = 4 * time.Second
	// queueStep is the longest pause between two looks at the load.
	queueStep = 20 * time.Millisecond
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

	attempts  int      // sends that may have reached an endpoint
	unsent    int      // sends that did not
	tried     []string // endpoints that were sent to, or could not be reached
	unfit     []string // endpoints that had not the memory
	mayRun    bool     // whether a send may have run or run later
	granted   bool     // whether the next send was already taken out of the budget
	stream    *eventStream
	firstAt   time.Time     // of the first part of the answer
	lastAt    time.Time     // of the newest part
	maxGap    time.Duration // longest pause between two parts
	lastError error
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
		return x.refuse(http.StatusServiceUnavailable, retryAfterFull, o)
	}
}

// giveUpWaiting ends a request that no endpoint takes. queued is set when there are
// endpoints, and others are in the way.
func (x *exchange) giveUpWaiting(queued bool) outcome {
	if queued && !x.mayRun && x.r.Context().Err() == nil {
		after := min(retryAfterQueue, time.Until(x.deadline)/callerHonours)
		return x.refuse(http.StatusServiceUnavailable, after.Truncate(time.Millisecond), refusedFull)
	}
	return x.giveUp(refusedFull)
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
		o, again := x.attempt(ctx, at)
		if !again {
			return o
		}
		if ctx.Err() != nil {
			return x.giveUp(outOfTime)
		}
		if !x.mayRepeat() {
			return x.giveUp(refusedFull)
		}
	}
}

// mayProceed looks again at everything that a wait or a freeze may have
// changed, right before the request is sent.
func (x *exchange) mayProceed() (outcome, bool) {
	if time.Until(x.deadline) < leastRemaining {
		return x.giveUp(outOfTime), false
	}
	return x.authorize()
}

// mayRepeat reports whether the request may be sent once more.
func (x *exchange) mayRepeat() bool {
	if x.granted {
		x.granted = false
		return true
	}
	if x.unsent > maxUnsent {
		return false
	}
	if x.attempts == 0 {
		return true
	}
	if x.attempts >= x.route.MaxAttempts {
		return false
	}
	if x.mayRun && !x.route.Idempotent() {
		return false
	}
	ok := x.g.picker.retry(x.service.Name, time.Now())
	if ok {
		x.g.meter.retries.Inc()
	}
	x.g.deps.Log.Request("Second send decided.", "request", x.call.ID, "granted", ok, "attempts", x.attempts, "tried", x.tried, "err", x.lastError)
	return ok
}

// place finds an endpoint, waiting for one where that is better.
func (x *exchange) place(ctx context.Context) (*place, outcome) {
	began := time.Now()
	defer func() { x.g.meter.wait.UpdateDuration(began) }()
	work := balance.Work{
		InputTokens: x.call.Input, OutputTokens: x.call.Output, Avoid: slices.Concat(x.tried, x.unfit),
		Pauses: x.table.Pauses(x.service.Name), Pause: x.route.GapObjective,
	}
	var turn *balance.Turn
	if x.g.config.Policy.TakesTurns(x.service, work) {
		turn = x.g.picker.join(x.service.Name, x.rank(work, began), x.started.Add(x.route.Objective), began)
		defer x.g.picker.leave(turn)
	}
	var expected balance.Expected // at the newest look at the load
	for {
		now := time.Now()
		x.times(&work, now)
		work.MustTake = !x.mayComeBack(now)
		var at *place
		o := pickWait
		if turn == nil || work.Late || x.g.picker.first(turn, x.rank(work, now), now) {
			at, expected, o = x.g.picker.pick(x.service, work, now)
		}
		switch {
		case o == picked:
			x.logChoice(at, now.Sub(began))
			return at, ""
		case o == pickFull:
			x.logNoPlace(reasonToRefuse(o), expected, now.Sub(began))
			return nil, x.refuse(http.StatusServiceUnavailable, retryAfterBusy, refusedBusy)
		case x.attempts == 0 && x.g.ending():
			// The process may end before an endpoint is free.
			return nil, x.refuse(http.StatusServiceUnavailable, retryAfterStop, stopping)
		case o == pickNone && len(work.Avoid) > 0:
			work.Avoid = nil // better the same endpoint again than none
			continue
		}
		if !x.mayWait(o == pickWait, now) {
			x.logNoPlace(reasonToRefuse(o), expected, now.Sub(began))
			return nil, x.giveUpWaiting(o == pickWait)
		}
		x.g.picker.await(ctx, queueStep)
		if ctx.Err() != nil {
			return nil, x.giveUp(outOfTime)
		}
	}
}

// logChoice logs where the request goes and what was believed of that endpoint.
func (x *exchange) logChoice(at *place, waited time.Duration) {
	x.g.deps.Log.Request("Endpoint chosen.", "request", x.call.ID, "endpoint", at.endpoint.ID, "helpers", ids(at.helpers), "reserved", len(at.reserve),
		"tokens", x.call.Input, "waited_ms", waited.Milliseconds(),
		"expected_ms", int(at.expected.FirstMs), "harm", int(at.expected.Harm), "idle", at.expected.Idle,
		"read_ms", int(at.before.ReadMs), "short", at.before.Short, "long", at.before.Long, "memory", at.before.Tokens, "candidates", at.candidates)
}

// reasonToRefuse says for the log why a choice that ended so means a refusal.
func reasonToRefuse(o pickOutcome) string {
	switch o {
	case pickFull:
		return "all slots are taken"
	case pickWait:
		return "its time to wait for endpoints is over"
	default:
		return "no endpoint is known"
	}
}

// logNoPlace logs why a request that was not sent is refused. expected is what the
// best endpoints would have brought, without parts where it never was its turn.
func (x *exchange) logNoPlace(why string, expected balance.Expected, waited time.Duration) {
	x.g.deps.Log.Request("No endpoint chosen.", "request", x.call.ID, "why", why, "tokens", x.call.Input, "waited_ms", waited.Milliseconds(),
		"expected_ms", int(expected.FirstMs), "harm", int(expected.Harm), "parts", expected.Parts, "idle", expected.Idle)
}

// times tells the choice how much time a request has left.
func (x *exchange) times(w *balance.Work, now time.Time) {
	waited := now.Sub(x.started)
	patience := x.patience()
	mayWait := x.route.Objective * waitShare / 100
	w.Slack = mayWait - waited
	w.Waited = min(1, float64(waited)/float64(max(1, mayWait)))
	w.Late = waited > patience*lateShare/100 || x.g.ending()
	if x.g.config.Policy.Oversize(x.service, *w) {
		w.Late = false // it takes much of many endpoints, and goes on waiting
	}
	w.LeftMs = float64((x.route.Objective - waited).Milliseconds())
	w.DeadlineMs = float64((patience - waited).Milliseconds())
}

// mayComeBack reports whether a request may be refused because all slots are
// taken: it has not been sent, was not held, and its caller has the time to come
// back.
func (x *exchange) mayComeBack(now time.Time) bool {
	return x.attempts == 0 && x.unsent == 0 && x.stream == nil && x.call.LastEventID == "" && now.Sub(x.started) < x.route.Objective/8 &&
		x.deadline.Sub(now) > callerHonours*retryAfterBusy
}

// patience returns how long the caller waits for the first part of the answer.
func (x *exchange) patience() time.Duration {
	limit := x.deadline.Sub(x.started)
	if x.route.Patience > 0 {
		limit = min(limit, x.route.Patience)
	}
	return limit
}

// rank returns the rank of a long prompt among those that wait.
func (x *exchange) rank(w balance.Work, now time.Time) balance.Rank {
	switch {
	case now.Sub(x.started) > x.route.Objective:
		return balance.Late
	case x.g.config.Policy.Oversize(x.service, w):
		return balance.Oversize
	default:
		return balance.InTime
	}
}

// mayWait reports whether a request that was not placed goes on waiting: for
// endpoints that are busy, or for any endpoint at all. One that was sent already
// waits longer: what its caller has got is lost without the rest.
func (x *exchange) mayWait(busy bool, now time.Time) bool {
	waited := now.Sub(x.started)
	switch {
	case !busy:
		return waited < x.route.Objective/4
	case x.attempts > 0:
		return waited < x.patience()*resumeShare/100
	default:
		return waited < x.route.Objective*waitShare/100
	}
}

const (
	// waitShare is the part of its objective, in percent, that a long prompt may
	// wait for quiet endpoints; then it is refused, since it would be late, and
	// most that wait longer are never served: worth 0.02 lower with 70 % of the
	// caller's patience (24 days of 18 engines, standard error 0.009).
	waitShare = 35
	// lateShare is the part of its caller's patience, in percent, after which a
	// long prompt counts as late.
	lateShare = 40
	// resumeShare is the part of its caller's patience, in percent, that a prompt
	// may wait which was sent already.
	resumeShare = 70
)

// attempt sends the request to one endpoint and relays the answer. again is set
// when the request got no answer that could be passed on.
func (x *exchange) attempt(ctx context.Context, at *place) (o outcome, again bool) {
	defer at.release()
	var memory *reservations
	if len(at.reserve) > 0 {
		var err error
		if memory, err = x.g.reserve(ctx, x.call.ID, at); err != nil {
			x.notReserved(err)
			return "", true
		}
		defer memory.release()
	}
	if o, ok := x.mayProceed(); !ok {
		return o, false
	}
	if _, ok := x.g.state.Endpoint(at.endpoint.ID); !ok {
		x.unsent++
		return "", true
	}
	now := time.Now()
	req := x.request(at, memory, now)
	x.g.meter.sends.Inc()
	res, err := x.g.deps.Endpoints.Do(ctx, at.endpoint.ID, at.endpoint.Address, req)
	if err != nil {
		x.failed(ctx, at, err)
		return "", true
	}
	defer res.Body.Close()
	x.attempts++
	x.tried = append(x.tried, at.endpoint.ID)
	verdict := x.g.deps.Protocol.Verdict(res)
	if verdict == NotRun || verdict == WrongEndpoint {
		x.lastError = errors.New("the endpoint did not take the request: " + res.Status)
		switch {
		case verdict == WrongEndpoint:
			x.note(at, balance.Unreachable) // another incarnation has its address
		case hasRoom(at, x.service, x.call.Input):
			x.note(at, balance.Bad)
		}
		return "", true
	}
	x.mayRun = true
	if verdict == Failed && x.route.Kind == catalog.Streaming {
		x.note(at, balance.Bad) // plain services also fail by the request itself
	}
	if verdict == Failed && x.mayRepeat() {
		x.lastError = errors.New("the endpoint failed: " + res.Status)
		x.granted = true
		return "", true
	}
	return x.relay(ctx, at, res)
}

// hasRoom reports whether an endpoint should have taken a request, as far as the
// gateways know: less than half of its slots and of its memory were taken.
func hasRoom(at *place, s *catalog.Service, tokens int) bool {
	if len(at.helpers) > 0 {
		return false // a helper may have been at fault
	}
	if s.Engine != nil && 2*(at.before.Tokens+tokens) > s.Engine.MemoryTokens {
		return false
	}
	return 2*(at.before.Short+at.before.Long) < at.endpoint.Slots
}

// notReserved takes in that memory could not be set aside: the endpoints that
// failed have less than the gateways believe.
func (x *exchange) notReserved(err error) {
	x.lastError = err
	x.unsent++
	var failure *noMemory
	if errors.As(err, &failure) {
		x.unfit = append(x.unfit, failure.endpoints...)
	}
}

// failed takes in a send without an answer.
func (x *exchange) failed(ctx context.Context, at *place, err error) {
	x.lastError = err
	var failure *upstream.Error
	if errors.As(err, &failure) && failure.Stage == upstream.NotSent {
		x.unsent++
		if ctx.Err() == nil {
			x.note(at, balance.Unreachable)
			x.tried = append(x.tried, at.endpoint.ID)
		}
		return
	}
	x.attempts++
	x.tried = append(x.tried, at.endpoint.ID)
	x.mayRun = true
	if ctx.Err() == nil {
		x.note(at, balance.Bad)
	}
}

func (x *exchange) note(at *place, o balance.Outcome) {
	if x.g.picker.note(at.endpoint.ID, o, time.Now()) {
		x.g.deps.Log.Logger().Warn("Endpoint suspect.", "endpoint", at.endpoint.ID, "request", x.call.ID, "err", x.lastError)
	}
}

// request builds what is sent to the endpoint.
func (x *exchange) request(at *place, memory *reservations, now time.Time) *upstream.Request {
	s := Send{
		EndpointID:  at.endpoint.ID,
		Remaining:   x.deadline.Sub(now),
		LastEventID: x.call.LastEventID,
		Priority:    DefaultPriority,
	}
	if x.stream != nil && x.stream.lastID != "" {
		s.LastEventID = x.stream.lastID
	}
	if x.workspace != nil {
		s.Workspace = x.workspace.Name
	}
	s.Helpers = memory.helpers(at)
	req := &upstream.Request{
		Method: x.r.Method,
		Target: x.r.RequestURI,
		Host:   x.r.Host,
		Header: x.g.deps.Protocol.Header(x.r.Header, x.call, s),
		Body:   x.body,
		Echo:   x.g.deps.Protocol.Echo(),
	}
	if !x.route.Idempotent() {
		req.MaxIdle = unsafeIdle
	}
	return req
}

// DefaultPriority is the rank of a request that endpoints take as usual.
const DefaultPriority = 5

// ids returns the names of endpoints, for the log.
func ids(list []catalog.Endpoint) []string {
	out := make([]string, len(list))
	for i, e := range list {
		out[i] = e.ID
	}
	return out
}
