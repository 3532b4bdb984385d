package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/micarudder/micarudder/internal/standin/usersplatform"
)

// A fault begins at its time, lasts for its length and ends what it began.
type fault struct {
	name    string
	planned bool // asked for: it must cut no request off
	begin   func(r *run, random *rand.Rand, length time.Duration)
}

// faults are all kinds; a seed draws from them.
var faults = []fault{
	{"gateway killed", false, killGateway},
	{"gateway frozen", false, freezeGateway},
	{"gateway's host suspended", false, suspendGateway},
	{"gateway stopped", true, stopGateway},
	{"gateway stopped", true, stopGateway},
	{"settings read again", true, reloadGateway},
	{"store busy", false, troubleStore(usersplatform.Busy)},
	{"store silent", false, troubleStore(usersplatform.Silent)},
	{"store slow", false, troubleStore(usersplatform.Slow)},
	{"store connections reset", false, resetStore},
	{"worker connections delayed", false, weather(Weather{Delay: 60 * time.Millisecond})},
	{"worker cut one way, towards it", false, weather(Weather{SilenceUp: true})},
	{"worker cut one way, from it", false, weather(Weather{SilenceDown: true})},
	{"worker connections reset", false, resetWorker},
	{"worker crashes, another comes", false, crashWorker},
	{"worker leaves", true, leaveWorker},
	{"worker starts again under its name", false, restartWorker},
	{"entries of another writer", true, foreignEntries},
	{"workers lose answers", false, spoilWorkers(usersplatform.Faults{LoseRun: 0.2})},
	{"workers break off answers", false, spoilWorkers(usersplatform.Faults{CutShort: 0.2})},
	{"workers send other answers", false, spoilWorkers(usersplatform.Faults{Surplus: 0.3})},
	{"workers are full", false, spoilWorkers(usersplatform.Faults{Refuse: 0.4})},
	{"key withdrawn", true, withdrawKey},
	{"configuration changes", true, changeConfiguration},
}

const (
	// gap is the longest time between two faults; they overlap, since each
	// lasts up to longest.
	gap     = 700 * time.Millisecond
	longest = 3 * time.Second
)

// inject plays the seed's faults of some kinds and waits until all have ended. stream tells their draws
// from those of other kinds.
func (r *run) inject(ctx context.Context, kinds []fault, stream uint64) {
	random := rand.New(rand.NewPCG(r.c.Seed, stream))
	end := time.Now().Add(r.c.Length)
	var running sync.WaitGroup
	for time.Now().Before(end) && ctx.Err() == nil {
		f := kinds[random.IntN(len(kinds))]
		length := 200*time.Millisecond + time.Duration(random.Int64N(int64(longest)))
		own := rand.New(rand.NewPCG(random.Uint64(), 1))
		began := time.Now()
		r.mu.Lock()
		r.faults = append(r.faults, fmt.Sprintf("%s %s for %v", began.Format("15:04:05.000"), f.name, length))
		r.mu.Unlock()
		running.Go(func() {
			f.begin(r, own, length)
			if f.planned {
				return
			}
			r.mu.Lock()
			r.facts.unplanned = append(r.facts.unplanned, span{began, time.Now().Add(effectTime)})
			r.mu.Unlock()
		})
		time.Sleep(time.Duration(random.Int64N(int64(gap))))
	}
	running.Wait()
}

// gateway draws a gateway's number.
func (r *run) gateway(random *rand.Rand) int { return random.IntN(r.c.Gateways) }

// again starts a gateway whose process has ended.
func (r *run) again(i int) {
	if _, err := r.group.Start(r.spec(i)); err != nil {
		r.mu.Lock()
		r.faults = append(r.faults, "not started again: "+err.Error())
		r.mu.Unlock()
	}
}

func killGateway(r *run, random *rand.Rand, length time.Duration) {
	i := r.gateway(random)
	p := r.group.Get(fmt.Sprintf("gateway-%d", i))
	if p == nil || p.Ended() || p.Kill() != nil {
		return
	}
	began := time.Now()
	time.Sleep(length / 4)
	r.again(i)
	r.troubled(i, began)
}

func freezeGateway(r *run, random *rand.Rand, length time.Duration) {
	i := r.gateway(random)
	p := r.group.Get(fmt.Sprintf("gateway-%d", i))
	began := time.Now()
	if p == nil || p.Ended() || p.Freeze() != nil {
		return
	}
	time.Sleep(length)
	_ = p.Thaw() // it may have been killed meanwhile
	r.troubled(i, began)
}

// suspendedFile is where a gateway's process reads how long its host was suspended in all.
func (r *run) suspendedFile(gateway int) string {
	return filepath.Join(r.c.Dir, fmt.Sprintf("suspended-%d", gateway))
}

// suspendGateway freezes a gateway for a moment, in which its host is suspended for the
// length of the fault: its own clock counts the moment only.
func suspendGateway(r *run, random *rand.Rand, length time.Duration) {
	i := r.gateway(random)
	p := r.group.Get(fmt.Sprintf("gateway-%d", i))
	began := time.Now()
	if p == nil || p.Ended() || p.Freeze() != nil {
		return
	}
	time.Sleep(length / 10)
	r.mu.Lock()
	r.suspended[i] += length
	err := os.WriteFile(r.suspendedFile(i), []byte(r.suspended[i].String()), 0o600)
	if err != nil {
		r.faults = append(r.faults, "not suspended: "+err.Error())
	}
	r.mu.Unlock()
	_ = p.Thaw() // it may have been killed meanwhile
	r.troubled(i, began)
}

