package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/micarudder/micarudder/internal/standin/usersplatform"
)

// statementScenario is a workload in which workers announce that they drain or request backoff,
// without other faults than those of during.
type statementScenario struct {
	gateways, workers int // of each service
	clients           int
	singleGateway     bool // makes all clients use the same gateway
	// announce makes workers announce something, one second after the clients have started.
	announce func(r *run)
	// settle is how long requests are left out of the counts after that, length how long they are
	// counted.
	settle, length time.Duration
	// during runs concurrently with the clients; nil: nothing.
	during func(r *run)
}

// statementResult is the outcome of a scenario.
type statementResult struct {
	lateSends         int // requests to draining workers after drainNoticeTime
	maxInBackoff      int // most that one worker received from one gateway in a backoff
	worstBackoff      backoffUse
	requests, served  int
	refused           int
	slowestRefusal    time.Duration
	interrupted       int
	withoutRetryAfter int // refusals without a Retry-After header
	// loadAfterBackoff is the load of the workers that had requested backoff, after it, relative to
	// that of their peers.
	loadAfterBackoff float64
}

func (f statementResult) String() string {
	return fmt.Sprintf("%d late sends, at most %d requests in a backoff, %d requests, %.3f served, %d refused, slowest refusal %v, %d without Retry-After, %d interrupted, %.2f of the peers' load after the backoff",
		f.lateSends, f.maxInBackoff, f.requests, f.share(), f.refused, f.slowestRefusal.Round(time.Millisecond), f.withoutRetryAfter, f.interrupted, f.loadAfterBackoff)
}

// share returns the share of the requests that were served.
func (f statementResult) share() float64 { return float64(f.served) / float64(max(1, f.requests)) }

// runStatementScenario runs a scenario.
func runStatementScenario(t *testing.T, bin string, n int, p statementScenario) statementResult {
	t.Helper()
	r := startTestRun(t, Config{Seed: uint64(n), Binary: bin, Network: network(t, n), Gateways: p.gateways, Workers: p.workers})
	ctx, stop := context.WithCancel(t.Context())
	var tasks sync.WaitGroup
	tasks.Go(func() { r.pollReadiness(ctx) })
	r.startClients(ctx, &tasks, n, p.clients, func(c *client) {
		if p.singleGateway {
			c.gateway = r.serviceAddress(0)
		}
	})
	time.Sleep(time.Second)
	p.announce(r)
	if p.during != nil {
		tasks.Go(func() { p.during(r) })
	}
	time.Sleep(p.settle)
	from := time.Now()
	time.Sleep(p.length)
	to := time.Now()
	stop()
	tasks.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.statementResult(from, to)
	if f.maxInBackoff > maxSendsInBackoff {
		to, err := os.MkdirTemp("", "soak-backoff-")
		t.Logf("requests and logs are kept in %s (%v, %v)", to, err, errors.Join(CopyLogs(r.c.Dir, to), (&Report{requests: r.requests, ledger: r.ledger}).WriteTo(to)))
	}
	return f
}

// statementResult returns the outcome; requests are counted if they were sent and ended between
// from and to. The caller holds mu.
func (r *run) statementResult(from, to time.Time) statementResult {
	f := statementResult{lateSends: len(lateSends(r.requests, &r.facts)), loadAfterBackoff: loadAfterBackoff(&r.facts, from, to)}
	for _, u := range backoffUses(r.requests, &r.facts) {
		if u.received > f.maxInBackoff {
			f.maxInBackoff, f.worstBackoff = u.received, u
		}
	}
	for i := range r.requests {
		a := &r.requests[i]
		if a.sent.Before(from) || a.ended.After(to) || a.abandoned || r.facts.disruptedDuring(a.gateway, a.sent, a.ended) {
			continue
		}
		f.requests++
		switch {
		case a.err != nil:
			f.interrupted++
		case a.status == http.StatusServiceUnavailable:
			f.refused++
			f.slowestRefusal = max(f.slowestRefusal, a.ended.Sub(a.sent))
			if a.statement.Backoff == "" {
				f.withoutRetryAfter++
			}
		case a.status == http.StatusOK:
			f.served++
		}
	}
	return f
}

