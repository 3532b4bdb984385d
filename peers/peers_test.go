package peers

import (
	"bytes"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/health"
	"github.com/micarudder/micarudder/quarantine"
	"github.com/micarudder/micarudder/ratelimit"
	"github.com/micarudder/micarudder/residual"
)

func listen(t *testing.T, name string) (*Mesh, netip.AddrPort) {
	t.Helper()
	m, err := Listen(name, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = m.Close() })
	return m, netip.MustParseAddrPort(m.socket.LocalAddr().String())
}

func TestSendAndReceive(t *testing.T) {
	is := is.New(t)
	a, _ := listen(t, "a")
	b, at := listen(t, "b")
	received := make(chan Message, 1)
	go b.Receive(func(msg Message, _ netip.AddrPort) { received <- msg })
	is.NoErr(a.Send(Message{Version: 7, Loads: map[string]balance.Load{"e": {PrefillMs: 1.5, Short: 2}},
		Waiting: map[string]balance.QueueHead{"s": {Urgency: balance.Oversize, DueInMs: -5}}, DataCentre: "dc"}, []netip.AddrPort{at}, time.Now()))
	msg := <-received
	is.Equal(msg.From, "a")
	is.Equal(msg.Version, uint64(7))
	is.Equal(msg.Loads["e"], balance.Load{PrefillMs: 1.5, Short: 2})
	is.Equal(msg.Waiting, map[string]balance.QueueHead{"s": {Urgency: balance.Oversize, DueInMs: -5}})
	// The sender is a member although it is not in the list.
	members := b.Members(time.Now())
	is.Equal(len(members), 1)
	is.Equal(members[0].Name, "a")
	is.Equal(members[0].DataCentre, "dc")
	is.Equal(len(b.Members(time.Now().Add(memberTTL+time.Second))), 0)
}

// TestMembers checks that what a gateway reports about itself replaces its list entry, and
// that a gateway is not among its own members.
func TestMembers(t *testing.T) {
	is := is.New(t)
	m, self := listen(t, "a")
	other := netip.MustParseAddrPort("127.0.0.1:1")
	m.SetMembers([]Member{{Address: self, Name: "a"}, {Address: other}, {Address: netip.MustParseAddrPort("127.0.0.1:2"), Name: "c"}})
	is.Equal(len(m.Members(time.Now())), 2)
	is.True(m.accept(&Message{From: "b", Incarnation: 1, Sequence: 1, DataCentre: "dc"}, other, false))
	members := m.Members(time.Now())
	is.Equal(len(members), 2)
	is.True(slices.Contains(members, Member{Address: other, Name: "b", DataCentre: "dc"}))
}

func TestReorderedDatagrams(t *testing.T) {
	is := is.New(t)
	m, at := listen(t, "a")
	is.True(m.accept(&Message{From: "b", Incarnation: 1, Sequence: 5}, at, false))
	is.True(!m.accept(&Message{From: "b", Incarnation: 1, Sequence: 5}, at, false))
	is.True(!m.accept(&Message{From: "b", Incarnation: 1, Sequence: 4}, at, false))
	is.True(m.accept(&Message{From: "b", Incarnation: 2, Sequence: 1}, at, false)) // a new process
}

// crashReportsField is the position of CrashReports in a datagram.
const crashReportsField = 17

