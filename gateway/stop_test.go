package gateway

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/daemon/drain"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

// TestGroupEndsAsDrainingAtStop guards against a caller who is told that it has cancelled its request, and gets no time
// to come back, because its gateway has shut down while a group was being formed.
func TestGroupEndsAsDrainingAtStop(t *testing.T) {
	for name, tc := range map[string]struct {
		cause error
		want  result.Code
	}{
		"gateway shuts down": {drain.ErrShutdown, result.Draining},
		"caller disconnects": {nil, result.Canceled},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancelCause(t.Context())
			cancel(tc.cause)
			end := endBeforeRun(ctx, result.New(result.MemoryHeld, ""))
			is.Equal(result.Code(end.Code), tc.want)
			is.Equal(end.Outcome, rudderv1.Outcome(result.NotRun))
			is.True(end.RetryAfterMs > 0)
		})
	}
}

// TestUnsentOrderAtStop guards against "may have run" for an order whose connection was not established when its
// gateway shut down.
func TestUnsentOrderAtStop(t *testing.T) {
	for name, tc := range map[string]struct {
		err  error
		want result.Outcome
	}{
		"no connection":      {&net.OpError{Op: "dial", Err: context.Canceled}, result.NotRun},
		"order on its way":   {context.Canceled, result.MayHaveRun},
		"agent closed it":    {io.ErrUnexpectedEOF, result.MayHaveRun},
		"nothing went wrong": {nil, result.MayHaveRun},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancelCause(t.Context())
			cancel(drain.ErrShutdown)
			is.Equal(new(session).brokenEnd(ctx, tc.err, false).Outcome, rudderv1.Outcome(tc.want))
		})
	}
}