// loadAfterBackoff returns the mean number of requests between from and to that the workers which had requested backoff
// accepted, relative to that of the other workers.
func loadAfterBackoff(f *facts, from, to time.Time) float64 {
	backedOff := make(map[string]bool)
	runs := make(map[string]int)
	for _, a := range f.ledger.Arrivals() {
		if a.Statement.Backoff != "" {
			backedOff[a.Worker] = true
		}
		if a.Statement.Backoff == "" && !a.At.Before(from) && a.At.Before(to) {
			runs[a.Worker]++
		}
	}
	var backedOffWorkers, otherWorkers, backedOffRuns, otherRuns int
	for worker, n := range runs {
		if backedOff[worker] {
			backedOffWorkers, backedOffRuns = backedOffWorkers+1, backedOffRuns+n
		} else {
			otherWorkers, otherRuns = otherWorkers+1, otherRuns+n
		}
	}
	if otherRuns == 0 || backedOffWorkers == 0 {
		return 0
	}
	return float64(backedOffRuns) / float64(backedOffWorkers) / (float64(otherRuns) / float64(otherWorkers))
}

// firstWorkers returns the first workers of each service, at most each of them per service.
func (r *run) firstWorkers(each int) (out []*proxiedWorker) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := make(map[string]int)
	for _, w := range r.workers {
		if n[w.worker.Kind]++; n[w.worker.Kind] <= each {
			out = append(out, w)
		}
	}
	return out
}

// announceDrain makes the first workers of each service announce that they drain.
func announceDrain(each int) func(r *run) {
	return func(r *run) {
		for _, w := range r.firstWorkers(each) {
			w.worker.AnnounceDraining()
		}
	}
}

// requestBackoff makes the first workers of each service reject a share of the requests for a
// while, and request backoff.
func requestBackoff(each int, share float64, seconds string, length time.Duration) func(r *run) {
	return func(r *run) {
		workers := r.firstWorkers(each)
		for _, w := range workers {
			w.worker.RequestBackoff(share, seconds)
		}
		time.AfterFunc(length, func() {
			for _, w := range workers {
				w.worker.RequestBackoff(0, "")
			}
		})
	}
}

// storeOutage makes the store unresponsive for two seconds.
func storeOutage(r *run) {
	r.store.SetFailure(usersplatform.Silent)
	time.Sleep(2 * time.Second)
	r.store.SetFailure(usersplatform.NoFailure)
}

// startMoreWorkers starts further workers shortly after the existing ones have announced that they
// drain.
func startMoreWorkers(r *run) {
	time.Sleep(2500 * time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	for range r.c.Workers {
		for _, kind := range []string{"plain", "stream"} {
			if err := r.startWorker(kind); err != nil {
				r.faults = append(r.faults, "replacement worker not started: "+err.Error())
			}
		}
	}
}

// restartWorkers restarts the first workers under their names and at their addresses.
func restartWorkers(r *run) {
	time.Sleep(2500 * time.Millisecond)
	for _, w := range r.firstWorkers(r.c.Workers) {
		r.restartWorkerAs(w, 0)
	}
}

// TestLeavingWorkerGetsNothingNew: gateways must stop sending requests to a worker that announces
// only in its responses that it drains.
func TestLeavingWorkerGetsNothingNew(t *testing.T) {
	bin := buildGateway(t)
	cases := []struct {
		name      string
		minServed float64 // smallest share of requests that must be served
		scenario  statementScenario
	}{
		{"one of four, 1 gateway", 1, statementScenario{gateways: 1, workers: 4, clients: 8, announce: announceDrain(1), settle: drainNoticeTime, length: 4 * time.Second}},
		{"one of four, 6 gateways", 1, statementScenario{gateways: 6, workers: 4, clients: 24, announce: announceDrain(1), settle: drainNoticeTime, length: 4 * time.Second}},
		{"one of four, 24 gateways", 1, statementScenario{gateways: 24, workers: 4, clients: 48, announce: announceDrain(1), settle: drainNoticeTime, length: 4 * time.Second}},
		{"one of four, store outage", 1, statementScenario{gateways: 6, workers: 4, clients: 24, announce: announceDrain(1), settle: drainNoticeTime, length: 4 * time.Second, during: storeOutage}},
		{"one of four, gateways killed", 0.95, statementScenario{gateways: 6, workers: 4, clients: 24, announce: announceDrain(1), settle: drainNoticeTime, length: 7 * time.Second, during: killGatewaysInTurn}},
		{"one of four, gateways frozen", 0.95, statementScenario{gateways: 6, workers: 4, clients: 24, announce: announceDrain(1), settle: drainNoticeTime, length: 7 * time.Second, during: freezeGatewaysInTurn}},
		{"all, replacements start", 0.95, statementScenario{gateways: 6, workers: 2, clients: 24, announce: announceDrain(2), settle: 4 * time.Second, length: 4 * time.Second, during: startMoreWorkers}},
		{"all, no replacements", 0, statementScenario{gateways: 6, workers: 2, clients: 24, announce: announceDrain(2), settle: drainNoticeTime, length: 4 * time.Second}},
		{"all, restarted at their addresses", 0.95, statementScenario{gateways: 6, workers: 2, clients: 24, announce: announceDrain(2), settle: 5 * time.Second, length: 4 * time.Second, during: restartWorkers}},
	}
	for i, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := runStatementScenario(t, bin, 120+i, tc.scenario)
			t.Log(f)
			if f.lateSends > 0 {
				t.Errorf("late requests reached a draining worker: %v", f)
			}
			checkCallers(t, f, tc.minServed)
		})
	}
}

