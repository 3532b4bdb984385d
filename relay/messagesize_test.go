package relay

import (
	"fmt"
	"io"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/eventlog"
	"github.com/micarudder/micarudder/internal/meshnet"
	"github.com/micarudder/micarudder/peers"
	"github.com/micarudder/micarudder/recipients"
	"github.com/micarudder/micarudder/upstream"
)

// measuredGateway is a gateway among peers from which it has just received a message.
type measuredGateway struct {
	*Gateway
	conn *meshnet.Conn
	// sendFromPeers sends a message of each peer to the gateway.
	sendFromPeers func()
}

// newMeasuredGateway starts a gateway that represents its cell. It has requests at 8 endpoints, of
// which 3 changed since its last complete message, and observed 3 slow endpoints.
func newMeasuredGateway(t *testing.T, gateways, dataCentres, endpoints int) *measuredGateway {
	t.Helper()
	events := eventlog.New(io.Discard, eventlog.Options{Level: log.ErrorLevel, LinesPerSecond: 1})
	dataCentre := func(n int) string { return fmt.Sprint("dc-", n%dataCentres) }
	network := meshnet.New()
	m := &measuredGateway{conn: network.Listen(meshnet.Address(0), dataCentre(0))}
	// The first gateway in the order of all represents its cell.
	names := make([]string, gateways)
	for n := range names {
		if names[n] = fmt.Sprintf("gateway-%04d", n); recipients.Precedes(names[n], names[0]) {
			names[0], names[n] = names[n], names[0]
		}
	}
	mesh := peers.New(names[0], m.conn)
	mesh.EnableForwarding(dataCentre(0))
	m.Gateway = New(Config{Name: names[0], DataCentre: dataCentre(0), DrainTime: time.Minute, Policy: balance.Default()},
		Deps{Protocol: testProtocol{}, Mesh: mesh, Log: events, Metrics: metrics.NewSet(), Endpoints: upstream.New(upstream.Options{})})
	t.Cleanup(func() {
		m.Close()
		events.Close(time.Second)
	})
	m.background.Go(m.receivePeers)
	var list []catalog.Endpoint
	for n := range endpoints {
		list = append(list, catalog.Endpoint{ID: fmt.Sprintf("i-%010d", n), Service: "s", Address: addressOf(n), DataCentre: dataCentre(n), Slots: 12})
	}
	now := time.Now()
	m.state.ApplyConfiguration(&catalog.Configuration{Version: 1, Services: []catalog.Service{{Name: "s", Engine: &catalog.Engine{Slots: 12, MemoryTokens: 197200, StepMs: 1, ReadPerMs: 206, Stride: 48}}}})
	m.state.ApplyList(list, now, now, time.Time{})
	var others []*peers.Mesh
	for n := 1; n < gateways; n++ {
		other := peers.New(names[n], network.Listen(meshnet.Address(n), dataCentre(n)))
		other.EnableForwarding(dataCentre(n))
		others = append(others, other)
	}
	time.Sleep(2 * time.Second) // until they forward
	m.sendFromPeers = func() {
		for n, other := range others {
			if err := other.Send(peers.Message{DataCentre: dataCentre(n + 1), ProofAgeMs: -1}, []netip.AddrPort{m.conn.Address}, time.Now()); err != nil {
				t.Error(err)
			}
		}
		time.Sleep(meshnet.RemoteDelay)
		synctest.Wait()
	}
	m.sendFromPeers()
	now = time.Now()
	short := balance.Load{Short: 1, MemoryTokens: 4960, PrefillMs: 24.1, AwaitingFirstEvent: 1}
	for n := range 8 {
		m.picker.loads.Add(list[n].ID, short)
	}
	for n := range 3 {
		m.picker.health.SetSlowdown(list[n].ID, 4, now)
	}
	m.recordOffers(list, short, now)
	m.picker.loads.Local()
	for n := range 3 {
		m.picker.loads.Add(list[n].ID, short)
	}
	return m
}

// recordOffers records a digest of each other cell, which offers all endpoints that it shares with
// this one.
func (m *measuredGateway) recordOffers(list []catalog.Endpoint, load balance.Load, now time.Time) {
	cells := m.state.Cells()
	localCell := cells.Of(m.config.DataCentre)
	offers := make(map[string]peers.Digest)
	for _, e := range list {
		c := cells.Of(e.DataCentre)
		if other, ok := cells.SharedWith(e.ID, c, nil); !ok || c == localCell || other != localCell {
			continue
		}
		if _, ok := offers[c]; !ok {
			offers[c] = peers.Digest{DataCentre: e.DataCentre, Gateways: 100, Loads: make(map[string]balance.Load)}
		}
		offers[c].Loads[e.ID] = load
	}
	for _, d := range offers {
		m.picker.recordDigests(peers.Message{Digests: []peers.Digest{d}}, now)
	}
}