// TestAdjacentReleases checks that a datagram of the previous release and one of a later
// release with an additional field are decoded as far as both releases have the fields.
func TestAdjacentReleases(t *testing.T) {
	is := is.New(t)
	reports := []quarantine.Report{{Kind: quarantine.Crashed, Fingerprint: quarantine.Fingerprint{Head: 1<<64 - 1, Body: 2}, Endpoint: 3, Begun: true, AgeMs: 4, Address: 12}}
	withoutAddress := slices.Clone(reports)
	withoutAddress[0].Address = 0
	limits := map[string]ratelimit.LimitUpdate{"e": {Version: 3, Limit: ratelimit.AdvertisedLimit{Set: true, PerSecond: 1.9}, Born: 4}}
	evacuations := &catalog.Evacuations{Era: 5, Revision: 8, DataCentres: []string{"dc"}}
	residualLoads := map[string]residual.Report{"e": {Requests: 8, MemoryTokens: 40000, AgeMs: 12}}
	p, err := encode(&Message{From: "a", DataCentre: "dc", CrashReports: reports, StoreEra: 5, Limits: limits, Coordinator: 6, Drains: map[string]int64{"e": 7}, Evacuations: evacuations, Gateways: 9, GatewaysAgeMs: 10, UnprovenAgeMs: 11, Forwarding: ReadsForwarded, Residual: residualLoads, Starting: true})
	is.NoErr(err)
	msg, err := decode(p)
	is.NoErr(err)
	is.Equal(msg.CrashReports, reports)
	is.Equal(msg.StoreEra, uint64(5))
	is.Equal(msg.Limits, limits)
	is.Equal(msg.Coordinator, uint64(6))
	is.Equal(msg.Drains, map[string]int64{"e": 7})
	is.Equal(msg.Evacuations, evacuations)
	var fields []msgpack.RawMessage
	is.NoErr(msgpack.Unmarshal(p, &fields))
	extra, err := msgpack.Marshal([]int{1, 2})
	is.NoErr(err)
	previous := len(fields) - 3 // number of fields in the previous release
	earlier := previous - 2     // in the one before it
	for _, list := range [][]msgpack.RawMessage{fields[:earlier], fields[:previous], append(slices.Clone(fields), extra)} {
		p, err := msgpack.Marshal(list)
		is.NoErr(err)
		msg, err := decode(p)
		is.NoErr(err)
		is.Equal(msg.From, "a")
		is.Equal(msg.DataCentre, "dc")
		is.Equal(msg.StoreEra, uint64(5))
		is.Equal(msg.Limits, limits)
		is.Equal(msg.Coordinator, uint64(6))
		is.Equal(msg.Drains, map[string]int64{"e": 7})
		is.Equal(msg.Evacuations, evacuations)
		is.Equal(msg.Gateways, uint64(9))
		is.Equal(msg.GatewaysAgeMs, int64(10))
		if len(list) >= len(fields) {
			is.Equal(msg.Residual, residualLoads)
			is.True(msg.Starting)
			is.Equal(msg.Forwarding, ReadsForwarded)
		} else {
			is.Equal(len(msg.Residual), 0)
			is.True(!msg.Starting)
		}
		if len(list) >= previous {
			is.Equal(msg.CrashReports, reports)
			is.Equal(msg.UnprovenAgeMs, int64(11))
		} else {
			is.Equal(msg.CrashReports, withoutAddress)
		}
	}
	// The elements of the lists are decoded only with exactly the fields that the previous release has.
	var sent []msgpack.RawMessage
	is.NoErr(msgpack.Unmarshal(fields[crashReportsField], &sent))
	var report []msgpack.RawMessage
	is.NoErr(msgpack.Unmarshal(sent[0], &report))
	is.Equal(len(report), 5)
	// A datagram with the last field and not the ones before it.
	p, err = encode(&Message{From: "a", Gateways: 9})
	is.NoErr(err)
	msg, err = decode(p)
	is.NoErr(err)
	is.Equal(msg.Gateways, uint64(9))
	is.Equal(msg.Evacuations, nil)
	// A datagram without crash reports, era and limits is encoded as in the previous
	// release.
	p, err = encode(&Message{From: "a"})
	is.NoErr(err)
	is.NoErr(msgpack.Unmarshal(p, &fields))
	is.Equal(len(fields), minFields)
}

