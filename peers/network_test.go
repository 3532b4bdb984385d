package peers

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/micarudder/micarudder/balance"
)

const (
	localDelay      = 100 * time.Microsecond // of a datagram inside a data centre
	remoteDelay     = 900 * time.Microsecond // of a datagram between two data centres
	regularInterval = 250 * time.Millisecond
	// directInterval is how many regular messages are sent for each one that is not forwarded.
	directInterval = 4
)

// testNetwork delivers datagrams under virtual time.
type testNetwork struct {
	mu    sync.Mutex
	conns map[netip.AddrPort]*testConn
	// drops reports whether a datagram between two hosts is lost; nil if none is.
	drops func(from, to *testConn) bool
	// delay adds to the time that a datagram takes; nil if nothing does.
	delay func(from, to *testConn) time.Duration
}

type testDatagram struct {
	content []byte
	from    netip.AddrPort
}

// testConn is the socket of one host.
type testConn struct {
	network    *testNetwork
	address    netip.AddrPort
	dataCentre string
	arrived    chan testDatagram
	closed     chan struct{}
	down       bool          // set if the host sends and receives nothing
	resumed    chan struct{} // closed when a suspension of the host ends; nil if there was none
}

func (c *testConn) ReadFromUDPAddrPort(p []byte) (int, netip.AddrPort, error) {
	select {
	case d := <-c.arrived:
		c.waitWhileSuspended()
		return copy(p, d.content), d.from, nil
	case <-c.closed:
		return 0, netip.AddrPort{}, net.ErrClosed
	}
}

func (c *testConn) WriteToUDPAddrPort(p []byte, to netip.AddrPort) (int, error) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	other := c.network.conns[to]
	if other == nil || c.down || other.down || c.network.drops != nil && c.network.drops(c, other) {
		return len(p), nil
	}
	delay := localDelay
	if other.dataCentre != c.dataCentre {
		delay = remoteDelay
	}
	if c.network.delay != nil {
		delay += c.network.delay(c, other)
	}
	d := testDatagram{slices.Clone(p), c.address}
	time.AfterFunc(delay, func() {
		select {
		case other.arrived <- d:
		default: // the buffer is full
		}
	})
	return len(p), nil
}

// suspend suspends the host until the returned function is called.
func (c *testConn) suspend() (resume func()) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.resumed = make(chan struct{})
	return sync.OnceFunc(func() { close(c.resumed) })
}

func (c *testConn) waitWhileSuspended() {
	c.network.mu.Lock()
	resumed := c.resumed
	c.network.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// kill makes the host send and receive nothing.
func (c *testConn) kill() {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.down = true
}

func (c *testConn) isDown() bool {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	return c.down
}

func (c *testConn) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(c.address) }

func (c *testConn) Close() error {
	close(c.closed)
	return nil
}

// setDrops sets which datagrams are lost from now on.
func (n *testNetwork) setDrops(drops func(from, to *testConn) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.drops = drops
}

// testPeer is a gateway that only exchanges its load: at its own endpoints, so that what another one
// knows can be compared with it.
type testPeer struct {
	*testConn
	mesh *Mesh
	name string

	mu        sync.Mutex
	local     *balance.LoadTracker
	known     *balance.LoadTracker
	running   []string // the endpoints of the requests that are running
	quiet     bool     // set if the load does not change
	handled   int
	late      int // of the handled messages
	malformed int
	origins   map[string]netip.AddrPort // the address of each sender
	bytes     map[Kind]int
	remote    int // bytes to other data centres
}

// testMesh is a set of gateways in several data centres.
type testMesh struct {
	*testNetwork
	peers []*testPeer
	wg    sync.WaitGroup
	done  chan struct{}
}

// endpointsPerPeer is how many endpoints a testPeer has load at.
const endpointsPerPeer = 24

// newTestMesh starts gateways, spread evenly over the data centres. A gateway for which forwards returns false
// behaves like one of the previous release.
func newTestMesh(t *testing.T, dataCentres, gateways int, forwards func(n int) bool) *testMesh {
	t.Helper()
	f := &testMesh{testNetwork: &testNetwork{conns: make(map[netip.AddrPort]*testConn)}, done: make(chan struct{})}
	var members []Member
	for n := range gateways {
		c := &testConn{network: f.testNetwork, address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 7100),
			dataCentre: fmt.Sprint("dc", n%dataCentres), arrived: make(chan testDatagram, 1<<14), closed: make(chan struct{})}
		f.conns[c.address] = c
		p := &testPeer{testConn: c, name: fmt.Sprintf("gw-%04d", n), local: balance.NewLoadTracker(), known: balance.NewLoadTracker(), origins: make(map[string]netip.AddrPort), bytes: make(map[Kind]int)}
		p.mesh = New(p.name, c)
		p.mesh.CountBytes(c.dataCentre, p.countBytes)
		if forwards(n) {
			p.mesh.EnableForwarding(c.dataCentre)
		}
		f.peers = append(f.peers, p)
		members = append(members, Member{Address: c.address})
	}
	for n, p := range f.peers {
		p.mesh.SetMembers(members)
		f.wg.Go(func() {
			malformed := p.mesh.Receive(p.receive)
			p.mu.Lock()
			defer p.mu.Unlock()
			p.malformed = malformed
		})
		f.wg.Go(func() { p.run(n, f.done) })
	}
	time.Sleep(3 * time.Second) // until all have heard from each other
	return f
}

