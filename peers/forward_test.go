package peers

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/internal/meshnet"
)

// settled is the time within which a change of load is known everywhere if nothing is lost: the
// least gap between two messages of a sender, the delay to another data centre, and the forwarding.
const settled = 10*time.Millisecond + meshnet.RemoteDelay + 2*meshnet.LocalDelay

// smallFleet is the number of gateways of most tests: five in each data centre, of which two forward.
const smallFleet = 15

func always(int) bool { return true }
func never(int) bool  { return false }

// runFleet runs a test with gateways in three data centres under virtual time.
func runFleet(t *testing.T, gateways int, forwards func(n int) bool, test func(is *is.I, f *testMesh)) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestMesh(t, 3, gateways, forwards)
		defer f.stop()
		test(is.New(t), f)
	})
}

// TestForwardingSavesBytes guards against messages that cross between data centres as often as without
// forwarding, and against changes that do not arrive in time.
func TestForwardingSavesBytes(t *testing.T) {
	measure := func(forwards func(n int) bool) (remote int) {
		runFleet(t, 29, forwards, func(is *is.I, f *testMesh) {
			before, _ := f.remoteBytes()
			time.Sleep(2 * time.Second)
			after, kinds := f.remoteBytes()
			remote = after - before
			f.setQuiet(true)
			time.Sleep(settled)
			t.Logf("%d bytes between data centres in 2 s; bytes of all messages by kind: %v", remote, kinds)
			is.Equal(f.wrong(), 0)
			for _, p := range f.peers {
				is.Equal(len(p.mesh.Members(time.Now())), 28)
				p.mu.Lock()
				for _, o := range f.peers { // the forwarder's address does not replace the origin's
					is.True(o == p || p.origins[o.name] == o.Address)
				}
				p.mu.Unlock()
			}
		})
		return remote
	}
	without, with := measure(never), measure(always)
	t.Logf("forwarding leaves %.2f of the bytes between data centres", float64(with)/float64(without))
	is.New(t).True(2*with <= without)
}

// TestForwarderDies: if one forwarder dies, no change is lost. If both die, changes are lost until the
// next complete message to all, or until others are chosen.
func TestForwarderDies(t *testing.T) {
	for name, killed := range map[string]int{"one": 1, "both": 2} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, smallFleet, always, func(is *is.I, f *testMesh) {
				list := f.forwarders(f.peers[0], "dc1")
				is.Equal(len(list), 2)
				for _, p := range list[:killed] {
					p.Kill()
				}
				time.Sleep(300 * time.Millisecond)
				f.setQuiet(true)
				time.Sleep(settled)
				t.Logf("%d pairs of gateways with an outdated load", f.wrong())
				if killed < 2 {
					is.Equal(f.wrong(), 0)
				}
				time.Sleep(time.Second)
				is.Equal(f.wrong(), 0)
				f.setQuiet(false)
				time.Sleep(time.Second)
				f.setQuiet(true)
				time.Sleep(settled)
				is.Equal(f.wrong(), 0) // others forward now
			})
		})
	}
}

// TestDataCentreCutOff: gateways that were cut off from another data centre know all loads within a
// second of its return, and forwarding to the remaining data centre goes on.
func TestDataCentreCutOff(t *testing.T) {
	for name, cut := range map[string]time.Duration{"briefly": 500 * time.Millisecond, "longer than members are kept": memberTTL + 2*time.Second} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, smallFleet, always, func(is *is.I, f *testMesh) {
				f.SetDrops(func(from, to *meshnet.Conn) bool { return (from.DataCentre == "dc2") != (to.DataCentre == "dc2") })
				time.Sleep(cut)
				f.setQuiet(true)
				time.Sleep(settled)
				for _, p := range f.peers {
					for _, o := range f.peers {
						if (p.DataCentre == "dc2") == (o.DataCentre == "dc2") {
							is.True(p == o || p.knows(o, time.Now()))
						}
					}
				}
				f.SetDrops(nil)
				f.setQuiet(false)
				time.Sleep(time.Second)
				f.setQuiet(true)
				time.Sleep(settled)
				is.Equal(f.wrong(), 0)
			})
		})
	}
}