// TestRestingWorkerIsLeftAlone: gateways must respect the backoff that a worker requests when it
// rejects a request.
func TestRestingWorkerIsLeftAlone(t *testing.T) {
	bin := buildGateway(t)
	const usedAgain = 0.3 // less than the full load, since requests are sent one at a time at first
	cases := []struct {
		name                string
		minServed           float64 // smallest share of requests that must be served
		minLoadAfterBackoff float64 // smallest load relative to that of the peers
		scenario            statementScenario
	}{
		{"one of four, 1 gateway", 1, usedAgain, statementScenario{gateways: 1, workers: 4, clients: 8, announce: requestBackoff(1, 1, "3", time.Second), settle: 4500 * time.Millisecond, length: 3 * time.Second}},
		{"one of four, 6 gateways", 1, usedAgain, statementScenario{gateways: 6, workers: 4, clients: 24, announce: requestBackoff(1, 1, "3", time.Second), settle: 4500 * time.Millisecond, length: 3 * time.Second}},
		{"one of four, 24 gateways", 1, usedAgain, statementScenario{gateways: 24, workers: 4, clients: 48, announce: requestBackoff(1, 1, "3", time.Second), settle: 4500 * time.Millisecond, length: 3 * time.Second}},
		{"one of four, during its backoff", 1, 0, statementScenario{gateways: 6, workers: 4, clients: 24, announce: requestBackoff(1, 1, "3", 9*time.Second), settle: time.Second, length: 6 * time.Second}},
		{"one of four, backoff requested of some gateways", 1, 0, statementScenario{gateways: 6, workers: 4, clients: 24, announce: requestBackoff(1, 0.1, "3", 9*time.Second), settle: time.Second, length: 6 * time.Second}},
		{"one of four, gateways killed", 0.95, 0, statementScenario{gateways: 6, workers: 4, clients: 24, announce: requestBackoff(1, 1, "3", 9*time.Second), settle: time.Second, length: 7 * time.Second, during: killGatewaysInTurn}},
		{"one of four, gateways frozen", 0.95, 0, statementScenario{gateways: 6, workers: 4, clients: 24, announce: requestBackoff(1, 1, "3", 9*time.Second), settle: time.Second, length: 7 * time.Second, during: freezeGatewaysInTurn}},
		{"one of four, restarted at their addresses", 0.95, 0, statementScenario{gateways: 6, workers: 4, clients: 24, announce: requestBackoff(4, 1, "20", 2*time.Second), settle: 5 * time.Second, length: 3 * time.Second, during: restartWorkers}},
		{"all, one gateway used", 0, 0, statementScenario{gateways: 6, workers: 2, clients: 24, singleGateway: true, announce: requestBackoff(2, 1, "3", 6*time.Second), settle: time.Second, length: 4 * time.Second}},
		{"all, 24 gateways", 0, 0, statementScenario{gateways: 24, workers: 2, clients: 48, announce: requestBackoff(2, 1, "3", 6*time.Second), settle: time.Second, length: 4 * time.Second}},
		{"all, after their backoff", 0.95, 0, statementScenario{gateways: 6, workers: 2, clients: 24, announce: requestBackoff(2, 1, "2", time.Second), settle: 4 * time.Second, length: 3 * time.Second}},
	}
	for i, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := runStatementScenario(t, bin, 140+i, tc.scenario)
			t.Log(f)
			if f.maxInBackoff > maxSendsInBackoff {
				u := f.worstBackoff
				t.Errorf("requests reached worker %s from gateway %s during a backoff of %v that it had requested for %s at %s: %v: %v",
					u.worker, u.gateway, u.backoff, u.rejected, u.requestedAt.Format(recordTime), u.requests, f)
			}
			if f.loadAfterBackoff < tc.minLoadAfterBackoff {
				t.Errorf("after their backoff workers received less than %.2f of the load of their peers: %v", tc.minLoadAfterBackoff, f)
			}
			checkCallers(t, f, tc.minServed)
		})
	}
}

