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

// fault is a kind of fault. inject starts it, waits for its length and reverts it.
type fault struct {
	name     string
	graceful bool // a graceful change, which must not interrupt requests
	inject   func(r *run, random *rand.Rand, length time.Duration)
}

// faults lists all kinds of general faults; the seed selects from them.
var faults = []fault{
	{"gateway killed", false, killGateway},
	{"gateway frozen", false, freezeGateway},
	{"gateway's host suspended", false, suspendGateway},
	{"gateway stopped", true, stopGateway},
	{"gateway stopped", true, stopGateway},
	{"settings reloaded", true, reloadGateway},
	{"store busy", false, disruptStore(usersplatform.Busy)},
	{"store unresponsive", false, disruptStore(usersplatform.Silent)},
	{"store slow", false, disruptStore(usersplatform.Slow)},
	{"store connections reset", false, resetStore},
	{"worker connections delayed", false, impairWorker(Impairment{Delay: 60 * time.Millisecond})},
	{"bytes to a worker held back", false, impairWorker(Impairment{HoldUp: true})},
	{"bytes from a worker held back", false, impairWorker(Impairment{HoldDown: true})},
	{"worker connections reset", false, resetWorker},
	{"worker crashes and is replaced", false, crashWorker},
	{"worker drains", true, drainWorker},
	{"worker restarts under its name", false, restartWorker},
	{"entries of another writer", true, foreignEntries},
	{"workers lose responses", false, setWorkerFaults(usersplatform.Faults{LoseRun: 0.2})},
	{"workers truncate responses", false, setWorkerFaults(usersplatform.Faults{Truncate: 0.2})},
	{"workers send extra responses", false, setWorkerFaults(usersplatform.Faults{ExtraResponse: 0.3})},
	{"workers are full", false, setWorkerFaults(usersplatform.Faults{Refuse: 0.4})},
	{"key withdrawn", true, withdrawKey},
	{"configuration changes", true, changeConfiguration},
}

const (
	// maxFaultGap is the longest time between the starts of two faults. Faults overlap, since each
	// lasts up to maxFaultTime and 200 ms.
	maxFaultGap  = 700 * time.Millisecond
	maxFaultTime = 3 * time.Second
)

// inject injects the seed's faults of the given kinds and waits until all have ended. stream
// separates its random sequence from those of other kinds.
func (r *run) inject(ctx context.Context, kinds []fault, stream uint64) {
	random := rand.New(rand.NewPCG(r.c.Seed, stream))
	end := time.Now().Add(r.c.Length)
	var running sync.WaitGroup
	for time.Now().Before(end) && ctx.Err() == nil {
		f := kinds[random.IntN(len(kinds))]
		length := 200*time.Millisecond + time.Duration(random.Int64N(int64(maxFaultTime)))
		own := rand.New(rand.NewPCG(random.Uint64(), 1))
		began := time.Now()
		r.mu.Lock()
		r.faults = append(r.faults, fmt.Sprintf("%s %s for %v", began.Format(recordTime), f.name, length))
		r.mu.Unlock()
		running.Go(func() {
			f.inject(r, own, length)
			if f.graceful {
				return
			}
			r.mu.Lock()
			r.facts.unplanned = append(r.facts.unplanned, interval{began, time.Now().Add(recoveryTime)})
			r.mu.Unlock()
		})
		time.Sleep(time.Duration(random.Int64N(int64(maxFaultGap))))
	}
	running.Wait()
}

// pickGateway returns the number of a random gateway.
func (r *run) pickGateway(random *rand.Rand) int { return random.IntN(r.c.Gateways) }

// restartGateway starts a gateway whose process has ended.
func (r *run) restartGateway(i int) {
	if _, err := r.group.Start(r.gatewaySpec(i)); err != nil {
		r.mu.Lock()
		r.faults = append(r.faults, "not restarted: "+err.Error())
		r.mu.Unlock()
	}
}

func killGateway(r *run, random *rand.Rand, length time.Duration) {
	i := r.pickGateway(random)
	p := r.group.Get(fmt.Sprintf("gateway-%d", i))
	if p == nil || p.Ended() || p.Kill() != nil {
		return
	}
	began := time.Now()
	time.Sleep(length / 4)
	r.restartGateway(i)
	r.recordDisruption(i, began)
}

func freezeGateway(r *run, random *rand.Rand, length time.Duration) {
	i := r.pickGateway(random)
	p := r.group.Get(fmt.Sprintf("gateway-%d", i))
	began := time.Now()
	if p == nil || p.Ended() || p.Freeze() != nil {
		return
	}
	time.Sleep(length)
	_ = p.Thaw() // it may have been killed meanwhile
	r.recordDisruption(i, began)
}

// suspendedFile is the file from which a gateway's process reads the total time for which its host
// was suspended.
func (r *run) suspendedFile(gateway int) string {
	return filepath.Join(r.c.Dir, fmt.Sprintf("suspended-%d", gateway))
}

// suspendGateway freezes a gateway for a tenth of the fault's length and reports the whole length
// as time for which its host was suspended: the gateway's own clock counts only the freeze.
func suspendGateway(r *run, random *rand.Rand, length time.Duration) {
	i := r.pickGateway(random)
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
		r.faults = append(r.faults, "suspension not written: "+err.Error())
	}
	r.mu.Unlock()
	_ = p.Thaw() // it may have been killed meanwhile
	r.recordDisruption(i, began)
}

