package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/micarudder/micarudder/internal/standin/usersplatform"
)

// limitPlay is one play with workers that name limits, without other faults.
type limitPlay struct {
	gateways, workers int     // of each service
	limited           int     // workers of each service that name a limit
	perSecond         float64 // what each of these names
	clients           int
	pause             time.Duration // longest between two requests of a client; zero: clientPause
	// oneGateway makes all clients ask the same gateway.
	oneGateway bool
	// oneEach makes each client ask a gateway of its own.
	oneEach bool
	length  time.Duration
	// served is the least part of the requests that is served, where they are fewer than the limits allow.
	served float64
	// meanwhile is played beside the clients; nil: nothing.
	meanwhile func(r *run)
}

// limitFigures is what a play showed, after contactTime.
type limitFigures struct {
	worst   float64 // most that a worker got in limitSpan, as a part of what is tolerated
	used    float64 // what workers with limits got, as a part of what they named
	asked   int
	refused int
	slowest time.Duration // of the refusals
	broken  int
}

func (f limitFigures) String() string {
	return fmt.Sprintf("worst span %.2f of what is tolerated, %.2f of the limits used, %d asked, %d refused, the slowest after %v, %d broken",
		f.worst, f.used, f.asked, f.refused, f.slowest.Round(time.Millisecond), f.broken)
}

// playLimits plays one and returns its figures.
func playLimits(t *testing.T, bin string, n int, p limitPlay) limitFigures {
	t.Helper()
	r := beginPlay(t, Config{Seed: uint64(n), Binary: bin, Network: network(100 + n), Gateways: p.gateways, Workers: p.workers})
	ctx, stop := context.WithCancel(t.Context())
	var tasks sync.WaitGroup
	tasks.Go(func() { r.balance(ctx) })
	r.startClients(ctx, &tasks, n, p.clients, func(c *client) {
		c.pause = p.pause
		if p.oneGateway {
			c.gateway = r.front(0)
		}
		if p.oneEach {
			c.gateway = r.front(c.number)
		}
	})
	time.Sleep(time.Second)
	limited := r.nameLimits(p.limited, fmt.Sprint(p.perSecond))
	from := time.Now().Add(contactTime)
	if p.meanwhile != nil {
		tasks.Go(func() { p.meanwhile(r) })
	}
	time.Sleep(contactTime + p.length)
	to := time.Now()
	stop()
	tasks.Wait()
	return r.limitFigures(limited, p.perSecond, from, to)
}

// beginPlay begins a run that ends with the test.
func beginPlay(t *testing.T, c Config) *run {
	t.Helper()
	c.Dir = t.TempDir()
	r, err := begin(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		r.end()
		r.close()
	})
	return r
}

// startClients starts so many clients, each after setup.
func (r *run) startClients(ctx context.Context, tasks *sync.WaitGroup, seed, n int, setup func(c *client)) {
	for i := range n {
		c := &client{run: r, number: i, random: rand.New(rand.NewPCG(uint64(seed), uint64(i))), http: make(map[string]*http.Transport)}
		setup(c)
		tasks.Go(func() { c.loop(ctx) })
	}
}

// nameLimits makes the first workers of each service name a limit and returns their ids.
func (r *run) nameLimits(each int, text string) map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	named := make(map[string]int)
	ids := make(map[string]bool)
	for _, w := range r.workers {
		if named[w.worker.Kind]++; named[w.worker.Kind] <= each {
			w.worker.SetLimit(text)
			ids[w.worker.ID] = true
		}
	}
	return ids
}

func (r *run) limitFigures(limited map[string]bool, perSecond float64, from, to time.Time) limitFigures {
	r.mu.Lock()
	defer r.mu.Unlock()
	var f limitFigures
	for _, u := range limitUses(r.all, &r.facts) {
		f.worst = max(f.worst, u.share())
	}
	got := 0
	for _, a := range r.ledger.Arrivals() {
		if limited[a.Worker] && !a.At.Before(from) && a.At.Before(to) {
			got++
		}
	}
	f.used = float64(got) / (perSecond * float64(len(limited)) * to.Sub(from).Seconds())
	for _, a := range r.all {
		if a.sent.Before(from) || a.ended.After(to) || a.abandoned {
			continue
		}
		f.asked++
		switch {
		case a.broken != nil:
			f.broken++
		case a.status == http.StatusServiceUnavailable:
			f.refused++
			if !overlapsAny(r.facts.troubled[a.gateway], &a) {
				f.slowest = max(f.slowest, a.ended.Sub(a.sent))
			}
		}
	}
	return f
}