// checkCallers verifies that requests which other workers can serve are served, and that the others
// are refused promptly with a time after which to retry.
func checkCallers(t *testing.T, f statementResult, served float64) {
	t.Helper()
	if f.share() < served {
		t.Errorf("less than %.2f of the requests were served: %v", served, f)
	}
	if f.slowestRefusal > maxRefusalTime {
		t.Errorf("a refusal took longer than %v: %v", maxRefusalTime, f)
	}
	if f.withoutRetryAfter > 0 {
		t.Errorf("refusals without Retry-After: %v", f)
	}
}

// TestCheckSeesLateSends: requests to a draining worker are found if their gateway had forwarded
// the drain notice in time, and not otherwise.
func TestCheckSeesLateSends(t *testing.T) {
	now := time.Now()
	leaving := usersplatform.Statement{Draining: "1"}
	late := drainNoticeTime + time.Millisecond
	cases := []struct {
		name        string
		gateway     string
		after       time.Duration
		disruptions []interval
		want        int
	}{
		{"too late", "g", late, nil, 1},
		{"within the notice time", "g", drainNoticeTime, nil, 0},
		{"through a gateway without notice", "other", late, nil, 0},
		{"through a restarted gateway", "g", late, []interval{{now.Add(time.Second), now.Add(time.Second)}}, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFacts()
			f.disrupted[tc.gateway] = tc.disruptions
			all := []request{{id: "first", gateway: "g", status: 200, headerAt: now, statement: leaving}, {id: "second", gateway: tc.gateway, sent: now.Add(tc.after)}}
			f.ledger.AddArrival(usersplatform.Arrival{Worker: "i", ID: "first", At: now, Statement: leaving})
			f.ledger.AddArrival(usersplatform.Arrival{Worker: "i", ID: "second", At: now.Add(tc.after), Statement: leaving})
			if got := checkDraining(all, f); len(got) != tc.want {
				t.Errorf("violations %q, want %d", got, tc.want)
			}
		})
	}
}

// TestCheckSeesRests: requests in a backoff are found if it was requested from their gateway, and
// not otherwise.
func TestCheckSeesRests(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name    string
		first   request // that was rejected
		gateway string
		after   time.Duration
		n       int
		losses  []interval
		want    int
	}{
		{"too many requests", request{}, "g", time.Second, maxSendsInBackoff + 1, nil, 1},
		{"as many requests as tolerated", request{}, "g", time.Second, maxSendsInBackoff, nil, 0},
		{"within the notice time", request{}, "g", backoffNoticeTime - 100*time.Millisecond, 10, nil, 0},
		{"after the backoff", request{}, "g", 3 * time.Second, 10, nil, 0},
		{"through another gateway", request{}, "other", time.Second, 10, nil, 0},
		{"response may have been lost", request{}, "g", time.Second, 10, []interval{{now, now}}, 0},
		{"client left before the response", request{abandoned: true, err: context.Canceled}, "g", time.Second, 10, nil, 0},
		{"client left after the response", request{abandoned: true}, "g", time.Second, 10, nil, 1},
		{"response broke off", request{err: io.ErrUnexpectedEOF}, "g", time.Second, 10, nil, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFacts()
			f.lossy["i"] = tc.losses
			tc.first.id, tc.first.gateway = "first", "g"
			all := []request{tc.first}
			f.ledger.AddArrival(usersplatform.Arrival{Worker: "i", ID: "first", At: now, Statement: usersplatform.Statement{Backoff: "3"}})
			for n := range tc.n {
				id := fmt.Sprint(n)
				all = append(all, request{id: id, gateway: tc.gateway})
				f.ledger.AddArrival(usersplatform.Arrival{Worker: "i", ID: id, At: now.Add(tc.after + time.Duration(n)*time.Millisecond)})
			}
			if got := checkBackoffs(all, f); len(got) != tc.want {
				t.Errorf("violations %q, want %d", got, tc.want)
			}
		})
	}
}