// TestUnpunctualGatewaysDoNotForward: gateways whose own messages are late are not asked to
// forward; two others in the data centre do, and nothing is lost.
func TestUnpunctualGatewaysDoNotForward(t *testing.T) {
	runFleet(t, smallFleet, always, func(is *is.I, f *testMesh) {
		for n, p := range f.peers {
			if n/3 >= 2 { // all but two in each data centre
				for range 2 {
					p.mesh.RecordDelay(time.Second)
				}
			}
		}
		time.Sleep(2 * regularInterval)
		for n, p := range f.peers {
			is.Equal(p.mesh.OffersForwarding(time.Now()), n/3 < 2)
			for _, other := range []string{"dc0", "dc1", "dc2"} {
				if other == p.DataCentre {
					continue
				}
				list := f.forwarders(p, other)
				is.Equal(len(list), 2)
				for _, o := range list {
					is.True(slices.Index(f.peers, o)/3 < 2)
				}
			}
		}
		f.setQuiet(true)
		time.Sleep(settled)
		is.Equal(f.wrong(), 0)
	})
}

// TestMixedReleases: gateways that do not forward, as those of the previous release, receive every
// message directly and never a forwarded one, which they could not read.
func TestMixedReleases(t *testing.T) {
	for name, forwards := range map[string]func(n int) bool{
		"a third forward":           func(n int) bool { return n/3%3 == 0 },
		"all but a third forward":   func(n int) bool { return n/3%3 != 0 },
		"one data centre forwards":  func(n int) bool { return n%3 == 0 },
		"one gateway does not":      func(n int) bool { return n != 4 },
		"only one gateway forwards": func(n int) bool { return n == 4 },
	} {
		t.Run(name, func(t *testing.T) {
			var f *testMesh
			runFleet(t, smallFleet, forwards, func(is *is.I, fleet *testMesh) {
				f = fleet
				f.setQuiet(true)
				time.Sleep(settled)
				is.Equal(f.wrong(), 0)
			})
			is := is.New(t)
			for _, p := range f.peers {
				is.Equal(p.malformed, 0)
			}
		})
	}
}

// TestSuspendedForwarder guards against old messages that a suspended forwarder sends when it is
// resumed: the load of a gateway that died meanwhile would count again.
func TestSuspendedForwarder(t *testing.T) {
	runFleet(t, smallFleet, always, func(is *is.I, f *testMesh) {
		origin := f.peers[0]
		list := f.forwarders(origin, "dc1")
		is.Equal(len(list), 2)
		resume := []func(){list[0].Suspend(), list[1].Suspend()}
		time.Sleep(300 * time.Millisecond)
		origin.Kill()
		time.Sleep(2500 * time.Millisecond)
		handled := make(map[*testPeer]time.Time)
		for _, p := range f.peers {
			handled[p] = p.mesh.lastReceivedAt(origin.name)
		}
		for _, r := range resume {
			r()
		}
		time.Sleep(time.Second)
		for _, p := range f.peers {
			if p.DataCentre == "dc1" && p != list[0] && p != list[1] {
				is.Equal(p.mesh.lastReceivedAt(origin.name), handled[p])
			}
		}
		f.setQuiet(true)
		time.Sleep(settled)
		is.Equal(f.wrong(), 0) // of the others
	})
}

// lastReceivedAt returns when the newest datagram of a sender was received.
func (m *Mesh) lastReceivedAt(name string) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastReceived[name].at
}

// TestSlowForwarders: forwarders of which each takes its own time, up to twice the gap between
// messages, cause no lost change.
func TestSlowForwarders(t *testing.T) {
	runFleet(t, smallFleet, always, func(is *is.I, f *testMesh) {
		r := rand.New(rand.NewPCG(1, 1))
		f.SetDelay(func(from, to *meshnet.Conn) time.Duration {
			if from.DataCentre != to.DataCentre {
				return 0
			}
			return time.Duration(r.IntN(20)) * time.Millisecond
		})
		late := 0
		for range 10 {
			f.setQuiet(false)
			time.Sleep(200 * time.Millisecond)
			f.setQuiet(true)
			time.Sleep(settled + 40*time.Millisecond)
			is.Equal(f.wrong(), 0)
		}
		for _, p := range f.peers {
			n, _, _ := p.counts()
			late += n
		}
		t.Logf("%d complete messages arrived after a later one", late)
		is.True(late > 0)
	})
}

