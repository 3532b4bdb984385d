package relay

import (
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/micarudder/micarudder/catalog"
)

// ServeHTTP relays one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{g: g, w: w, r: r, started: time.Now(), suspended: g.suspendedTime()}
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	defer x.releaseBody()
	x.finish(x.serve())
	// The connection may carry another request; if it is broken, that fails.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
}

// finish logs and counts how a request ended.
func (x *exchange) finish(o outcome) {
	x.g.meter.ended(o, x.started)
	age, _ := x.g.state.ProofAge(time.Now())
	var route catalog.Route
	if x.route != nil {
		route = *x.route
	}
	x.g.deps.Log.Request("Request ended.", "request", x.call.ID, "outcome", string(o), "route", route.Name, "version", x.g.state.Version(),
		"tokens", x.call.Input, "deadline_ms", x.call.Deadline.Milliseconds(), "objective_ms", route.Objective.Milliseconds(), "pause_ms", route.GapObjective.Milliseconds(),
		"proof_age_ms", age.Milliseconds(), "attempts", x.attempts, "unsent", x.unsent, "tried", x.tried,
		"first_ms", x.firstMs(), "gap_ms", x.maxGap.Milliseconds(), "ms", time.Since(x.started).Milliseconds(), "fingerprint", x.knownFingerprint(), "err", x.lastError)
}

// firstMs returns how long the first part of the answer took, -1 before it.
func (x *exchange) firstMs() int64 {
	if x.firstAt.IsZero() {
		return -1
	}
	return x.firstAt.Sub(x.started).Milliseconds()
}

// configuration returns the one in force. A process that has just started waits for its
// first one: its callers come back from another gateway that ended and have few tries
// left. 520 that came in the first 0.3 s after all gateways were killed were refused; over
// that day of 34 s 3.3 % of all requests were never served for a refusal, and 0.3 % since.
func (x *exchange) configuration() *catalog.Table {
	if t := x.g.state.Table(); t != nil {
		return t
	}
	if left := startTime - time.Since(x.g.started); left > 0 {
		x.g.state.Fresh(x.r.Context(), math.MaxInt64, left)
	}
	return x.g.state.Table()
}

// serve checks a request and runs it.
func (x *exchange) serve() outcome {
	if x.g.leaving.Load() {
		x.w.Header().Set("Connection", "close")
		if x.g.ending() {
			return x.refuse(http.StatusServiceUnavailable, retryAfterStop, stopping)
		}
	}
	x.table = x.configuration()
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
	if o, ok := x.authorize(); !ok {
		return o
	}
	x.setDeadline()
	if o, ok := x.readBody(); !ok {
		return o
	}
	// The route's service is drawn once, so that a second send stays with it.
	x.service = x.table.Service(target(x.route))
	if x.service == nil {
		return x.refuse(http.StatusServiceUnavailable, retryAfterFull, refusedFull)
	}
	if o, ok := x.admissible(); !ok {
		return o
	}
	return x.run()
}

// authorize looks up route and key in the configuration in force. It is called
// again before each send: a request must not go out for a route or key that was
// withdrawn while it waited.
func (x *exchange) authorize() (outcome, bool) {
	table := x.g.state.Table()
	route := table.Route(x.r.Host, pathOf(x.r.RequestURI))
	if route == nil {
		return x.denied(http.StatusNotFound, noRoute), false
	}
	// A request that is under way keeps its route's definition while the route
	// leads to the same services.
	if x.route == nil || !sameTargets(x.route, route) {
		x.table, x.route = table, route
		if x.service != nil && table.Service(x.service.Name) == nil {
			x.service = table.Service(target(route))
		}
	}
	if !table.KeysRequired {
		return "", true
	}
	x.workspace = table.Workspace(x.call.Key)
	if x.workspace == nil && !route.Public {
		return x.denied(http.StatusUnauthorized, noKey), false
	}
	if route.Public || x.g.config.RevokeAfter == 0 {
		return "", true
	}
	if !x.g.state.Fresh(x.r.Context(), x.g.config.RevokeAfter-proofMargin, freshPatience) {
		return x.refuseUnproved(), false
	}
	if x.g.state.Table() != table {
		return x.authorize()
	}
	return "", true
}

// sameTargets reports whether both routes lead to the same services.
func sameTargets(a, b *catalog.Route) bool {
	if a == b {
		return true
	}
	if a.Name != b.Name || len(a.Targets) != len(b.Targets) {
		return false
	}
	for i := range a.Targets {
		if a.Targets[i].Service != b.Targets[i].Service {
			return false
		}
	}
	return true
}

