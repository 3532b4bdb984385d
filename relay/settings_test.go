package relay

import (
	"testing"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/settings"
)

// TestBodyMemoryFollowsHost guards against request bodies that outgrow a small host because their bound was set
// for a larger one.
func TestBodyMemoryFollowsHost(t *testing.T) {
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
	}
}
