package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/eventlog"
	"github.com/micarudder/micarudder/limits"
	"github.com/micarudder/micarudder/peers"
	"github.com/micarudder/micarudder/recipients"
	"github.com/micarudder/micarudder/upstream"
)

const (
	localDelay  = time.Millisecond     // of a message inside a data centre
	remoteDelay = 3 * time.Millisecond // of a message between two data centres
)

// testFleet is a set of gateways in several data centres with engines, in one process under virtual
// time. No message is lost unless drops says so.
type testFleet struct {
	gateways []*Gateway
	members  []peers.Member
	table    *catalog.Table
	drops    func(from, to int) bool

	mu           sync.Mutex
	messagesSent []int                // by gateway
	loadsSent    []int                // endpoint loads in the messages, by gateway
	crashReports []int                // crash reports that reached a gateway
	busyUntil    map[string]time.Time // until when an engine prefills the prompts that it was given, by endpoint
	overlaps     int                  // parts of prompts that were placed on an engine that was still prefilling another one
	slowdowns    map[string]float64   // of slow engines, by address
	down         map[string]bool      // engines that refuse connections, by address
	// cutOff gateways cannot reach any engine.
	cutOff map[int]bool
	dials  int // connection attempts to engines that are down
	// running returns how many requests the engine at an address reports; nil: none.
	running func(address string) int
	// dialOverride replaces dial if it is set.
	dialOverride func(gateway int, address string) (net.Conn, error)
}

// dial connects a gateway to an engine that reports its slowdown and nothing else.
func (f *testFleet) dial(gateway int, address string) (net.Conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down[address] || f.cutOff[gateway] {
		f.dials++
		return nil, syscall.ECONNREFUSED
	}
	client, server := net.Pipe()
	go func() {
		defer func() { _ = server.Close() }()
		br := bufio.NewReader(server)
		for {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			f.mu.Lock()
			slowdown := max(1, f.slowdowns[address])
			f.mu.Unlock()
			running := 0
			if f.running != nil {
				running = f.running(address)
			}
			if _, err := fmt.Fprintf(server, "HTTP/1.1 200 OK\r\nPace: %g\r\nRunning: %d\r\nContent-Length: 0\r\n\r\n", slowdown, running); err != nil {
				return
			}
		}
	}()
	return client, nil
}

// runWatch simulates how a gateway watches endpoints until ctx ends.
func (f *testFleet) runWatch(ctx context.Context, i int) {
	g := f.gateways[i]
	others := slices.Delete(slices.Clone(f.members), i, i+1)
	var list map[string]*watchedEndpoint
	for ; ctx.Err() == nil; time.Sleep(watchInterval) {
		now := time.Now()
		list = g.assignedEndpoints(list, others, now)
		g.queryDue(list, now)
		g.askResidual(others, now)
	}
	g.Close()
}

// newFleet starts gateways and engines, spread evenly over the data centres.
func newFleet(t *testing.T, dataCentres, gateways, engines int) *testFleet {
	t.Helper()
	return newPreparedFleet(t, dataCentres, gateways, engines, Config{}, func(*catalog.Configuration) {}, func(*testFleet) {})
}