// denied answers a request that the configuration does not allow. A gateway
// that may have missed a newer configuration does not say so for good.
func (x *exchange) denied(status int, o outcome) outcome {
	if x.mayRun {
		return x.giveUp(o)
	}
	if age, _ := x.g.state.ProofAge(time.Now()); age > staleBefore {
		return x.refuseUnproved()
	}
	return x.refuse(status, 0, o)
}

func (x *exchange) refuseUnproved() outcome {
	if x.mayRun {
		return x.giveUp(refusedKey)
	}
	return x.refuse(http.StatusServiceUnavailable, retryAfterStore, refusedKey)
}

// setDeadline takes the least of the caller's deadline and the route's timeout,
// counted from when the head was read.
func (x *exchange) setDeadline() {
	limit := x.route.Timeout
	if x.call.Deadline > 0 && (limit <= 0 || x.call.Deadline < limit) {
		limit = x.call.Deadline
	}
	if limit <= 0 {
		limit = defaultDeadline
	}
	x.deadline = x.started.Add(limit)
	// A caller that does not take its answer must not hold its request for ever.
	if err := http.NewResponseController(x.w).SetWriteDeadline(x.deadline.Add(writeSlack)); err != nil {
		x.g.deps.Log.Request("No write deadline.", "request", x.call.ID, "err", err)
	}
}

// writeSlack is how long after its deadline a request's last bytes may still be
// on their way to the caller.
const writeSlack = time.Second

// defaultDeadline holds where neither caller nor route sets one.
const defaultDeadline = 30 * time.Second

// readBody reads the whole body, so that a request can be sent again and its
// end is known before anything is sent.
func (x *exchange) readBody() (outcome, bool) {
	limit := x.table.Limits.BodyBytes
	if limit > 0 && x.r.ContentLength > limit {
		x.w.Header().Set("Connection", "close")
		return x.refuse(http.StatusRequestEntityTooLarge, 0, tooLarge), false
	}
	if x.r.Body == nil || x.r.Body == http.NoBody {
		return "", true
	}
	if !x.holdBody() {
		x.w.Header().Set("Connection", "close")
		return x.refuse(http.StatusServiceUnavailable, retryAfterFull, refusedFull), false
	}
	_ = http.NewResponseController(x.w).SetReadDeadline(x.deadline)
	body := x.r.Body
	if limit > 0 {
		body = http.MaxBytesReader(x.w, body, limit)
	}
	var err error
	x.body, err = readAll(body, x.r.ContentLength)
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	switch {
	case err == nil:
		return "", true
	case errors.As(err, &large):
		return x.refuse(http.StatusRequestEntityTooLarge, 0, tooLarge), false
	case x.r.Context().Err() != nil:
		return callerGone, false
	default:
		x.lastError = err
		x.w.Header().Set("Connection", "close")
		return x.refuse(http.StatusBadRequest, 0, badRequest), false
	}
}

// unknownBody is what a body of unknown length counts.
const unknownBody = 256 << 10

// holdBody counts the body against the memory for all bodies; it reports false
// when that is used up.
func (x *exchange) holdBody() bool {
	x.held = x.r.ContentLength
	if x.held < 0 {
		x.held = unknownBody
	}
	return x.g.bodies.Add(x.held) <= x.g.config.BodyMemory || x.g.config.BodyMemory == 0
}

func (x *exchange) releaseBody() { x.g.bodies.Add(-x.held) }

// readAll reads a body of the announced length, or of any where it is negative.
func readAll(body io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(body)
	}
	p := make([]byte, length)
	_, err := io.ReadFull(body, p)
	return p, err
}

// pathOf returns the path of a request target.
func pathOf(target string) string {
	if strings.HasPrefix(target, "http://") {
		if slash := strings.IndexByte(target[len("http://"):], '/'); slash >= 0 {
			target = target[len("http://")+slash:]
		}
	}
	path, _, _ := strings.Cut(target, "?")
	return path
}

// hopByHop are the header fields that belong to one connection only.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Transfer-Encoding": true, "Te": true, "Trailer": true,
	"Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// HopByHop reports whether a header field, in its canonical form, belongs to one
// connection only.
func HopByHop(name string) bool { return hopByHop[name] }

// seconds writes a duration as Retry-After has it; fractions are allowed.
func seconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', -1, 64)
}
