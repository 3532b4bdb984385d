package soak

import (
	"math/rand/v2"
	"time"

	"github.com/micarudder/micarudder/internal/standin/usersplatform"
)

// statementFaults are the drains and backoff requests of workers of any kind; they have a random
// sequence of their own.
var statementFaults = []fault{
	{"worker announces in responses that it drains", true, drainWorkerInResponses},
	{"worker announces in responses that it drains", true, drainWorkerInResponses},
	{"worker requests backoff of some gateways", true, backoffWorker(0.3)},
	{"worker requests backoff of all gateways", true, backoffWorker(1)},
	{"all workers of a service request backoff", true, backoffService},
}

// drainWorkerInResponses makes a worker announce only in its responses that it drains. Another
// worker replaces it, and it ends after drainPeriod.
func drainWorkerInResponses(r *run, random *rand.Rand, _ time.Duration) {
	old := r.replaceWorker(random)
	old.worker.AnnounceDraining()
	time.Sleep(drainPeriod)
	r.store.Withdraw(old.worker)
	now := time.Now()
	r.mu.Lock()
	r.facts.unplanned = append(r.facts.unplanned, interval{now, now.Add(recoveryTime)}) // if no request reached the worker, no gateway knows that it drains
	r.mu.Unlock()
	old.worker.Crash()
	old.proxy.close()
}

// backoffTexts are the backoff times that workers request.
var backoffTexts = []string{"0.3", "1", "2.5", "3", "0", "-1", "soon"}

// backoffWorker makes a worker reject a share of the requests and request backoff.
func backoffWorker(share float64) func(*run, *rand.Rand, time.Duration) {
	return func(r *run, random *rand.Rand, length time.Duration) {
		w := r.pickAnyWorker(random)
		w.RequestBackoff(share, backoffTexts[random.IntN(len(backoffTexts))])
		time.Sleep(length)
		w.RequestBackoff(0, "")
	}
}

// backoffService does the same for all workers of one service.
func backoffService(r *run, random *rand.Rand, length time.Duration) {
	service, text := r.pickAnyWorker(random).Service, backoffTexts[random.IntN(len(backoffTexts))]
	set := func(share float64) {
		r.eachWorker(func(w *usersplatform.Worker) {
			if w.Service == service {
				w.RequestBackoff(share, text)
			}
		})
	}
	set(1)
	time.Sleep(length)
	set(0)
}
