package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/micarudder/micarudder/internal/standin/usersplatform"
)

const (
	// maxUnusedTime is how long memory may stay reserved at a worker without being used, as set in
	// the gateways' settings.
	maxUnusedTime = 5 * time.Second
	// unusedSlack allows for the soak's own clock and a busy machine.
	unusedSlack = 500 * time.Millisecond
	// promptTimeout is how long the client of a long prompt waits for its response.
	promptTimeout = 12 * time.Second
	// promptTokens is the length of a long prompt, which needs the memory of two workers.
	promptTokens = usersplatform.EngineMemory * 3 / 2
	// maxPromptPause is the longest pause between two long prompts of a client.
	maxPromptPause = 400 * time.Millisecond
	// promptClients is how many clients send long prompts.
	promptClients = 3
	engineService = "engine"
)

// engineFaults are the faults of the workers of kind engine; they have a random sequence of their
// own.
var engineFaults = []fault{
	{"engines hang", false, setEngineFaults(usersplatform.Faults{Hang: 0.6})},
	{"engines hang", false, setEngineFaults(usersplatform.Faults{Hang: 0.6})},
	{"engines lose responses", false, setEngineFaults(usersplatform.Faults{LoseResponse: 0.6})},
	{"engine connections reset", false, func(r *run, random *rand.Rand, _ time.Duration) { r.reset(r.pickEngine(random)) }},
	{"engine unreachable", false, func(r *run, random *rand.Rand, length time.Duration) {
		r.impair(r.pickEngine(random), Impairment{HoldUp: true, HoldDown: true}, length)
	}},
	{"engine crashes and is replaced", false, crashEngine},
}

// pickEngine returns a random worker of kind engine.
func (r *run) pickEngine(random *rand.Rand) *proxiedWorker {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.engines[random.IntN(len(r.engines))]
}

// setEngineFaults sets the same faults for all workers of kind engine for a while.
func setEngineFaults(f usersplatform.Faults) func(*run, *rand.Rand, time.Duration) {
	set := func(r *run, f usersplatform.Faults) {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, e := range r.engines {
			e.worker.SetFaults(f)
		}
	}
	return func(r *run, _ *rand.Rand, length time.Duration) {
		set(r, f)
		time.Sleep(length)
		set(r, usersplatform.Faults{})
	}
}

func crashEngine(r *run, random *rand.Rand, length time.Duration) {
	r.mu.Lock()
	i := random.IntN(len(r.engines))
	old := r.engines[i]
	r.engines = append(r.engines[:i:i], r.engines[i+1:]...)
	if err := r.startEngine(); err != nil {
		r.faults = append(r.faults, "replacement engine not started: "+err.Error())
	}
	r.mu.Unlock()
	old.worker.Crash()
	old.proxy.close()
	time.Sleep(length)
	r.store.Withdraw(old.worker)
}

// startEngine starts a worker of kind engine and announces it. The caller holds mu, or no other
// goroutine uses r yet.
func (r *run) startEngine() error {
	r.enginesStarted++
	id := fmt.Sprintf("e-%d", r.enginesStarted)
	r.facts.dataCentres[id] = dataCentreOf(r.enginesStarted)
	w, err := usersplatform.NewEngine(id, engineService, r.facts.dataCentres[id], r.host(102)+":0", r.ledger, r.memory, r.c.Seed+uint64(r.enginesStarted))
	if err != nil {
		return err
	}
	p, err := newProxy(r.host(103), w.Address())
	if err != nil {
		return err
	}
	r.engines = append(r.engines, &proxiedWorker{w, p})
	r.store.Announce(w, p.address(), usersplatform.Ready)
	return nil
}

// sendLongPrompts sends long prompts, one after the other.
func (r *run) sendLongPrompts(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(r.c.Seed, 0x9801+uint64(number)))
	c := &client{run: r, number: r.c.Clients + 1 + number, random: random, transports: make(map[string]*http.Transport)}
	for n := 0; ctx.Err() == nil; n++ {
		if gateway := r.pickReadyGateway(random); gateway != "" {
			a := request{id: fmt.Sprintf("p%d-%d", number, n), kind: "long", key: r.pickKey(random), gateway: gateway, timeout: promptTimeout, tokens: promptTokens}
			r.record(c.send(ctx, a, a.id))
		}
		time.Sleep(time.Duration(random.Int64N(int64(maxPromptPause))))
	}
	for _, t := range c.transports {
		t.CloseIdleConnections()
	}
}

// checkMemory verifies that no memory stays reserved but unused for longer than allowed, whatever
// faults gateways and workers have.
func checkMemory(m *usersplatform.Memory) (out []string) {
	for _, u := range m.Unused(maxUnusedTime + unusedSlack) {
		out = append(out, u.String())
	}
	return out
}

// restoreStore restores the store from an older snapshot; later the operator and the workers repeat
// what they wrote since.
func (r *run) restoreStore(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.c.Seed, 0x2e57))
	draw := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
	time.Sleep(draw(r.c.Length / 2))
	snapshot := r.store.Snapshot()
	time.Sleep(draw(maxSnapshotAge))
	if ctx.Err() != nil {
		return
	}
	began := time.Now()
	defer r.recordStoreDisruption(began)
	r.store.Restore(snapshot)
	r.mu.Lock()
	r.faults = append(r.faults, time.Now().Format(recordTime)+" store restored from an older snapshot")
	r.mu.Unlock()
	time.Sleep(draw(maxRewriteDelay))
	r.store.Replay(snapshot, false)
	time.Sleep(staleEntryTime)
	r.store.Replay(snapshot, true)
}

const (
	// maxSnapshotAge is the greatest age of a snapshot.
	maxSnapshotAge = 2 * time.Second
	// maxRewriteDelay is the longest time until the operator and the workers repeat their writes.
	maxRewriteDelay = time.Second
	// staleEntryTime is how long the entry of an ended worker remains in a restored snapshot: three
	// missed heartbeats.
	staleEntryTime = 3600 * time.Millisecond
)
