package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/micarudder/micarudder/boundedconn"
	"github.com/micarudder/micarudder/daemon/callerserver"
	"github.com/micarudder/micarudder/health"
	"github.com/micarudder/micarudder/heldmemory"
)

const (
	// requestHeldBytes is the most that a request holds besides its body: the kernel's buffers for its
	// caller and of its endpoint's response, and the buffers and stacks of the process.
	requestHeldBytes = 2*boundedconn.BufferBytes + processBytes
	// processBytes is what the process itself holds for a request whose caller does not read.
	processBytes = 64 << 10
	// evictionDivisor is the part of Config.SlowReaderTimeout, as a divisor, after which a caller that
	// does not read may be disconnected to make room for another request.
	evictionDivisor = 4
	// retryAfterHeld is the Retry-After while the memory is used up: about the time after which
	// callers that do not read make room.
	retryAfterHeld = 500 * time.Millisecond
	// minCallerDelay is the shortest wait for a caller that counts as the cause if its endpoint cuts off
	// the response. Endpoints do so when nothing of it has been read for some seconds; the kernel's
	// buffers let them notice later, and for longer, than the gateway.
	minCallerDelay = time.Second
)

// admitHeld counts the request against Config.HeldMemory. If it does not fit, it takes the place of the
// one whose caller has not read for the longest, or is refused.
func (x *exchange) admitHeld() (outcome, bool) {
	var reader heldmemory.Reader
	if c := callerConn(x.r.Context()); c != nil {
		reader = c
	}
	admitted, evicted, ok := x.g.held.Admit(reader, time.Now())
	if evicted != nil {
		evicted.(*boundedconn.Conn).Disconnect()
	}
	if !ok {
		x.g.meter.heldRefusals.Inc()
		x.g.deps.Log.Request("Request refused for lack of memory.", "request", x.call.ID, "held_bytes", x.g.held.Held(), "limit_bytes", x.g.config.HeldMemory, "retry_after_ms", retryAfterHeld.Milliseconds())
		x.w.Header().Set("Connection", "close") // an idle connection would hold memory as well
		return x.refuse(http.StatusServiceUnavailable, retryAfterHeld, refusedMemory), false
	}
	x.held = admitted
	return "", true
}

// boundCallerConn bounds what the connection holds for a caller that does not read, and for how long.
func (g *Gateway) boundCallerConn(c net.Conn) net.Conn {
	if g.config.SlowReaderTimeout == 0 {
		return c
	}
	return boundedconn.New(c, g.config.SlowReaderTimeout, g.meter.slowReaders.Inc)
}

// callerConn returns the bounded connection of a request, or nil if its connection is not bounded.
func callerConn(ctx context.Context) *boundedconn.Conn {
	c, _ := callerserver.Conn(ctx).(*boundedconn.Conn)
	return c
}

// recordBrokenResponse records that an endpoint broke off its response. If the caller held up the response
// before, this says nothing about the health of the endpoint.
func (x *exchange) recordBrokenResponse(pl *placement) {
	if x.g.config.SlowReaderTimeout > 0 && pl.callerDelay >= minCallerDelay {
		x.g.deps.Log.Request("Response broke off after its caller held it up.", "request", x.call.ID, "endpoint", pl.endpoint.ID,
			"caller_delay_ms", pl.callerDelay.Milliseconds(), "err", x.lastError)
		return
	}
	x.recordOutcome(pl, health.BadResponse)
}

// logSlowReader logs a failed write to the caller if it failed because the caller did not read.
func (x *exchange) logSlowReader(err error) {
	var failure *boundedconn.NotReadingError
	if errors.As(err, &failure) {
		x.lastError = err
		x.g.deps.Log.Request("Caller does not read and is disconnected.", "request", x.call.ID, "waited_ms", failure.For.Milliseconds(), "limit_ms", x.g.config.SlowReaderTimeout.Milliseconds())
	}
}
