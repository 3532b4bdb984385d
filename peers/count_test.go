package peers

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"github.com/micarudder/micarudder/internal/meshnet"
)

// TestByteCounters checks that bytes are counted by kind and destination. Gateways whose data
// centre is not known count as remote, so that the bytes between data centres are not
// underestimated.
func TestByteCounters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := meshnet.New()
		conn := network.Listen(meshnet.Address(0), "dc0")
		m := New("a", conn)
		set := metrics.NewSet()
		m.CountBytes("dc0", ByteCounters(set))
		m.SetMembers([]Member{{Address: meshnet.Address(1), DataCentre: "dc0"}, {Address: meshnet.Address(2), DataCentre: "dc1"}})
		for _, k := range kinds {
			is.NoErr(m.Send(Message{Kind: k}, []netip.AddrPort{meshnet.Address(1), meshnet.Address(2), meshnet.Address(3)}, time.Now()))
			datagrams, size := conn.Written()
			is.Equal(datagrams, 3)
			is.Equal(set.GetOrCreateCounter(`relay_peer_bytes_total{kind="`+string(k)+`",to="local"}`).Get(), uint64(size))
			is.Equal(set.GetOrCreateCounter(`relay_peer_bytes_total{kind="`+string(k)+`",to="remote"}`).Get(), uint64(2*size))
		}
	})
}