// TestReorderedLoads guards against partial updates that are lost since a complete message arrived
// after a later one: whatever the order and the duplicates, the receiver ends with the sender's
// load.
func TestReorderedLoads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		m := New("receiver", meshnet.New().Listen(meshnet.Address(0), "dc"))
		m.EnableForwarding("dc")
		endpoints := []string{"a", "b", "c", "d"}
		sender, known := balance.NewLoadTracker(), balance.NewLoadTracker()
		var sent []Message
		for n := range rapid.IntRange(1, 20).Draw(t, "messages") {
			for range rapid.IntRange(0, 2).Draw(t, "changes") {
				sender.Add(rapid.SampledFrom(endpoints).Draw(t, "endpoint"), balance.Load{Short: 1})
			}
			msg := Message{From: "sender", Incarnation: 1, Sequence: uint64(n + 1), Partial: rapid.Bool().Draw(t, "partial"), Loads: sender.LocalChanges()}
			if !msg.Partial {
				msg.Loads = sender.Local()
			}
			sent = append(sent, msg)
		}
		arriving := make([]int, 2*len(sent)) // each arrives twice
		for n := range arriving {
			arriving[n] = n / 2
		}
		now := time.Now()
		for _, n := range rapid.Permutation(arriving).Draw(t, "arriving") {
			p, err := encode(&sent[n])
			is.NoErr(err)
			received, err := decode(p)
			is.NoErr(err)
			if !m.accept(&received, netip.MustParseAddrPort("10.0.0.2:1"), true) {
				continue
			}
			if received.Partial {
				known.UpdatePeerLoad("sender", "dc", received.Loads, now)
			} else {
				known.SetPeerLoad("sender", "dc", received.Loads, now)
			}
		}
		for _, e := range endpoints {
			is.Equal(known.Load(e, now), sender.Load(e, now))
		}
	})
}

// TestReplacedProcess guards against a delayed message of the previous process of a gateway, which
// would count as that of a new process.
func TestReplacedProcess(t *testing.T) {
	is := is.New(t)
	m, at := listen(t, "a")
	m.EnableForwarding("dc")
	is.True(m.accept(&Message{From: "b", Incarnation: 1, Sequence: 5}, at, false))
	is.True(m.accept(&Message{From: "b", Incarnation: 2, Sequence: 1}, at, true))
	is.True(!m.accept(&Message{From: "b", Incarnation: 1, Sequence: 6}, at, true))
	is.True(m.accept(&Message{From: "b", Incarnation: 2, Sequence: 2}, at, true))
}

// TestSuspendedOrigin: forwarded messages of a gateway whose host was suspended, so that its clock is
// behind, are used again from its next direct message on.
func TestSuspendedOrigin(t *testing.T) {
	is := is.New(t)
	m, at := listen(t, "a")
	m.EnableForwarding("dc")
	late := 0
	m.CountLate(func() { late++ })
	clock := int64(time.Minute)
	is.True(m.accept(&Message{From: "b", Incarnation: 1, Sequence: 1, Clock: clock}, at, false))
	is.True(m.accept(&Message{From: "b", Incarnation: 1, Sequence: 2, Clock: clock}, at, true))
	clock -= int64(3 * time.Second)
	is.True(!m.accept(&Message{From: "b", Incarnation: 1, Sequence: 3, Clock: clock}, at, true))
	is.True(m.accept(&Message{From: "b", Incarnation: 1, Sequence: 4, Clock: clock}, at, false))
	is.True(m.accept(&Message{From: "b", Incarnation: 1, Sequence: 5, Clock: clock}, at, true))
	is.Equal(late, 1)
}

