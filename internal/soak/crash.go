package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

const (
	// crashBody is the body of the crashing request, which ends each worker that begins it. It is
	// sent repeatedly, through any gateway.
	crashBody = "this ends workers"
	// maxCrashInterval is the longest time between two crashing requests.
	maxCrashInterval = 300 * time.Millisecond
	// propagationTime is how long a gateway must have been undisturbed to be expected to know what
	// the other gateways know.
	propagationTime = 3 * time.Second
	// maxLateSends is how many crashing requests may reach workers once propagationTime has passed
	// since the third crash.
	maxLateSends = 3
	// withdrawDelay is the time from a crash until the worker's entry is withdrawn.
	withdrawDelay = time.Second
)

// sendCrashRequests sends crashing requests, starting at a random time in the first half of the
// run.
func (r *run) sendCrashRequests(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.c.Seed, 0xc7a54))
	c := &client{run: r, number: r.c.Clients, random: random, transports: make(map[string]*http.Transport)}
	wait := time.Duration(random.Int64N(int64(r.c.Length / 2)))
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(wait)
		wait = time.Duration(random.Int64N(int64(maxCrashInterval)))
		gateway := r.pickReadyGateway(random)
		if gateway == "" {
			continue
		}
		a := request{id: fmt.Sprintf("crash-%d", n), kind: "stream", key: "key-0", gateway: gateway, crashesWorker: true}
		body := crashBody
		if r.c.CrashPart {
			a.parts, body = crashParts(random), a.id
		}
		r.record(c.send(ctx, a, body))
	}
	for _, t := range c.transports {
		t.CloseIdleConnections()
	}
}

// replaceCrashed replaces a worker that the crashing request has ended.
func (r *run) replaceCrashed(old *proxiedWorker) {
	old.proxy.close()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.facts.crashes = append(r.facts.crashes, now)
	r.faults = append(r.faults, fmt.Sprintf("%s worker %s crashed by the crashing request", now.Format(recordTime), old.worker.ID))
	r.facts.unplanned = append(r.facts.unplanned, interval{now, now.Add(recoveryTime)})
	i := slices.Index(r.workers, old)
	if i < 0 {
		return // it was draining
	}
	r.workers = slices.Delete(r.workers, i, i+1)
	if err := r.startWorker(old.worker.Kind); err != nil {
		r.faults = append(r.faults, "replacement worker not started: "+err.Error())
	}
	time.AfterFunc(withdrawDelay, func() { r.store.Withdraw(old.worker) })
}

// recordDisruption records that a gateway was disrupted from a time until now.
func (r *run) recordDisruption(gateway int, from time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	address := r.serviceAddress(gateway)
	r.facts.disrupted[address] = append(r.facts.disrupted[address], interval{from, time.Now()})
}

// checkCrashes verifies that undisturbed gateways stop sending requests that have crashed as many workers
// as crashLimit.
func checkCrashes(all []request, f *facts) string {
	if len(f.crashes) < f.crashLimit {
		return ""
	}
	crashes := slices.SortedFunc(slices.Values(f.crashes), time.Time.Compare)
	informedAt := crashes[f.crashLimit-1].Add(propagationTime)
	sends := 0
	for _, a := range all {
		if !a.crashesWorker {
			continue
		}
		for _, run := range f.ledger.Runs(a.id) {
			if run.At.After(informedAt) && f.undisturbed(a.gateway, run.At) {
				sends++
			}
		}
	}
	if sends <= maxLateSends {
		return ""
	}
	return fmt.Sprintf("a request that had crashed %d workers reached workers %d times more; %d workers crashed", f.crashLimit, sends, len(f.crashes))
}

// undisturbed reports whether a gateway was not disrupted during the propagationTime before at.
func (f *facts) undisturbed(gateway string, at time.Time) bool {
	return !slices.ContainsFunc(f.disrupted[gateway], func(s interval) bool { return s.overlaps(at.Add(-propagationTime), at) })
}