// messageSizes returns the size of the largest datagram of each kind, and the number of datagrams of a
// change of load.
func (m *measuredGateway) messageSizes() (sizes map[peers.Kind]int, datagrams int) {
	sizes = make(map[peers.Kind]int)
	for _, cause := range []trigger{loadChanged, proofRead, broadcastDue, digestsDue} {
		now := time.Now()
		for _, out := range m.outgoing(m.recipients(now), cause, now) {
			_, _ = m.conn.Written()
			m.send([]outgoingMessage{out}, false)
			written, largest := m.conn.Written()
			sizes[out.message.Kind] = max(sizes[out.message.Kind], largest)
			if cause == loadChanged {
				datagrams += written
			}
		}
	}
	return sizes, datagrams
}

// maxPeerDatagram is the size of the largest datagram that gateways read, in bytes.
const maxPeerDatagram = 60 << 10

// TestMessageSizes bounds the size of each kind of message of a gateway that represents its cell,
// so that a field that grows with the fleet is noticed before datagrams outgrow what is read. A
// complete message holds a clock for each receiver; a change of load does not grow with the fleet.
func TestMessageSizes(t *testing.T) {
	const (
		loadSize, remoteLoadSize = 250, 130
		// clockSize is the size of a receiver's clock and name.
		clockSize    = 23
		completeSize = 500 // without clocks
		digestSize   = 36  // for each shared endpoint
	)
	for name, c := range map[string]struct {
		gateways, dataCentres, endpoints int
		receivers                        int // of a complete message
		shared                           int // endpoints that other cells offer
		maxDatagrams                     int // of a change of load
	}{
		"29 in one cell":  {29, 3, 69, 28, 0, 13},
		"48 in one cell":  {48, 3, 54, 47, 0, 19},
		"402 in one cell": {402, 3, 66, 401, 0, 137},
		"402 in 5 cells":  {402, 5, 600, 81, 60, 85},
		"804 in one cell": {804, 3, 66, 803, 0, 271},
		"804 in 5 cells":  {804, 5, 1200, 161, 120, 165},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				m := newMeasuredGateway(t, c.gateways, c.dataCentres, c.endpoints)
				sizes, datagrams := m.messageSizes()
				t.Logf("bytes: %v; a change of load takes %d datagrams", sizes, datagrams)
				is.True(datagrams <= c.maxDatagrams)
				complete := completeSize + clockSize*c.receivers
				for kind, size := range sizes {
					limit := complete
					switch kind {
					case peers.LoadChange:
						limit = loadSize
					case peers.CrossCellLoad:
						limit = remoteLoadSize
					case peers.RegularDigests, peers.CrossCellReport:
						limit += digestSize * c.shared
					}
					if size > limit {
						t.Errorf("%s takes %d bytes, more than %d", kind, size, limit)
					}
					is.True(size < maxPeerDatagram)
				}
			})
		})
	}
}

// TestEveryFourthMessageIsDirect guards against changes that are lost for longer than a second when
// both forwarders of a data centre die: of the four regular messages in a second one goes to all
// gateways.
func TestEveryFourthMessageIsDirect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const gateways, direct, forwarded = 29, 28, 13
		m := newMeasuredGateway(t, gateways, 3, 69)
		m.background.Go(m.broadcastLoop)
		time.Sleep(broadcastInterval / 2) // between two messages
		var datagrams []int
		for range 8 {
			time.Sleep(broadcastInterval)
			synctest.Wait()
			written, _ := m.conn.Written()
			datagrams = append(datagrams, written)
			m.sendFromPeers()
		}
		is.Equal(datagrams, []int{direct, forwarded, forwarded, forwarded, direct, forwarded, forwarded, forwarded})
	})
}

// TestDirectMessagesHaveDigests guards against digests, drains and repeated crash reports that only
// forwarded messages contain, so that what forwarders lose of them is never repaired.
func TestDirectMessagesHaveDigests(t *testing.T) {
	directs, withDigests := 0, 0
	for n := 1; n <= 4*broadcastsPerDirect; n++ {
		if cause, direct := regularTrigger(n); direct {
			directs++
			if cause == digestsDue {
				withDigests++
			}
		}
	}
	is.New(t).Equal([]int{directs, withDigests}, []int{4, 4})
}