// refusedWithin is how soon a request that is refused hears of it: the part of the objective that it may wait,
// and a busy machine. One whose coordinator has gone waits no longer either.
const refusedWithin = objective

// TestEndpointGetsWhatItNamed: an endpoint in need named two requests a second for all gateways together and
// got as many as before, several times what it tolerates. The answers that named it passed through every gateway within a second and
// a half; none read them, and sends a second did not change. Cause: each gateway decided alone what it sends, as if an endpoint's limit were
// not shared. Evidence: with the header read and each gateway keeping the whole limit alone, 24 gateways may send 24 times as much; with
// single sends granted by one of them, the worst four seconds stay at half of what is tolerated, and all of it is used.
func TestEndpointGetsWhatItNamed(t *testing.T) {
	bin := build(t)
	const (
		nearlyAll = 0.9
		// withTrouble is what is left of it where the coordinator ends twice in twelve seconds and two seconds
		// pass each time until another one grants.
		withTrouble = nearlyAll * (1 - 4.0/12)
	)
	cases := []struct {
		name     string
		used     float64 // least part of the limits; 0: others have room
		refusals bool
		play     limitPlay
	}{
		{"one of six", 0, false, limitPlay{gateways: 6, workers: 6, limited: 1, perSecond: 2, clients: 24, length: 6 * time.Second}},
		{"all, 6 gateways", nearlyAll, true, limitPlay{gateways: 6, workers: 6, limited: 6, perSecond: 1.9, clients: 24, length: 8 * time.Second}},
		{"all, 24 gateways", nearlyAll, true, limitPlay{gateways: 24, workers: 4, limited: 4, perSecond: 2, clients: 24, length: 8 * time.Second}},
		{"all, 24 gateways, one asked", nearlyAll, true, limitPlay{gateways: 24, workers: 4, limited: 4, perSecond: 2, clients: 24, oneGateway: true, length: 8 * time.Second}},
		{"all, a request every few seconds at each of 24", 0, true, limitPlay{gateways: 24, workers: 4, limited: 4, perSecond: 2, clients: 24, oneEach: true, pause: 6 * time.Second, length: 12 * time.Second, served: nearlyAll}},
		{"all, gateways killed", withTrouble, true, limitPlay{gateways: 6, workers: 4, limited: 4, perSecond: 2, clients: 24, length: 9 * time.Second, meanwhile: killInTurn}},
		{"all, gateways frozen", withTrouble, true, limitPlay{gateways: 6, workers: 4, limited: 4, perSecond: 2, clients: 24, length: 9 * time.Second, meanwhile: freezeInTurn}},
		{"limits change", 0, true, limitPlay{gateways: 6, workers: 4, limited: 4, perSecond: 2, clients: 24, length: 12 * time.Second, meanwhile: changeLimits}},
	}
	for i, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := playLimits(t, bin, i, tc.play)
			t.Log(f)
			if f.worst > 1 {
				t.Errorf("an endpoint got more than it named: %v", f)
			}
			if f.used < tc.used {
				t.Errorf("less than %.2f of the limits were used: %v", tc.used, f)
			}
			if f.slowest > refusedWithin {
				t.Errorf("a refusal took longer than %v: %v", refusedWithin, f)
			}
			if float64(f.refused) > (1-tc.play.served)*float64(f.asked) {
				t.Errorf("less than %.2f of what the limits allow was served: %v", tc.play.served, f)
			}
			if !tc.refusals && f.refused > 0 {
				t.Errorf("requests were refused that others could serve: %v", f)
			}
		})
	}
}

// killInTurn kills one gateway after the other and starts each again: the one that coordinates is among them.
func killInTurn(r *run) {
	for i := range r.c.Gateways {
		began := time.Now()
		if p := r.group.Get(fmt.Sprintf("gateway-%d", i)); p != nil && p.Kill() == nil {
			time.Sleep(500 * time.Millisecond)
			r.again(i)
		}
		r.troubled(i, began)
		time.Sleep(time.Second)
	}
}