// TestForwardedClocks: the clocks in a message still bound the time of its sending by the receiver's
// clock, although both the message and the one that it echoes were forwarded.
func TestForwardedClocks(t *testing.T) {
	runFleet(t, smallFleet, always, func(is *is.I, f *testMesh) {
		before := make(map[*testPeer]int)
		for _, p := range f.peers {
			_, before[p], _ = p.counts()
		}
		time.Sleep(time.Second)
		for n, p := range f.peers {
			_, dated, misdated := p.counts()
			is.Equal(misdated, 0)
			if n >= 2 { // the first two gateways echo clocks in all their messages
				is.True(dated-before[p] >= 2*4)
			}
		}
	})
}

// TestLargeMessages: a message that would be too large to be read once it is forwarded is sent
// directly.
func TestLargeMessages(t *testing.T) {
	runFleet(t, smallFleet, always, func(is *is.I, f *testMesh) {
		f.setQuiet(true)
		time.Sleep(settled)
		origin := f.peers[0]
		base, err := encode(&Message{From: origin.name, DataCentre: origin.DataCentre, Forwarding: ReadsForwarded | Forwards | ForwardThis})
		is.NoErr(err)
		for _, size := range []int{maxDatagram - 200, maxDatagram - 30, maxDatagram - 10} {
			before := make(map[*testPeer]uint64)
			now := time.Now()
			var to []netip.AddrPort
			for _, m := range origin.mesh.Members(now) {
				to = append(to, m.Address)
			}
			msg := Message{DataCentre: origin.DataCentre, Loads: map[string]balance.Load{string(make([]byte, size-len(base)-40)): {}}}
			is.NoErr(origin.mesh.Send(msg, to, now))
			origin.mesh.mu.Lock()
			sequence := origin.mesh.sequence
			origin.mesh.mu.Unlock()
			time.Sleep(5 * time.Millisecond)
			for _, p := range f.peers[1:] {
				p.mesh.mu.Lock()
				before[p] = p.mesh.lastReceived[origin.name].sequence
				p.mesh.mu.Unlock()
				is.True(before[p] >= sequence)
			}
		}
	})
}

// TestWhatIsForwarded guards against messages that circulate because they are forwarded twice, and
// against forwarding by a gateway that does not take part in it.
func TestWhatIsForwarded(t *testing.T) {
	asking := Message{From: "origin", Incarnation: 1, Sequence: 1, DataCentre: "dc0", Forwarding: ReadsForwarded | Forwards | ForwardThis}
	plain, local := asking, asking
	plain.Forwarding, local.DataCentre = ReadsForwarded|Forwards, "dc1"
	for name, c := range map[string]struct {
		msg                Message
		wrapped, disabled  bool
		forwarded, handled int
	}{
		"asked":                              {asking, false, false, 5, 1},
		"not asked":                          {plain, false, false, 0, 1},
		"forwarded by another":               {asking, true, false, 0, 1},
		"of the own data centre":             {local, false, false, 0, 1},
		"disabled":                           {asking, false, true, 0, 1},
		"disabled, and forwarded by another": {asking, true, true, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				network := meshnet.New()
				conn, origin := network.Listen(meshnet.Address(0), "dc1"), network.Listen(meshnet.Address(1), "dc0")
				m := New("forwarder", conn)
				if !c.disabled {
					m.EnableForwarding("dc1")
				}
				for n := range 5 {
					is.True(m.accept(&Message{From: fmt.Sprint(n), Incarnation: 1, Sequence: 1, DataCentre: "dc1", Forwarding: ReadsForwarded}, meshnet.Address(n+2), false))
				}
				is.True(m.accept(&Message{From: "previous release", Incarnation: 1, Sequence: 1, DataCentre: "dc1"}, meshnet.Address(7), false))
				is.True(m.accept(&Message{From: "elsewhere", Incarnation: 1, Sequence: 1, DataCentre: "dc2", Forwarding: ReadsForwarded}, meshnet.Address(8), false))
				handled := 0
				done := make(chan struct{})
				go func() {
					m.Receive(func(Message, netip.AddrPort) { handled++ })
					close(done)
				}()
				p, err := encode(&c.msg)
				is.NoErr(err)
				if c.wrapped {
					p, err = wrap(p, origin.Address, false)
					is.NoErr(err)
				}
				_, err = origin.WriteToUDPAddrPort(p, conn.Address)
				is.NoErr(err)
				time.Sleep(meshnet.RemoteDelay)
				synctest.Wait()
				is.NoErr(m.Close())
				<-done
				written, _ := conn.Written()
				is.Equal(written, c.forwarded)
				is.Equal(handled, c.handled)
			})
		})
	}
}

