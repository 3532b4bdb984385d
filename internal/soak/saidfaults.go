package soak

import (
	"math/rand/v2"
	"time"

	"github.com/micarudder/micarudder/internal/standin/usersplatform"
)

// saidFaults befall workers of any kind, drawn apart from the others.
var saidFaults = []fault{
	{"a worker says that it leaves", true, leaveByAnswers},
	{"a worker says that it leaves", true, leaveByAnswers},
	{"a worker asks some gateways for rest", true, restOne(0.3)},
	{"a worker asks all gateways for rest", true, restOne(1)},
	{"all workers of a service ask for rest", true, restService},
}

// leaveByAnswers makes a worker say that it leaves, in its answers only; it ends later and another one comes.
func leaveByAnswers(r *run, random *rand.Rand, _ time.Duration) {
	old := r.replace(random)
	old.worker.Leave()
	time.Sleep(leaveTime)
	r.store.Withdraw(old.worker)
	now := time.Now()
	r.mu.Lock()
	r.facts.unplanned = append(r.facts.unplanned, span{now, now.Add(effectTime)}) // nobody may have asked it, so that nobody knows
	r.mu.Unlock()
	old.worker.Crash()
	old.proxy.close()
}

// restTexts are the rests that workers ask for.
var restTexts = []string{"0.3", "1", "2.5", "3", "0", "-1", "soon"}

// restOne makes a worker turn away a part of the requests and ask for rest.
func restOne(part float64) func(*run, *rand.Rand, time.Duration) {
	return func(r *run, random *rand.Rand, length time.Duration) {
		w := r.anyWorker(random)
		w.Rest(part, restTexts[random.IntN(len(restTexts))])
		time.Sleep(length)
		w.Rest(0, "")
	}
}

// restService does the same to all workers of one service.
func restService(r *run, random *rand.Rand, length time.Duration) {
	service, text := r.anyWorker(random).Service, restTexts[random.IntN(len(restTexts))]
	set := func(part float64) {
		r.eachWorker(func(w *usersplatform.Worker) {
			if w.Service == service {
				w.Rest(part, text)
			}
		})
	}
	set(1)
	time.Sleep(length)
	set(0)
}
