package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/micarudder/micarudder/internal/fleet"
	"github.com/micarudder/micarudder/internal/procs"
)

const (
	shortTokens = 1000
	shortPause  = 20 * time.Millisecond // real time between two short requests
	shortAlone  = 200
	// freezeTime is longer than a group's lease.
	freezeTime = 6 * time.Second
)

// measureWithoutFaults measures prompts of a million tokens alone and along
// with short requests, and the short requests alone and along with them.
func (b *testbed) measureWithoutFaults(ctx context.Context) error {
	alone := b.sendShort(ctx, func(n int) bool { return n == shortAlone })
	var beside []time.Duration
	for i := range b.opts.Rounds {
		took, status, correct := b.complete(ctx, b.Gateways[0], b.prompt(million))
		if !correct {
			return trace.Errorf("prompt of a million tokens alone: no correct answer, status %d", status)
		}
		fmt.Printf("million alone, round %d: %v\n", i+1, took)
		done := make(chan bool, 1)
		go func() {
			took, status, correct = b.complete(ctx, b.Gateways[0], b.prompt(million))
			done <- correct
		}()
		beside = append(beside, b.sendShort(ctx, func(int) bool { return len(done) > 0 })...)
		if !<-done {
			return trace.Errorf("prompt of a million tokens beside short requests: no correct answer, status %d", status)
		}
		fmt.Printf("million beside short requests, round %d: %v\n", i+1, took)
	}
	fmt.Println("short alone: ", percentiles(alone))
	fmt.Println("short beside:", percentiles(beside))
	for i := range engines {
		fmt.Printf("%s: peak resident %.1f MiB\n", fleet.AgentName(i), b.peakMemory(fleet.AgentName(i)))
	}
	fmt.Printf("%s: peak resident %.1f MiB\n\n", fleet.GatewayName(0), b.peakMemory(fleet.GatewayName(0)))
	return nil
}

// sendShort sends short requests one after the other until stop returns true and
// returns the times of those answered correctly.
func (b *testbed) sendShort(ctx context.Context, stop func(n int) bool) (out []time.Duration) {
	for n := 0; !stop(n) && ctx.Err() == nil; n++ {
		if took, _, right := b.complete(ctx, b.Gateways[1], b.prompt(shortTokens)); right {
			out = append(out, took)
		}
		time.Sleep(shortPause)
	}
	return out
}

func percentiles(times []time.Duration) string {
	slices.Sort(times)
	at := func(p int) time.Duration { return times[min(len(times)*p/100, len(times)-1)] }
	return fmt.Sprintf("%d requests, p50 %v p95 %v p99 %v max %v", len(times), at(50), at(95), at(99), at(100))
}

// measureFaults kills and freezes processes while a group computes a prompt.
func (b *testbed) measureFaults(ctx context.Context) error {
	targets := []faultTarget{
		{"gateway", func(roles) string { return fleet.GatewayName(0) }},
		{"agent of the first member", func(r roles) string { return fleet.AgentName(r.first) }},
		{"agent of the second member", func(r roles) string { return fleet.AgentName(r.second) }},
		{"agent of a later member", func(r roles) string { return fleet.AgentName(r.later) }},
		{"engine of the second member", func(r roles) string { return fleet.EngineName(r.second) }},
	}
	for _, v := range targets {
		for _, kill := range []bool{false, true} {
			if err := b.measureFault(ctx, v, kill); err != nil {
				return err
			}
		}
	}
	return nil
}

// roles holds the indexes of the current group's members, derived from the
// engines' state while the second member computes.
type roles struct{ first, second, later int }

// faultTarget selects a process by its role in the group.
type faultTarget struct {
	name    string
	process func(roles) string
}

// measureFault runs one prompt and kills or freezes a process while the second
// member computes.
func (b *testbed) measureFault(ctx context.Context, v faultTarget, kill bool) error {
	type answer struct {
		took    time.Duration
		status  int
		correct bool
	}
	done := make(chan answer, 1)
	go func() {
		var e answer
		e.took, e.status, e.correct = b.complete(ctx, b.Gateways[0], b.prompt(million))
		done <- e
	}()
	r, err := b.awaitSecondMember(ctx)
	if err != nil {
		return err
	}
	fault := "frozen"
	if kill {
		fault = "killed"
	}
	if err := b.injectFault(b.Group.Get(v.process(r)), kill); err != nil {
		return err
	}
	e := <-done
	free, err := b.awaitFree(ctx)
	if err != nil {
		return trace.Wrap(err, "%s %s", v.name, fault)
	}
	fmt.Printf("%s %s: status %d, whole %t after %v; all memory free %v after the answer\n", v.name, fault, e.status, e.correct, e.took, free)
	return nil
}

// awaitSecondMember waits until the second member computes and returns the roles
// of the engines.
func (b *testbed) awaitSecondMember(ctx context.Context) (r roles, err error) {
	for ctx.Err() == nil {
		held := make([]uint64, engines)
		second := -1
		for i := range engines {
			st, err := b.state(ctx, i)
			if err != nil {
				return r, err
			}
			for _, h := range st.Held {
				held[i] += h.Tokens
			}
			if len(st.Running) > 0 && held[i] > 0 {
				second = i
			}
		}
		if second >= 0 {
			return rolesOf(held, second), nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return r, ctx.Err()
}

// rolesOf derives the roles from the tokens that the engines hold: the first
// member holds its own span, the others the part of it that they have imported.
func rolesOf(held []uint64, second int) roles {
	r := roles{second: second, first: (second + 1) % engines}
	for i, n := range held {
		if i != second && n > held[r.first] {
			r.first = i
		}
	}
	for i := range held {
		if i != second && i != r.first {
			r.later = i
		}
	}
	return r
}

// injectFault kills and restarts a process, or freezes it and thaws it after
// freezeTime.
func (b *testbed) injectFault(p *procs.Process, kill bool) error {
	if !kill {
		if err := p.Freeze(); err != nil {
			return err
		}
		time.AfterFunc(freezeTime, func() { _ = p.Thaw() })
		return nil
	}
	spec := p.Spec()
	if err := p.Kill(); err != nil {
		return err
	}
	_, err := b.Group.Start(spec)
	return err
}
