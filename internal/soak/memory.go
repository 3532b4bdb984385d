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
	// unusedAllowed is how long memory may stay set aside at a worker without use, as the
	// gateways are told.
	unusedAllowed = 5 * time.Second
	// unusedSlack is what the soak's own clock and a busy machine may add.
	unusedSlack = 500 * time.Millisecond
	// promptTime is how long the client of a long prompt waits for its answer.
	promptTime = 12 * time.Second
	// promptTokens need the memory of two workers.
	promptTokens = usersplatform.EngineMemory * 3 / 2
	// promptPause is the longest pause between two long prompts of a client.
	promptPause = 400 * time.Millisecond
	// promptClients is how many clients send long prompts.
	promptClients = 3
	engineService = "engine"
)

// engineFaults befall the workers of kind engine, drawn apart from the others.
var engineFaults = []fault{
	{"engines hang", false, spoilEngines(usersplatform.Faults{Hang: 0.6})},
	{"engines hang", false, spoilEngines(usersplatform.Faults{Hang: 0.6})},
	{"engines lose answers", false, spoilEngines(usersplatform.Faults{LoseAnswer: 0.6})},
	{"engine connections reset", false, func(r *run, random *rand.Rand, _ time.Duration) { r.reset(r.engine(random)) }},
	{"engine cut off", false, func(r *run, random *rand.Rand, length time.Duration) {
		engine, began := r.engine(random), time.Now()
		engine.proxy.set(Weather{SilenceUp: true, SilenceDown: true})
		time.Sleep(length)
		engine.proxy.set(Weather{})
		r.harm(engine, began)
	}},
	{"engine crashes, another comes", false, crashEngine},
}

// engine draws one of the workers of kind engine.
func (r *run) engine(random *rand.Rand) *pooled {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.engines[random.IntN(len(r.engines))]
}

// spoilEngines gives all workers of kind engine the same faults for a while.
func spoilEngines(f usersplatform.Faults) func(*run, *rand.Rand, time.Duration) {
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
	if err := r.bearEngine(); err != nil {
		r.faults = append(r.faults, "no new engine: "+err.Error())
	}
	r.mu.Unlock()
	old.worker.Crash()
	old.proxy.close()
	time.Sleep(length)
	r.store.Withdraw(old.worker)
}

// bearEngine starts a worker of kind engine and announces it. The caller holds mu, or is alone.
func (r *run) bearEngine() error {
	r.bornEngines++
	id := fmt.Sprintf("e-%d", r.bornEngines)
	w, err := usersplatform.NewEngine(id, engineService, r.host(102)+":0", r.ledger, r.memory, r.c.Seed+uint64(r.bornEngines))
	if err != nil {
		return err
	}
	p, err := newProxy(r.host(103), w.Address())
	if err != nil {
		return err
	}
	r.engines = append(r.engines, &pooled{w, p})
	r.store.Announce(w, p.address(), usersplatform.Ready)
	return nil
}

// prompts sends long prompts, one after the other.
func (r *run) prompts(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(r.c.Seed, 0x9801+uint64(number)))
	c := &client{run: r, number: r.c.Clients + 1 + number, random: random, http: make(map[string]*http.Transport)}
	for n := 0; ctx.Err() == nil; n++ {
		if gateway := r.pickGateway(random); gateway != "" {
			a := asked{id: fmt.Sprintf("p%d-%d", number, n), kind: "long", key: r.pickKey(random), gateway: gateway, patience: promptTime, tokens: promptTokens}
			r.record(c.send(ctx, a, a.id))
		}
		time.Sleep(time.Duration(random.Int64N(int64(promptPause))))
	}
	for _, t := range c.http {
		t.CloseIdleConnections()
	}
}

// checkMemory: no memory stays set aside for longer than is allowed without use, whatever
// befalls gateways and workers.
func checkMemory(m *usersplatform.Memory) (out []string) {
	for _, u := range m.Unused(unusedAllowed + unusedSlack) {
		out = append(out, u.String())
	}
	return out
}

// restoreStore lets the store come back from an older copy, and what the operator and the workers
// wrote since be written again.
func (r *run) restoreStore(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.c.Seed, 0x2e57))
	draw := func(most time.Duration) time.Duration { return time.Duration(random.Int64N(int64(most))) }
	time.Sleep(draw(r.c.Length / 2))
	older := r.store.Copy()
	time.Sleep(draw(oldestCopy))
	if ctx.Err() != nil {
		return
	}
	r.store.Restore(older)
	r.mu.Lock()
	r.faults = append(r.faults, time.Now().Format("15:04:05.000")+" store back from an older copy")
	r.mu.Unlock()
	time.Sleep(draw(writtenAgain))
	r.store.WriteAgain(older, false)
	time.Sleep(staleEntries)
	r.store.WriteAgain(older, true)
}

const (
	// oldestCopy is the greatest age of a copy.
	oldestCopy = 2 * time.Second
	// writtenAgain is the longest time until the operator and the workers write again.
	writtenAgain = time.Second
	// staleEntries is how long the entry of a worker that has ended stays in an older copy: three
	// missed heartbeats.
	staleEntries = 3600 * time.Millisecond
)