func stopGateway(r *run, random *rand.Rand, _ time.Duration) {
	i := r.gateway(random)
	p := r.group.Get(fmt.Sprintf("gateway-%d", i))
	if p == nil || p.Ended() {
		return
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), drainTime+longest)
	defer cancel()
	err := p.Stop(ctx)
	r.mu.Lock()
	r.facts.stops = append(r.facts.stops, span{began, time.Now()})
	if err != nil {
		r.faults = append(r.faults, "a stop was not in order: "+err.Error())
	}
	r.mu.Unlock()
	r.again(i)
	r.troubled(i, began)
}

func reloadGateway(r *run, random *rand.Rand, _ time.Duration) {
	p := r.group.Get(fmt.Sprintf("gateway-%d", r.gateway(random)))
	if p != nil && !p.Ended() {
		_ = syscall.Kill(p.PID(), syscall.SIGHUP) // it may have ended meanwhile
	}
}

func troubleStore(t usersplatform.Trouble) func(*run, *rand.Rand, time.Duration) {
	return func(r *run, _ *rand.Rand, length time.Duration) {
		r.store.SetTrouble(t)
		time.Sleep(length)
		r.store.SetTrouble(usersplatform.Fine)
	}
}

func resetStore(r *run, _ *rand.Rand, _ time.Duration) { r.proxy.resetAll() }

// worker draws one of the workers that are announced.
func (r *run) worker(random *rand.Rand) *pooled {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.workers[random.IntN(len(r.workers))]
}

func weather(w Weather) func(*run, *rand.Rand, time.Duration) {
	return func(r *run, random *rand.Rand, length time.Duration) {
		worker, began := r.worker(random), time.Now()
		worker.proxy.set(w)
		time.Sleep(length)
		worker.proxy.set(Weather{})
		r.harm(worker, began)
	}
}

func resetWorker(r *run, random *rand.Rand, _ time.Duration) { r.reset(r.worker(random)) }

// reset resets a worker's connections.
func (r *run) reset(p *pooled) {
	r.harm(p, time.Now())
	p.proxy.resetAll()
}

// replace takes a worker out of the list and starts another.
func (r *run) replace(random *rand.Rand) *pooled {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := random.IntN(len(r.workers))
	old := r.workers[i]
	r.workers = append(r.workers[:i:i], r.workers[i+1:]...)
	if err := r.bear(old.worker.Kind); err != nil {
		r.faults = append(r.faults, "no new worker: "+err.Error())
	}
	return old
}

func crashWorker(r *run, random *rand.Rand, length time.Duration) {
	old := r.replace(random)
	old.worker.Crash()
	old.proxy.close()
	time.Sleep(length)
	r.store.Withdraw(old.worker)
}

// restartWorker ends a worker and starts it again under its name at once: only its entry
// tells, and not before the length of the fault has passed. The new process bears the request
// that ends the others, as one of another release may.
func restartWorker(r *run, random *rand.Rand, length time.Duration) {
	r.restart(r.worker(random), length/4)
}

// restart ends a worker and starts it again under its name; its entry tells so after a time.
func (r *run) restart(old *pooled, told time.Duration) {
	old.worker.Crash()
	next, err := usersplatform.NewWorker(old.worker.ID, old.worker.Service, old.worker.Kind, old.worker.Address(), r.ledger, r.c.Seed)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.faults = append(r.faults, "not started again: "+err.Error())
		return
	}
	announced := slices.ContainsFunc(r.workers, func(p *pooled) bool { return p == old })
	old.worker = next
	if !announced {
		return // it was leaving
	}
	time.AfterFunc(told, func() { r.store.Announce(next, old.proxy.address(), usersplatform.Ready) })
}

// foreignEntries lets somebody else write entries beside those of the workers.
func foreignEntries(r *run, _ *rand.Rand, length time.Duration) {
	remove := r.store.PutForeign()
	time.Sleep(length)
	remove()
}

// leaveTime is how long a worker serves after it has stated that it leaves.
const leaveTime = 2*time.Second + requestTime

func leaveWorker(r *run, random *rand.Rand, _ time.Duration) {
	old := r.replace(random)
	r.store.Announce(old.worker, old.proxy.address(), usersplatform.Draining)
	time.Sleep(leaveTime)
	r.store.Withdraw(old.worker)
	old.worker.Crash()
	old.proxy.close()
}

func spoilWorkers(f usersplatform.Faults) func(*run, *rand.Rand, time.Duration) {
	return func(r *run, random *rand.Rand, length time.Duration) {
		w := r.worker(random).worker
		w.SetFaults(f)
		time.Sleep(length)
		w.SetFaults(usersplatform.Faults{})
	}
}

func withdrawKey(r *run, random *rand.Rand, _ time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.keys) <= 2 {
		return
	}
	i := random.IntN(len(r.keys))
	key := r.keys[i]
	r.keys = append(r.keys[:i:i], r.keys[i+1:]...)
	r.configure()
	r.facts.revoked[key] = time.Now()
}

func changeConfiguration(r *run, _ *rand.Rand, _ time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.configure()
}