// newPreparedFleet is newFleet with settings for the gateways and a change to the configuration. prepare
// is called before the gateways send messages.
func newPreparedFleet(t *testing.T, dataCentres, gateways, engines int, base Config, configure func(*catalog.Configuration), prepare func(*testFleet)) *testFleet {
	t.Helper()
	c := &catalog.Configuration{
		Version: 1,
		Routes: []catalog.Route{{Name: "long", Host: "h", PathPrefix: "/", Kind: catalog.Streaming, Resumable: true, MaxAttempts: 2, Timeout: 15 * time.Second,
			Objective: 3 * time.Second, GapObjective: time.Second, Targets: []catalog.Target{{Service: "s", Weight: 1}}}},
		Services: []catalog.Service{{Name: "s", Engine: &catalog.Engine{Slots: 10, MemoryTokens: 232000, StepMs: 1, ReadPerMs: 206, PairsPerM: 0.138, ChunkTokens: 2048, Stride: 68}}},
	}
	configure(c)
	f := &testFleet{table: catalog.NewTable(c), messagesSent: make([]int, gateways), loadsSent: make([]int, gateways), crashReports: make([]int, gateways), busyUntil: make(map[string]time.Time)}
	var list []catalog.Endpoint
	for i := range engines {
		list = append(list, catalog.Endpoint{ID: fmt.Sprint("e", i), Service: "s", Address: addressOf(i), DataCentre: fmt.Sprint("dc", i%dataCentres), Slots: 10})
	}
	events := eventlog.New(io.Discard, eventlog.Options{Level: log.ErrorLevel, LinesPerSecond: 1})
	t.Cleanup(func() { events.Close(time.Second) })
	for i := range gateways {
		dc := fmt.Sprint("dc", i%dataCentres)
		base.Name, base.DataCentre, base.DrainTime, base.Policy, base.Retries = fmt.Sprint("g", i), dc, stopDrainTime, balance.Default(), limits.RetryWindowConfig{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}
		g := New(base, Deps{Protocol: testProtocol{}, Log: events, Metrics: metrics.NewSet(), Endpoints: upstream.New(upstream.Options{
			MaxIdle: time.Minute, IdlePerHost: 1,
			Dialer: func(_ context.Context, address string) (net.Conn, error) {
				if f.dialOverride != nil {
					return f.dialOverride(i, address)
				}
				return f.dial(i, address)
			},
		})})
		g.state.ApplyConfiguration(c)
		g.state.ApplyList(list, time.Now(), time.Now(), time.Time{})
		f.gateways = append(f.gateways, g)
		f.members = append(f.members, peers.Member{Name: g.config.Name, DataCentre: dc, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(i+1))})
	}
	prepare(f)
	var wg sync.WaitGroup
	t.Cleanup(wg.Wait) // the context ends first
	for i := range f.gateways {
		wg.Go(func() { f.sendMessages(t.Context(), i) })
		wg.Go(func() { f.runWatch(t.Context(), i) })
	}
	return f
}

// addressOf returns the address of an engine.
func addressOf(engine int) string { return fmt.Sprint("127.0.0.1:", 1000+engine) }

// sendMessages simulates the peer messages of one gateway until ctx ends.
func (f *testFleet) sendMessages(ctx context.Context, i int) {
	g := f.gateways[i]
	time.Sleep(time.Duration(i) * 7 * time.Millisecond) // gateways are not synchronized
	heartbeat := time.NewTicker(broadcastInterval)
	defer heartbeat.Stop()
	for beat := 0; ctx.Err() == nil; {
		cause := loadChanged
		select {
		case <-ctx.Done():
			return
		case <-heartbeat.C:
			cause = broadcastDue
			if beat++; beat%broadcastsPerDigest == 0 {
				cause = digestsDue
			}
		case <-g.fullMessageDue:
			cause = proofRead
		case <-g.picker.sendSoon:
		}
		now := time.Now()
		others := slices.Delete(slices.Clone(f.members), i, i+1)
		r := recipients.New(g.config.Name, g.config.DataCentre, g.state.Cells(), others, g.storeReads.recentPeers(now))
		for _, out := range g.outgoing(r, cause, now) {
			f.deliver(i, out, now)
		}
		time.Sleep(minBroadcastGap)
	}
}

func (f *testFleet) deliver(from int, out outgoingMessage, sentAt time.Time) {
	msg := out.message
	msg.From, msg.Incarnation = f.gateways[from].config.Name, 1
	f.mu.Lock()
	f.messagesSent[from] += len(out.to)
	f.loadsSent[from] += len(out.to) * len(msg.Loads)
	f.mu.Unlock()
	for _, to := range out.to {
		n := int(to.Port()) - 1
		if f.isDropped(from, n) {
			continue
		}
		f.mu.Lock()
		f.crashReports[n] += len(msg.CrashReports)
		f.mu.Unlock()
		delay := localDelay
		if f.members[n].DataCentre != f.members[from].DataCentre {
			delay = remoteDelay
		}
		msg := msg
		msg.Loads = maps.Clone(msg.Loads) // receivers modify the map that they keep
		time.AfterFunc(delay, func() {
			now := time.Now()
			g := f.gateways[n]
			g.picker.recordPeer(msg, now)
			g.handleCrashReports(msg)
			g.handlePeerLimits(msg)
			g.handlePeerDrains(msg)
			g.handlePeerEvacuations(msg)
			g.storeReads.mu.Lock()
			g.storeReads.recordPeerStore(msg, !g.fromOtherCell(msg), now)
			g.storeReads.mu.Unlock()
			g.picker.recordDigests(msg, sentAt)
		})
	}
}