func stopGateway(r *run, random *rand.Rand, _ time.Duration) {
	i := r.pickGateway(random)
	p := r.group.Get(fmt.Sprintf("gateway-%d", i))
	if p == nil || p.Ended() {
		return
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), drainTime+maxFaultTime)
	defer cancel()
	err := p.Stop(ctx)
	r.mu.Lock()
	r.facts.stops = append(r.facts.stops, interval{began, time.Now()})
	if err != nil {
		r.faults = append(r.faults, "gateway did not stop cleanly: "+err.Error())
	}
	r.mu.Unlock()
	r.restartGateway(i)
	r.recordDisruption(i, began)
}

func reloadGateway(r *run, random *rand.Rand, _ time.Duration) {
	p := r.group.Get(fmt.Sprintf("gateway-%d", r.pickGateway(random)))
	if p != nil && !p.Ended() {
		_ = syscall.Kill(p.PID(), syscall.SIGHUP) // it may have ended meanwhile
	}
}

func disruptStore(t usersplatform.Failure) func(*run, *rand.Rand, time.Duration) {
	return func(r *run, _ *rand.Rand, length time.Duration) {
		began := time.Now()
		r.store.SetFailure(t)
		time.Sleep(length)
		r.store.SetFailure(usersplatform.NoFailure)
		r.recordStoreDisruption(began)
	}
}

func resetStore(r *run, _ *rand.Rand, _ time.Duration) {
	r.storeProxy.resetAll()
	r.recordStoreDisruption(time.Now())
}

// pickWorker returns a random announced worker.
func (r *run) pickWorker(random *rand.Rand) *proxiedWorker {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.workers[random.IntN(len(r.workers))]
}

func impairWorker(w Impairment) func(*run, *rand.Rand, time.Duration) {
	return func(r *run, random *rand.Rand, length time.Duration) { r.impair(r.pickWorker(random), w, length) }
}

// impair impairs the link to a worker for a while.
func (r *run) impair(p *proxiedWorker, w Impairment, length time.Duration) {
	began := time.Now()
	p.proxy.setImpairment(w)
	time.Sleep(length)
	p.proxy.setImpairment(Impairment{})
	r.recordLoss(p, began)
	if w.HoldUp {
		r.recordHeld(p, began)
	}
}

// deliveryTime is how long after the end of an impairment bytes that were held back may arrive.
const deliveryTime = 500 * time.Millisecond

// recordHeld records that bytes to a worker were held back since a time until now.
func (r *run) recordHeld(p *proxiedWorker, from time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := p.worker.ID
	r.facts.held[id] = append(r.facts.held[id], interval{from, time.Now().Add(deliveryTime)})
}

func resetWorker(r *run, random *rand.Rand, _ time.Duration) { r.reset(r.pickWorker(random)) }

// reset resets a worker's connections.
func (r *run) reset(p *proxiedWorker) {
	r.recordLoss(p, time.Now())
	p.proxy.resetAll()
}

// replaceWorker removes a random worker from the list and starts another.
func (r *run) replaceWorker(random *rand.Rand) *proxiedWorker {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := random.IntN(len(r.workers))
	old := r.workers[i]
	r.workers = append(r.workers[:i:i], r.workers[i+1:]...)
	if err := r.startWorker(old.worker.Kind); err != nil {
		r.faults = append(r.faults, "replacement worker not started: "+err.Error())
	}
	return old
}

func crashWorker(r *run, random *rand.Rand, length time.Duration) {
	old := r.replaceWorker(random)
	old.worker.Crash()
	old.proxy.close()
	time.Sleep(length)
	r.store.Withdraw(old.worker)
}

// restartWorker ends a worker and starts it again under its name immediately. The new entry of the
// worker is written only after a quarter of the fault's length. The new process survives the
// crashing request, as one of another release may.
func restartWorker(r *run, random *rand.Rand, length time.Duration) {
	r.restartWorkerAs(r.pickWorker(random), length/4)
}

// restartWorkerAs ends a worker and starts it again under its name; its new entry is written after
// announceAfter.
func (r *run) restartWorkerAs(old *proxiedWorker, announceAfter time.Duration) {
	old.worker.Crash()
	next, err := usersplatform.NewWorker(old.worker.ID, old.worker.Service, old.worker.Kind, old.worker.DataCentre, old.worker.Address(), r.ledger, r.c.Seed)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.faults = append(r.faults, "not restarted: "+err.Error())
		return
	}
	announced := slices.ContainsFunc(r.workers, func(p *proxiedWorker) bool { return p == old })
	old.worker = next
	if !announced {
		return // it was draining
	}
	time.AfterFunc(announceAfter, func() { r.store.Announce(next, old.proxy.address(), usersplatform.Ready) })
}

// foreignEntries lets another writer add entries beside those of the workers.
func foreignEntries(r *run, _ *rand.Rand, length time.Duration) {
	remove := r.store.PutForeign()
	time.Sleep(length)
	remove()
}

// drainPeriod is how long a worker serves after it has announced that it drains.
const drainPeriod = 2*time.Second + requestTimeout

func drainWorker(r *run, random *rand.Rand, _ time.Duration) {
	old := r.replaceWorker(random)
	r.store.Announce(old.worker, old.proxy.address(), usersplatform.Draining)
	time.Sleep(drainPeriod)
	r.store.Withdraw(old.worker)
	old.worker.Crash()
	old.proxy.close()
}

func setWorkerFaults(f usersplatform.Faults) func(*run, *rand.Rand, time.Duration) {
	return func(r *run, random *rand.Rand, length time.Duration) {
		w := r.pickWorker(random).worker
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
