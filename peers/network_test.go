package peers

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/internal/meshnet"
)

const (
	regularInterval = 250 * time.Millisecond
	// directInterval is how many regular messages are sent for each one that is not forwarded.
	directInterval = 4
)

// testPeer is a gateway that only exchanges its load: at its own endpoints, so that what another one
// knows can be compared with it.
type testPeer struct {
	*meshnet.Conn
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
	dated     int                       // messages with an echo of this gateway's clock
	misdated  int                       // of these, those with an echo from after their sending
	origins   map[string]netip.AddrPort // the address of each sender
	bytes     map[Kind]int
	remote    int // bytes to other data centres
}

// testMesh is a set of gateways in several data centres.
type testMesh struct {
	*meshnet.Network
	peers []*testPeer
	wg    sync.WaitGroup
	done  chan struct{}
}

// endpointsPerPeer is how many endpoints a testPeer has load at.
const endpointsPerPeer = 24

// newTestMesh starts gateways, spread evenly over the data centres. A gateway for which forwards
// returns false behaves like one of the previous release.
func newTestMesh(t *testing.T, dataCentres, gateways int, forwards func(n int) bool) *testMesh {
	t.Helper()
	f := &testMesh{Network: meshnet.New(), done: make(chan struct{})}
	var members []Member
	for n := range gateways {
		c := f.Listen(meshnet.Address(n), fmt.Sprint("dc", n%dataCentres))
		p := &testPeer{Conn: c, name: fmt.Sprintf("gw-%04d", n), local: balance.NewLoadTracker(), known: balance.NewLoadTracker(), origins: make(map[string]netip.AddrPort), bytes: make(map[Kind]int)}
		p.mesh = New(p.name, c)
		p.mesh.CountBytes(c.DataCentre, p.countBytes)
		if forwards(n) {
			p.mesh.EnableForwarding(c.DataCentre)
		}
		f.peers = append(f.peers, p)
		members = append(members, Member{Address: c.Address})
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
	if at, ok := p.mesh.SentAfter(msg); ok {
		p.dated++
		// All gateways started at the same time.
		if at.After(p.mesh.epoch.Add(time.Duration(msg.Clock))) {
			p.misdated++
		}
	}
	if msg.Partial {
		p.known.UpdatePeerLoad(msg.From, msg.DataCentre, msg.Loads, time.Now())
	} else {
		p.known.SetPeerLoad(msg.From, msg.DataCentre, msg.Loads, time.Now())
	}
}

// counts returns the numbers of late, dated and misdated messages.
func (p *testPeer) counts() (late, dated, misdated int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.late, p.dated, p.misdated
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
		msg := Message{DataCentre: p.DataCentre, Partial: true, Kind: LoadChange, EchoClocks: n < 2}
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
		p.WaitWhileSuspended()
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
			if p != o && !p.Killed() && !o.Killed() && !p.knows(o, now) {
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
		if o.DataCentre == dataCentre && slices.Contains(plan.Forwarders, o.Address) {
			out = append(out, o)
		}
	}
	return out
}

// remoteBytes returns the bytes that all gateways have sent to other data centres, and all bytes by
// kind.
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
