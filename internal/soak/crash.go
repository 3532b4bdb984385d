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
	// crashBody is the body of a request that ends each worker that begins it. It comes
	// again and again, at any gateway.
	crashBody = "this ends workers"
	// crashEvery is the longest time between two copies of it.
	crashEvery = 300 * time.Millisecond
	// contactTime is how long a gateway must have been without trouble for what others know
	// to be known to it.
	contactTime = 3 * time.Second
	// sendsAllowed is how many sends of the request may reach workers, contactTime after
	// it has ended three.
	sendsAllowed = 3
	// crashLapse is how long after a crash the worker's entry is withdrawn.
	crashLapse = time.Second
)

// crashWorkers sends the copies, from some moment of the run's first half on.
func (r *run) crashWorkers(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.c.Seed, 0xc7a54))
	c := &client{run: r, number: r.c.Clients, random: random, http: make(map[string]*http.Transport)}
	wait := time.Duration(random.Int64N(int64(r.c.Length / 2)))
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(wait)
		wait = time.Duration(random.Int64N(int64(crashEvery)))
		gateway := r.pickGateway(random)
		if gateway == "" {
			continue
		}
		a := asked{id: fmt.Sprintf("crash-%d", n), kind: "stream", key: "key-0", gateway: gateway, crashing: true}
		r.record(c.send(ctx, a, crashBody))
	}
	for _, t := range c.http {
		t.CloseIdleConnections()
	}
}

// crashed replaces a worker that the request has ended.
func (r *run) crashed(old *pooled) {
	old.proxy.close()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.facts.crashes = append(r.facts.crashes, now)
	r.facts.unplanned = append(r.facts.unplanned, span{now, now.Add(effectTime)})
	i := slices.Index(r.workers, old)
	if i < 0 {
		return // it was leaving
	}
	r.workers = slices.Delete(r.workers, i, i+1)
	if err := r.bear(old.worker.Kind); err != nil {
		r.faults = append(r.faults, "no new worker: "+err.Error())
	}
	time.AfterFunc(crashLapse, func() { r.store.Withdraw(old.worker) })
}

// troubled notes that a gateway was in trouble from a moment until now.
func (r *run) troubled(gateway int, from time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	front := r.front(gateway)
	r.facts.troubled[front] = append(r.facts.troubled[front], span{from, time.Now()})
}

// checkCrashes: gateways that have been in touch stop sending a request that has ended three
// workers.
func checkCrashes(all []asked, f *facts) string {
	if len(f.crashes) < 3 {
		return ""
	}
	crashes := slices.SortedFunc(slices.Values(f.crashes), time.Time.Compare)
	known := crashes[2].Add(contactTime)
	sends := 0
	for _, a := range all {
		if !a.crashing {
			continue
		}
		for _, run := range f.ledger.Runs(a.id) {
			if run.At.After(known) && f.inTouch(a.gateway, run.At) {
				sends++
			}
		}
	}
	if sends <= sendsAllowed {
		return ""
	}
	return fmt.Sprintf("a request that had ended three workers was sent %d times more, %d ended", sends, len(f.crashes))
}

// inTouch reports whether a gateway had no trouble in the contactTime before a moment.
func (f *facts) inTouch(gateway string, at time.Time) bool {
	return !slices.ContainsFunc(f.troubled[gateway], func(s span) bool { return s.overlaps(at.Add(-contactTime), at) })
}