// TestForwardingOverUDP checks the addresses that the sockets of the host report: a forwarded
// message comes with that of its origin.
func TestForwardingOverUDP(t *testing.T) {
	is := is.New(t)
	type receipt struct {
		by   int
		msg  Message
		from netip.AddrPort
	}
	received := make(chan receipt, 100)
	var meshes []*Mesh
	var addresses []netip.AddrPort
	const origin = 0 // in a data centre of its own
	for n := range 5 {
		m, at := listen(t, string(rune('a'+n)))
		m.epoch = m.epoch.Add(-forwardAfter)
		m.EnableForwarding(dataCentreOf(n == origin))
		go m.Receive(func(msg Message, from netip.AddrPort) { received <- receipt{n, msg, from} })
		meshes, addresses = append(meshes, m), append(addresses, at)
	}
	for n, m := range meshes {
		to := slices.Delete(slices.Clone(addresses), n, n+1)
		is.NoErr(m.Send(Message{DataCentre: dataCentreOf(n == origin), Direct: true}, to, time.Now()))
		for range to {
			<-received
		}
	}
	is.NoErr(meshes[origin].Send(Message{DataCentre: dataCentreOf(true), Version: 7}, addresses[1:], time.Now()))
	reached := make(map[int]bool)
	for range addresses[1:] {
		r := <-received
		is.Equal(r.msg.Version, uint64(7))
		is.True(r.msg.Forwarding&ForwardThis != 0) // it was not sent directly
		is.Equal(r.from, addresses[origin])
		reached[r.by] = true
	}
	is.Equal(len(reached), len(addresses)-1)
}

func dataCentreOf(isOrigin bool) string {
	if isOrigin {
		return "dc0"
	}
	return "dc1"
}

// TestUnwrap checks that a forwarded datagram is read as it was sent, and that parts of one are
// rejected.
func TestUnwrap(t *testing.T) {
	is := is.New(t)
	content, err := encode(&Message{From: "a", Incarnation: 1 << 63, Sequence: 7})
	is.NoErr(err)
	for _, origin := range []string{"10.0.0.1:7100", "[fd00::1]:7100"} {
		p, err := wrap(content, netip.MustParseAddrPort(origin), true)
		is.NoErr(err)
		is.True(len(p)-len(content) <= forwardedOverhead)
		got, at, partial, err := unwrap(p)
		is.NoErr(err)
		is.Equal(got, content)
		is.Equal(at.String(), origin)
		is.True(partial)
		id, err := decodeID(got)
		is.NoErr(err)
		is.Equal(id, messageID{"a", 1 << 63, 7})
		for n := range len(p) - len(content) {
			_, _, _, err = unwrap(p[:n])
			is.True(err != nil)
		}
		_, err = decode(p) // by a gateway that does not forward
		is.True(err != nil)
	}
	_, _, _, err = unwrap([]byte{forwardedMark, 0, 0, 1})
	is.True(err != nil) // no address
}

func FuzzUnwrap(f *testing.F) {
	content, err := encode(&Message{From: "a"})
	if err != nil {
		f.Fatal(err)
	}
	p, err := wrap(content, netip.MustParseAddrPort("10.0.0.1:7100"), false)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(p)
	f.Add([]byte{forwardedMark, 255})
	f.Fuzz(func(_ *testing.T, p []byte) {
		if content, _, _, err := unwrap(p); err == nil {
			_, _ = decodeID(content)
		}
	})
}
