package relay

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/daemon/drain"
	"github.com/micarudder/micarudder/peers"
	"github.com/micarudder/micarudder/residual"
)

const (
	modelSlots   = 12
	modelPrefill = 24 * time.Millisecond // of a short prompt
	// modelIterations is the time from the end of the prefill to the first event.
	modelIterations = 75 * time.Millisecond
	modelObjective  = 250 * time.Millisecond
	modelMean       = 2300 * time.Millisecond // of streams
	modelReportAge  = 200 * time.Millisecond
)

// modelEngine runs requests in slots. A request waits if all slots are taken.
type modelEngine struct {
	freeAt       [modelSlots]time.Time
	prefillUntil time.Time
	ends         []time.Time // of all requests
	reportedAt   time.Time
	reported     int
}

// run adds a request that arrives now and returns when its first event comes and when it ends.
func (e *modelEngine) run(duration time.Duration, now time.Time) (first, end time.Time) {
	slot := 0
	for i := range e.freeAt {
		if e.freeAt[i].Before(e.freeAt[slot]) {
			slot = i
		}
	}
	begin := now
	for _, at := range []time.Time{e.freeAt[slot], e.prefillUntil} {
		if at.After(begin) {
			begin = at
		}
	}
	e.prefillUntil = begin.Add(modelPrefill)
	first = e.prefillUntil.Add(modelIterations)
	end = first.Add(duration)
	e.freeAt[slot] = end
	e.ends = append(e.ends, end)
	return first, end
}

// report returns the number of requests as of the engine's newest report.
func (e *modelEngine) report(now time.Time) int {
	if e.reportedAt.IsZero() || now.Sub(e.reportedAt) >= modelReportAge {
		e.reportedAt, e.reported = now, 0
		for _, end := range e.ends {
			if end.After(now) {
				e.reported++
			}
		}
	}
	return e.reported
}

// restartCase is a restart of gateways while engines work on requests of all of them.
type restartCase struct {
	gateways, engines, running, perSecond int
	restarted                             int  // number of gateways that start
	residualLoad                          bool // the setting
	known                                 bool // whether the gateways know all loads from the beginning
	// discovery is when the first messages to and from the gateways that start arrive.
	discovery time.Duration
	seed      uint64
}

// restartResult is what callers get in the two seconds after a restart.
type restartResult struct {
	sent, late, avoidable int // late ones, and those of them that waited while other engines had free slots
	reports               int // that the gateways asked for meanwhile
	mostReports           int // that one gateway asked for
	most                  int // requests that were at one engine at once
}

// run lets gateways restart and sends short prompts for two seconds.
func (c restartCase) run(t *testing.T) (result restartResult) {
	synctest.Test(t, func(t *testing.T) {
		r := rand.New(rand.NewPCG(c.seed, 0))
		stream := func() time.Duration { return time.Duration(float64(modelMean) * r.ExpFloat64()) }
		engines := make(map[string]*modelEngine)
		var mu sync.Mutex
		var f *testFleet
		var wg sync.WaitGroup
		prepare := func(fleet *testFleet) {
			f = fleet
			f.running = func(address string) int {
				mu.Lock()
				defer mu.Unlock()
				return engines[address].report(time.Now())
			}
			for i := range c.engines {
				engines[addressOf(i)] = new(modelEngine)
			}
			now := time.Now()
			old := make([]map[string]balance.Load, c.gateways)
			for range c.running {
				n, g := r.IntN(c.engines), r.IntN(c.gateways)
				_, end := engines[addressOf(n)].run(stream(), now)
				engines[addressOf(n)].prefillUntil = time.Time{} // its prefill was before the restart
				load, id := balance.Load{Short: 1, MemoryTokens: 6000}, fmt.Sprint("e", n)
				if old[g] == nil {
					old[g] = make(map[string]balance.Load)
				}
				old[g][id] = balance.Load{Short: old[g][id].Short + 1, MemoryTokens: old[g][id].MemoryTokens + load.MemoryTokens}
				if g >= c.restarted {
					p := f.gateways[g].picker
					p.loads.Add(id, load)
					p.loads.PrefillDone(id, load)
					time.AfterFunc(end.Sub(now), func() {
						p.mu.Lock()
						defer p.mu.Unlock()
						p.loads.Remove(id, load)
						p.notifyPeers()
					})
				}
			}
			for i, g := range f.gateways {
				if i >= c.restarted { // it has run for long and knows the processes before the restart
					if table := g.picker.loads.Residual(); table != nil {
						table.Due(nil, 1, now.Add(-time.Minute))
					}
					for j := range f.gateways {
						msg := peers.Message{From: f.gateways[j].config.Name, Incarnation: 1, DataCentre: f.members[j].DataCentre, Loads: maps.Clone(old[j])}
						if j < c.restarted {
							msg.Incarnation = 0 // before the restart
						}
						if j != i {
							g.picker.recordPeer(msg, now)
							g.storeReads.recordPeerStore(msg, true, now)
						}
					}
				}
				if c.known {
					reports := make(map[string]residual.Report)
					for n := range c.engines {
						live := g.picker.loads.LiveResidual(fmt.Sprint("e", n), now).Requests
						reports[fmt.Sprint("e", n)] = residual.Report{Requests: engines[addressOf(n)].report(now) - live}
					}
					g.picker.loads.Residual().SetReports(reports, false, now)
				}
			}
			if !c.known {
				f.drops = func(from, to int) bool {
					return (from < c.restarted || to < c.restarted) && time.Since(now) < c.discovery
				}
			}
		}
		configure := func(cfg *catalog.Configuration) {
			cfg.Routes[0].Objective, cfg.Routes[0].GapObjective = modelObjective, modelObjective
			cfg.Services[0].Engine.Slots = modelSlots
		}
		newPreparedFleet(t, 3, c.gateways, c.engines, Config{ResidualLoad: c.residualLoad}, configure, prepare)
		for n := range 2 * c.perSecond {
			g, duration := r.IntN(c.gateways), stream()
			result.sent++
			wg.Go(func() {
				began := time.Now()
				x := f.newExchange(t.Context(), g, 4960)
				x.call.ID = fmt.Sprint(n)
				pl, _ := x.findPlacement(t.Context())
				if pl == nil {
					mu.Lock()
					result.late++
					mu.Unlock()
					return
				}
				mu.Lock()
				now := time.Now()
				e := engines[f.address(pl.endpoint.ID)]
				free := false
				for _, other := range engines {
					for _, at := range other.freeAt {
						free = free || !at.After(now)
					}
				}
				first, end := e.run(duration, now)
				if first.Sub(began) > modelObjective {
					result.late++
					if free {
						result.avoidable++
					}
				}
				running := 0
				for _, at := range e.ends {
					if at.After(now) {
						running++
					}
				}
				result.most = max(result.most, running)
				mu.Unlock()
				time.Sleep(time.Until(first))
				x.recordPart(pl)
				time.Sleep(time.Until(end))
				pl.release()
			})
			time.Sleep(time.Second / time.Duration(c.perSecond))
		}
		for _, g := range f.gateways {
			n := int(g.meter.residualReports.Get())
			result.reports, result.mostReports = result.reports+n, max(result.mostReports, n)
		}
		wg.Wait()
	})
	return result
}