// setDrops sets which messages are lost from now on.
func (f *testFleet) setDrops(drops func(from, to int) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drops = drops
}

// isDropped reports whether a message is lost.
func (f *testFleet) isDropped(from, to int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.drops != nil && f.drops(from, to)
}

// newExchange returns the exchange of a prompt that arrives at a gateway now.
func (f *testFleet) newExchange(ctx context.Context, gateway, tokens int) *exchange {
	start := time.Now()
	return &exchange{
		g: f.gateways[gateway], w: httptest.NewRecorder(), r: httptest.NewRequestWithContext(ctx, "POST", "/", nil), call: Call{ID: "r", PromptTokens: tokens, MaxTokens: 300},
		table: f.table, route: &f.table.Configuration.Routes[0], service: &f.table.Configuration.Services[0], started: start, deadline: start.Add(15 * time.Second),
	}
}

// placePrompt places a prompt at a gateway and simulates what the engines do with it. It returns
// how long the prompt waited for endpoints, whether it was placed, and whether endpoints of other
// cells took part.
func (f *testFleet) placePrompt(ctx context.Context, gateway, tokens int) (waited time.Duration, placed, remote bool) {
	start := time.Now()
	x := f.newExchange(ctx, gateway, tokens)
	pl, _ := x.findPlacement(ctx)
	waited = time.Since(start)
	if pl == nil {
		return waited, false, false
	}
	first := f.simulatePrefill(pl)
	time.Sleep(first)
	x.recordPart(pl)
	time.Sleep(time.Second)
	pl.release()
	return waited, true, pl.remoteEndpoints > 0
}

// address returns an engine's address.
func (f *testFleet) address(endpoint string) string {
	e, _ := f.gateways[0].state.Endpoint(endpoint)
	return e.Address
}

// simulatePrefill records the prefill of a prompt at its engines and returns how long the slowest
// part takes.
func (f *testFleet) simulatePrefill(pl *placement) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var last time.Duration
	for _, l := range pl.loads {
		if f.busyUntil[l.endpoint].After(now) {
			f.overlaps++
		} else {
			f.busyUntil[l.endpoint] = now
		}
		prefillMs := l.load.PrefillMs * max(1, f.slowdowns[f.address(l.endpoint)])
		f.busyUntil[l.endpoint] = f.busyUntil[l.endpoint].Add(time.Duration(prefillMs * float64(time.Millisecond)))
		last = max(last, f.busyUntil[l.endpoint].Sub(now))
	}
	return last + 100*time.Millisecond
}

// burstResult counts the prompts of a burst by result.
type burstResult struct {
	sent, placed, remote, quick int
	inTime                      int // whose first event came within the objective
}

// burst sends prompts to the gateways that at returns, this many per second, for two seconds.
func (f *testFleet) burst(t *testing.T, perSecond, tokens int, at func(n int) int) burstResult {
	var r burstResult
	var mu sync.Mutex
	var wg sync.WaitGroup
	for n := range 2 * perSecond {
		r.sent++
		wg.Go(func() {
			start := time.Now()
			waited, placed, remote := f.placePrompt(t.Context(), at(n), tokens)
			mu.Lock()
			defer mu.Unlock()
			if !placed {
				return
			}
			r.placed++
			if remote {
				r.remote++
			}
			if waited < 200*time.Millisecond {
				r.quick++
			}
			if time.Since(start)-time.Second <= 3*time.Second {
				r.inTime++
			}
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	wg.Wait()
	return r
}

// TestBurstAcrossCells: forty long prompts a second are placed on 150 engines of five data centres
// without delay, and no two on the same engine. When all gateways formed a single cell, taking
// turns limited them to 30 a second.
func TestBurstAcrossCells(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 5, 20, 150)
		time.Sleep(3 * time.Second)
		r := f.burst(t, 40, 120_000, func(n int) int { return n % 20 })
		t.Logf("%+v, %d overlapping parts", r, f.overlaps)
		is.True(r.placed >= r.sent*95/100)
		is.True(r.quick >= r.sent*80/100)
		is.True(r.inTime >= r.sent*90/100)
	})
}