// freezeInTurn freezes one gateway after the other.
func freezeInTurn(r *run) {
	for i := range r.c.Gateways {
		began := time.Now()
		if p := r.group.Get(fmt.Sprintf("gateway-%d", i)); p != nil && p.Freeze() == nil {
			time.Sleep(700 * time.Millisecond)
			if err := p.Thaw(); err != nil {
				continue
			}
		}
		r.troubled(i, began)
		time.Sleep(800 * time.Millisecond)
	}
}

// changeLimits lowers the limits, starts some workers that name them anew, ends them, spoils them and names them again.
func changeLimits(r *run) {
	for _, step := range []struct {
		text string
		hold time.Duration
	}{{"2", 4 * time.Second}, {"0.5", 3 * time.Second}, {"", 500 * time.Millisecond}, {"not a number", time.Second}, {"3", 0}} {
		r.nameLimits(r.c.Workers, step.text)
		time.Sleep(step.hold)
		if step.text == "0.5" {
			restartWorker(r, rand.New(rand.NewPCG(1, 1)), 0)
		}
	}
}

func arrival(id string, at time.Time) usersplatform.Arrival {
	return usersplatform.Arrival{Worker: "i", ID: id, At: at, Said: usersplatform.Said{Limit: "2"}}
}

// TestCheckOfLoweredLimits: a worker that lowered its limit while nothing reached it is judged by what it had told last; once its
// answer has told of it, by that.
func TestCheckOfLoweredLimits(t *testing.T) {
	now := time.Now()
	for name, tc := range map[string]struct {
		told bool // of the lower limit, before the requests
		want int
	}{"not told": {false, 0}, "told": {true, 1}} {
		f := newFacts()
		all := []asked{{id: "high", gateway: "g", status: 200, headAt: now, said: usersplatform.Said{Limit: "1000"}}}
		high := arrival("high", now)
		high.Said.Limit = "1000"
		f.ledger.Arrive(high)
		if tc.told {
			all = append(all, asked{id: "low", gateway: "g", status: 200, headAt: now.Add(5 * time.Second), said: usersplatform.Said{Limit: "2"}})
			f.ledger.Arrive(arrival("low", now.Add(5*time.Second)))
		}
		for n := range 40 {
			a := asked{id: fmt.Sprint(n), gateway: "g"}
			f.ledger.Arrive(arrival(a.id, now.Add(12*time.Second+time.Duration(n)*time.Millisecond)))
			all = append(all, a)
		}
		if got := checkLimits(all, f); len(got) != tc.want {
			t.Errorf("%s: violations %q, want %d", name, got, tc.want)
		}
	}
}

// TestCheckSeesLimits: requests beyond a worker's limit are found when they come from gateways that were
// told and in touch, and not otherwise.
func TestCheckSeesLimits(t *testing.T) {
	now := time.Now()
	late := contactTime + time.Second
	const most = 1.5*2*4 + 5
	cases := []struct {
		name  string
		sends int           // negative: a gateway's own questions
		after time.Duration // of the sends, since the limit was named
		told  bool
		touch []span
		want  int
	}{
		{"too many", most + 1, late, true, nil, 1},
		{"as many as are tolerated", most, late, true, nil, 0},
		{"before all can know", most + 1, contactTime - 2*time.Second, true, nil, 0},
		{"from one that was not told", most + 1, late, false, nil, 0},
		{"questions, before any gateway was told", -most - 1, late, false, nil, 0},
		{"questions, after one was told", -most - 1, late, true, nil, 1},
		{"from one that was frozen", most + 1, late, true, []span{{now.Add(late - time.Second), now.Add(late - time.Second/2)}}, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFacts()
			f.troubled["g"] = tc.touch
			all := []asked{{id: "first", gateway: "g", status: 200, headAt: now, said: usersplatform.Said{Limit: "2"}}}
			if !tc.told {
				all[0].gateway = "another"
			}
			if !tc.told && tc.sends < 0 {
				all[0].said.Limit = "" // the worker lost it, and another one answered
			}
			f.ledger.Arrive(arrival("first", now))
			for n := range max(tc.sends, -tc.sends) {
				a := asked{id: fmt.Sprint(n), gateway: "g"}
				if tc.sends < 0 {
					a.id = ""
				} else {
					all = append(all, a)
				}
				f.ledger.Arrive(arrival(a.id, now.Add(tc.after+time.Duration(n)*time.Millisecond)))
			}
			if got := checkLimits(all, f); len(got) != tc.want {
				t.Errorf("violations %q, want %d", got, tc.want)
			}
		})
	}
}