// stop ends all gateways.
func (f *testMesh) stop() {
	close(f.done)
	for _, p := range f.peers {
		_ = p.mesh.Close()
	}
	f.wg.Wait()
}

func (p *testPeer) countBytes(kind Kind, remote bool, bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bytes[kind] += bytes
	if remote {
		p.remote += bytes
	}
}

func (p *testPeer) receive(msg Message, from netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handled++
	p.origins[msg.From] = from
	if msg.Late {
		p.late++
	}
	if msg.Partial {
		p.known.UpdatePeerLoad(msg.From, msg.DataCentre, msg.Loads, time.Now())
	} else {
		p.known.SetPeerLoad(msg.From, msg.DataCentre, msg.Loads, time.Now())
	}
}

// run changes the load 10 to 40 times a second and sends messages until the gateway stops.
func (p *testPeer) run(n int, done chan struct{}) {
	r := rand.New(rand.NewPCG(1, uint64(n)))
	time.Sleep(time.Duration(n) * 7 * time.Millisecond) // gateways are not synchronized
	regular := time.NewTicker(regularInterval)
	defer regular.Stop()
	change := time.NewTimer(0)
	defer change.Stop()
	for beat := 0; ; {
		msg := Message{DataCentre: p.dataCentre, Partial: true, Kind: LoadChange, EchoClocks: n < 2}
		select {
		case <-done:
			return
		case <-regular.C:
			msg.Partial, msg.Kind, msg.Direct = false, Regular, beat%directInterval == 0
			beat++
		case <-change.C:
			p.changeLoad(r)
			change.Reset(time.Duration(25+r.IntN(75)) * time.Millisecond)
		}
		p.waitWhileSuspended()
		p.fillLoads(&msg)
		now := time.Now()
		var to []netip.AddrPort
		for _, m := range p.mesh.Members(now) {
			to = append(to, m.Address)
		}
		_ = p.mesh.Send(msg, to, now)
		time.Sleep(10 * time.Millisecond)
	}
}

func (p *testPeer) fillLoads(msg *Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if msg.Partial {
		msg.Loads = p.local.LocalChanges()
	} else {
		msg.Loads = p.local.Local()
	}
}

// changeLoad starts a request at one of the endpoints, or ends one.
func (p *testPeer) changeLoad(r *rand.Rand) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.quiet {
		return
	}
	l := balance.Load{Short: 1, MemoryTokens: 4960, PrefillMs: 24.1, AwaitingFirstEvent: 1}
	if n := r.IntN(endpointsPerPeer); n >= len(p.running) {
		p.running = append(p.running, p.endpoint(r.IntN(endpointsPerPeer)))
		p.local.Add(p.running[len(p.running)-1], l)
	} else {
		p.local.PrefillDone(p.running[n], l)
		p.local.Remove(p.running[n], l)
		p.running = slices.Delete(p.running, n, n+1)
	}
}

func (p *testPeer) endpoint(n int) string { return fmt.Sprintf("%s/%02d", p.name, n) }

// setQuiet sets whether the loads change from now on.
func (f *testMesh) setQuiet(quiet bool) {
	for _, p := range f.peers {
		p.mu.Lock()
		p.quiet = quiet
		p.mu.Unlock()
	}
}

// wrong returns for how many pairs of live gateways the first does not know the load of the second.
func (f *testMesh) wrong() (pairs int) {
	now := time.Now()
	for _, p := range f.peers {
		for _, o := range f.peers {
			if p != o && !p.isDown() && !o.isDown() && !p.knows(o, now) {
				pairs++
			}
		}
	}
	return pairs
}

func (p *testPeer) knows(o *testPeer, now time.Time) bool {
	for n := range endpointsPerPeer {
		e := o.endpoint(n)
		o.mu.Lock()
		want := o.local.Load(e, now)
		o.mu.Unlock()
		p.mu.Lock()
		got := p.known.Load(e, now)
		p.mu.Unlock()
		if got.Short != want.Short || got.MemoryTokens != want.MemoryTokens {
			return false
		}
	}
	return true
}

// forwarders returns the gateways of a data centre that a gateway asks to forward its messages.
func (f *testMesh) forwarders(p *testPeer, dataCentre string) (out []*testPeer) {
	now := time.Now()
	var to []netip.AddrPort
	for _, m := range p.mesh.Members(now) {
		to = append(to, m.Address)
	}
	p.mesh.mu.Lock()
	plan := p.mesh.plan(to, now)
	p.mesh.mu.Unlock()
	for _, o := range f.peers {
		if o.dataCentre == dataCentre && slices.Contains(plan.Forwarders, o.address) {
			out = append(out, o)
		}
	}
	return out
}

// remoteBytes returns the bytes that all gateways have sent to other data centres, and all bytes by kind.
func (f *testMesh) remoteBytes() (remote int, byKind map[Kind]int) {
	byKind = make(map[Kind]int)
	for _, p := range f.peers {
		p.mu.Lock()
		remote += p.remote
		for k, n := range p.bytes {
			byKind[k] += n
		}
		p.mu.Unlock()
	}
	return remote, byKind
}
