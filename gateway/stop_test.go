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