func FuzzDecode(f *testing.F) {
	p, err := encode(&Message{From: "a", Loads: map[string]balance.Load{"e": {Short: 1}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(p)
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(_ *testing.T, p []byte) {
		_, _ = decode(p)
	})
}

// TestSizeOfLimits limits the bytes that 18 endpoint limits add to a datagram of the
// coordinator, and that the vote adds to every other one.
func TestSizeOfLimits(t *testing.T) {
	is := is.New(t)
	size := func(msg Message) int {
		p, err := encode(&msg)
		is.NoErr(err)
		return len(p)
	}
	limits := make(map[string]ratelimit.LimitUpdate)
	for n := range 18 {
		limits[fmt.Sprintf("i-%010d", n)] = ratelimit.LimitUpdate{Version: 40, Limit: ratelimit.AdvertisedLimit{Set: true, PerSecond: 1.9}, Born: 1764700000000}
	}
	empty := size(Message{From: "a"})
	voteBytes := size(Message{From: "a", Coordinator: 1 << 63}) - empty
	limitBytes := size(Message{From: "a", Coordinator: 1 << 63, Limits: limits}) - empty - voteBytes
	t.Logf("a vote takes %d bytes, %d limits take %d bytes", voteBytes, len(limits), limitBytes)
	is.True(voteBytes <= 20)
	is.True(limitBytes <= 18*48)
}

// TestSizeOfDrains limits the bytes that 18 draining endpoints add to a datagram.
func TestSizeOfDrains(t *testing.T) {
	is := is.New(t)
	drains := make(map[string]int64)
	for n := range 18 {
		drains[fmt.Sprintf("i-%010d", n)] = 1764700000000
	}
	empty, err := encode(&Message{From: "a"})
	is.NoErr(err)
	withDrains, err := encode(&Message{From: "a", Drains: drains})
	is.NoErr(err)
	t.Logf("%d draining endpoints take %d bytes", len(drains), len(withDrains)-len(empty))
	is.True(len(withDrains)-len(empty) <= 18*24)
}

// TestAgesCountUntilSending guards against a proof that becomes younger on its way: a gateway computed its
// age, was frozen, received a newer clock of the receiver and sent both.
func TestAgesCountUntilSending(t *testing.T) {
	is := is.New(t)
	a, atA := listen(t, "a")
	b, atB := listen(t, "b")
	received := make(chan Message)
	forward := func(msg Message, _ netip.AddrPort) { received <- msg }
	go a.Receive(forward)
	go b.Receive(forward)
	const age = 100 * time.Millisecond
	computed := time.Now()
	digests := []Digest{{AgeMs: age.Milliseconds()}}
	msg := Message{DataCentre: "dc", EchoClocks: true, AgesAt: computed, ProofAgeMs: age.Milliseconds(), EndpointsAgeMs: age.Milliseconds(), Endpoints: 1,
		Gateways: 1, GatewaysAgeMs: age.Milliseconds(), UnprovenAgeMs: age.Milliseconds(), Digests: digests}
	time.Sleep(age) // frozen
	is.NoErr(b.Send(Message{DataCentre: "dc"}, []netip.AddrPort{atA}, time.Now()))
	<-received
	is.NoErr(a.Send(msg, []netip.AddrPort{atB}, time.Now()))
	got := <-received
	sentAfter, ok := b.SentAfter(got)
	is.True(ok)
	event := computed.Add(-age)
	for _, ms := range []int64{got.ProofAgeMs, got.EndpointsAgeMs, got.GatewaysAgeMs, got.UnprovenAgeMs, got.Digests[0].AgeMs} {
		is.True(!sentAfter.Add(-time.Duration(ms) * time.Millisecond).After(event))
	}
	is.Equal(digests[0].AgeMs, age.Milliseconds()) // other messages use it too
	none := Message{DataCentre: "dc", EchoClocks: true, AgesAt: computed, ProofAgeMs: -1}
	is.NoErr(a.Send(none, []netip.AddrPort{atB}, time.Now()))
	got = <-received
	is.Equal(got.ProofAgeMs, int64(-1)) // no proof
	is.Equal(got.EndpointsAgeMs, int64(0))
}

// TestAges guards against ages that overflow or lie in the future: an age that stands for "unknown" became
// negative, so that keys were honoured by a proof from the future.
func TestAges(t *testing.T) {
	is := is.New(t)
	for _, age := range []time.Duration{0, 1, time.Millisecond, 1500 * time.Microsecond, time.Hour, MaxAge, MaxAge + 1, math.MaxInt64} {
		got := AgeFromMs(AgeMs(age))
		is.True(got >= min(age, MaxAge))
		is.True(got < min(age, MaxAge)+time.Millisecond)
	}
	is.Equal(AgeFromMs(-5), time.Duration(0))
	is.Equal(AgeFromMs(math.MinInt64), time.Duration(0))
	is.Equal(AgeFromMs(math.MaxInt64), MaxAge)
}

// TestCompactNumbers checks that no number loses anything in the compact form, and that datagrams of
// the previous release, which has numbers of fixed size, are read.
func TestCompactNumbers(t *testing.T) {
	is := is.New(t)
	for _, n := range []int64{0, 1, -1, 127, 128, -32, -33, 255, 256, 1 << 16, 1 << 32, math.MaxInt64, math.MinInt64} {
		for _, x := range []float64{float64(n), 24.1, -0.5, 1 << 53, 1e300, math.Inf(1), math.SmallestNonzeroFloat64} {
			msg := Message{From: "a", Incarnation: uint64(n), Sequence: math.MaxUint64, Clock: n, ProofAgeMs: -1, ClockEchoes: map[string]int64{"b": n},
				Loads: map[string]balance.Load{"e": {PrefillMs: x, Short: int(n)}}, Waiting: map[string]balance.QueueHead{"s": {DueInMs: n}},
				Observations: map[string]health.Observation{"e": {Failure: health.Unreachable, FailureAgeMs: n, Slowdown: x}}, StoreEra: uint64(n), UnprovenAgeMs: n}
			p, err := encode(&msg)
			is.NoErr(err)
			got, err := decode(p)
			is.NoErr(err)
			is.Equal(got, msg)
			var previous bytes.Buffer
			e := msgpack.NewEncoder(&previous)
			e.UseArrayEncodedStructs(true)
			is.NoErr(e.Encode(msg))
			got, err = decode(previous.Bytes())
			is.NoErr(err)
			is.Equal(got, msg)
		}
	}
}

// TestResidualAges guards against reports of residual load that become younger between the collection of
// the loads and the sending of the message.
func TestResidualAges(t *testing.T) {
	is := is.New(t)
	reports := map[string]residual.Report{"e": {Requests: 2, AgeMs: 5}}
	msg := Message{ProofAgeMs: -1, Residual: reports}
	msg.addAge(1500 * time.Microsecond)
	is.Equal(msg.Residual["e"], residual.Report{Requests: 2, AgeMs: 7})
	is.Equal(reports["e"].AgeMs, int64(5)) // the caller's map is unchanged
}

// TestReceiptsExpire guards against receipts that a gateway which sends no clock echoes keeps for ever.
func TestReceiptsExpire(t *testing.T) {
	is := is.New(t)
	m, err := Listen("a", "127.0.0.1:0")
	is.NoErr(err)
	defer m.Close()
	from := netip.MustParseAddrPort("127.0.0.1:9")
	is.True(m.accept(&Message{From: "b", Incarnation: 1, Sequence: 1, ShuttingDown: true}, from, false))
	m.Members(time.Now().Add(memberTTL - time.Second))
	is.Equal(len(m.lastReceived), 1)
	m.Members(time.Now().Add(memberTTL + time.Second))
	is.Equal(len(m.lastReceived), 0)
}