// TestFullCellUsesOtherCells: the callers of one data centre send more prompts than its engines can
// prefill. Engines of the other data centres help, without two cells choosing the same ones.
func TestFullCellUsesOtherCells(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 5, 20, 150)
		time.Sleep(3 * time.Second)
		r := f.burst(t, 24, 190_000, func(n int) int { return n % 4 * 5 }) // all in the first data centre
		t.Logf("%+v, %d overlapping parts", r, f.overlaps)
		is.True(r.placed >= r.sent*90/100)
		is.True(r.remote > 0)
		is.True(f.overlaps*100 <= r.placed*20)
	})
}

// TestMessageRateIndependentOfFleetSize: in a second without requests, a gateway sends as many
// messages with five cells as with one if it does not represent its cell. A representative sends a
// few more for each cell.
func TestMessageRateIndependentOfFleetSize(t *testing.T) {
	quiet := func(dataCentres int) (messages []int) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, dataCentres, 6*dataCentres, 30*dataCentres)
			time.Sleep(3 * time.Second)
			f.mu.Lock()
			before := slices.Clone(f.messagesSent)
			f.mu.Unlock()
			time.Sleep(time.Second)
			f.mu.Lock()
			defer f.mu.Unlock()
			for i, n := range f.messagesSent {
				messages = append(messages, n-before[i])
			}
		})
		slices.Sort(messages)
		return messages
	}
	is := is.New(t)
	one, five := quiet(1), quiet(5)
	is.Equal(one[len(one)/2], 20) // four messages a second to five others
	is.Equal(five[len(five)/2], one[len(one)/2])
	is.True(five[len(five)-1] <= one[len(one)-1]+2*4*(recipients.MinCrossCellReceivers+recipients.StoreReaders))
}

// TestCellRepresentativeFailover: when the two representatives of a cell fall silent, other
// gateways represent it within two seconds. If a third of all messages is lost, prompts overlap on
// endpoints and wait, but three quarters are placed (41 to 48 of 48 in 25 runs, which differ in the
// order of map iteration).
func TestCellRepresentativeFailover(t *testing.T) {
	for name, c := range map[string]struct {
		drops     func(f *testFleet) func(from, to int) bool
		minPlaced int // percentage of prompts that must be placed
	}{
		"representatives silent": {func(f *testFleet) func(from, to int) bool {
			silent := f.representatives()
			return func(from, to int) bool { return silent[from] || silent[to] }
		}, 90},
		"messages lost": {func(*testFleet) func(from, to int) bool {
			n := 0
			return func(int, int) bool { n++; return n%3 == 0 }
		}, 75},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 5, 20, 150)
				time.Sleep(3 * time.Second)
				drops := c.drops(f)
				senders := f.nonRepresentatives() // before others represent the cell
				f.setDrops(drops)
				time.Sleep(2 * time.Second)
				r := f.burst(t, 24, 190_000, func(n int) int { return senders[n%len(senders)] })
				t.Logf("%+v, %d overlapping parts", r, f.overlaps)
				is.True(r.placed >= r.sent*c.minPlaced/100)
				is.True(r.remote > 0)
			})
		})
	}
}

// representatives returns the gateways that represent their cell.
func (f *testFleet) representatives() map[int]bool {
	out := make(map[int]bool)
	now := time.Now()
	for i, g := range f.gateways {
		others := slices.Delete(slices.Clone(f.members), i, i+1)
		if recipients.New(g.config.Name, g.config.DataCentre, g.state.Cells(), others, g.storeReads.recentPeers(now)).Representative {
			out[i] = true
		}
	}
	return out
}

// nonRepresentatives returns the gateways of the first data centre that do not represent their cell.
func (f *testFleet) nonRepresentatives() []int {
	representatives := f.representatives()
	var out []int
	for i, m := range f.members {
		if m.DataCentre == f.members[0].DataCentre && !representatives[i] {
			out = append(out, i)
		}
	}
	return out
}
