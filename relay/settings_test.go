package relay

import (
	"cmp"
	"testing"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/settings"
)

// TestMemoryFollowsHost guards against request bodies and responses that outgrow a small host because their bounds were
// set for a larger one.
func TestMemoryFollowsHost(t *testing.T) {
	const mib = 1 << 20
	for _, tc := range []struct{ bodies, host, want int64 }{
		{112 * mib, 0, 112 * mib},
		{112 * mib, 1000 * mib, 112 * mib},
		{112 * mib, 100 * mib, 40 * mib},
		{0, 100 * mib, 40 * mib},
		{0, 0, 0},
	} {
		is := is.New(t)
		s := new(Settings)
		s.Relay.BodyMemory, s.Process.HostMemory = settings.Size(tc.bodies), settings.Size(tc.host)
		is.Equal(s.config().BodyMemory, tc.want)
		is.Equal(s.Process.WithinHost(settings.Size(32*mib), responseMemoryPercent), min(32*mib, cmp.Or(tc.host/8, 32*mib)))
	}
}
