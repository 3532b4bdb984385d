package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// preferredTenths is how many of ten new connections go to one gateway while one is preferred.
	preferredTenths = 9
	// preferredTime is how long one gateway is preferred: until the others must have noticed, and as long
	// again.
	preferredTime = 2 * propagationTime
)

// preferGateways makes most new connections go to one gateway from a random time on.
func (r *run) preferGateways(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.c.Seed, 0x4e4d))
	sleep := func(d time.Duration) {
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
	}
	sleep(time.Duration(random.Int64N(int64(r.c.Length / 2))))
	began := time.Now()
	r.setPreferred(true)
	sleep(preferredTime)
	r.setPreferred(false)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.facts.preferred = append(r.facts.preferred, interval{began, time.Now()})
}

func (r *run) setPreferred(preferred bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.preferred = preferred
}

// prefersGateway reports whether most new connections go to one gateway now. Clients then open a new one for
// each request.
func (r *run) prefersGateway() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.preferred
}

// checkPreferred verifies that requests that a gateway has read are served at least three quarters as often as
// before while most new connections go to one gateway, from propagationTime on.
func checkPreferred(all []request, f *facts) []string {
	var out []string
	for _, s := range f.preferred {
		var before, during share
		for _, a := range all {
			read := a.status != 0 || len(f.ledger.Runs(a.id)) > 0
			if a.crashesWorker || !read || !f.comparable(&a) {
				continue
			}
			served := a.status/100 == 2 && a.err == nil
			switch {
			case a.sent.Before(s.from) && a.sent.After(s.from.Add(-propagationTime)):
				before.add(served)
			case a.sent.After(s.from.Add(propagationTime)) && a.sent.Before(s.to):
				during.add(served)
			}
		}
		if before.total >= minCompared && during.total >= minCompared && 4*during.fraction() < 3*before.fraction() {
			out = append(out, fmt.Sprintf("while most new connections went to one gateway %v requests were served, before %v", during, before))
		}
	}
	return out
}