// TestRestartKnowsResidualLoad guards against short prompts that are packed onto engines that still run
// requests of gateways before their restart, while other engines have free slots. It allows for gateways
// that choose the same engine while they do not know each other.
func TestRestartKnowsResidualLoad(t *testing.T) {
	for name, tt := range map[string]struct {
		restarted int
		discovery time.Duration
		maxMore   int // late prompts beyond those of gateways that know all loads
	}{
		"all":                               {29, 500 * time.Millisecond, 15},
		"all, without messages for a while": {29, 2 * time.Second, 40},
		"a third":                           {10, 500 * time.Millisecond, 8},
		"one":                               {1, 500 * time.Millisecond, 4},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := restartCase{gateways: 29, engines: 69, running: 600, perSecond: 260, restarted: tt.restarted, discovery: tt.discovery, residualLoad: true, seed: 1}
			result := c.run(t)
			c.known = true
			known := c.run(t)
			t.Logf("%+v, with all loads known %+v", result, known)
			is.True(result.late <= known.late+tt.maxMore)
			is.True(result.mostReports <= 45) // 9 in 400 ms
		})
	}
}

// TestRestartWithoutResidualLoad checks that the model shows the fault: without the setting, many prompts
// are late after a restart of all gateways, and nothing is asked or counted.
func TestRestartWithoutResidualLoad(t *testing.T) {
	is := is.New(t)
	result := restartCase{gateways: 29, engines: 69, running: 600, perSecond: 260, restarted: 29, discovery: 500 * time.Millisecond, seed: 1}.run(t)
	t.Logf("%+v", result)
	is.True(result.avoidable >= 100)
	is.Equal(result.reports, 0)
}

// TestSilentGatewayLeavesResidualLoad guards against engines that look free because the gateway whose
// requests they run has fallen silent, and against load that counts on after the engine has dropped it.
func TestSilentGatewayLeavesResidualLoad(t *testing.T) {
	for name, c := range map[string]struct {
		running int // of the silent gateway's 6 requests, according to the engine
		leaving bool
		back    bool // whether the gateway is heard from again
		want    int
	}{
		"engine runs them":       {6, false, false, 5},
		"engine dropped some":    {2, false, false, 2},
		"engine dropped all":     {0, false, false, 0},
		"shut down":              {6, true, false, 0},
		"comes back":             {6, false, true, 6},
		"engine without answers": {-1, false, false, 5},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newPreparedFleet(t, 1, 5, 20, Config{ResidualLoad: true}, func(*catalog.Configuration) {}, func(f *testFleet) {
					f.running = func(address string) int {
						if address != addressOf(0) {
							return 0
						}
						return max(0, c.running)
					}
					f.down = map[string]bool{addressOf(0): c.running < 0}
				})
				time.Sleep(6 * time.Second) // the gateways are not starting any more
				silent := f.gateways[0]
				if c.leaving {
					silent.drain.Begin(drain.Schedule{DrainTime: time.Minute}, time.Now())
				}
				silent.picker.mu.Lock()
				for range 6 {
					silent.picker.loads.Add("e0", balance.Load{Short: 1, MemoryTokens: 6000})
				}
				silent.picker.mu.Unlock()
				time.Sleep(500 * time.Millisecond)
				f.setDrops(func(from, to int) bool { return from == 0 })
				time.Sleep(4 * time.Second)
				if c.back {
					f.setDrops(nil)
					time.Sleep(500 * time.Millisecond)
				}
				for _, g := range f.gateways[1:] {
					g.picker.mu.Lock()
					load := g.picker.loads.Load("e0", time.Now())
					g.picker.mu.Unlock()
					is.Equal(load.Short, c.want)
				}
			})
		})
	}
}
