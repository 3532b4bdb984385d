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
	shortPause  = 20 * time.Millisecond // between two short requests, real time
	shortAlone  = 200
	// frozenTime is longer than a group's lease.
	frozenTime = 6 * time.Second
)

// undisturbed measures the first token of a million tokens, alone and beside
// short requests, and these alone and beside it.
func (b *bench) undisturbed(ctx context.Context) error {
	alone := b.shorts(ctx, func(n int) bool { return n == shortAlone })
	var beside []time.Duration
	for i := range b.opts.Rounds {
		took, status, right := b.ask(ctx, b.Gateways[0], b.prompt(million))
		if !right {
			return trace.Errorf("a million tokens alone: status %d", status)
		}
		fmt.Printf("million alone, round %d: %v\n", i+1, took)
		done := make(chan bool, 1)
		go func() {
			took, status, right = b.ask(ctx, b.Gateways[0], b.prompt(million))
			done <- right
		}()
		beside = append(beside, b.shorts(ctx, func(int) bool { return len(done) > 0 })...)
		if !<-done {
			return trace.Errorf("a million tokens beside short requests: status %d", status)
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

// shorts asks short questions one after the other until stop.
func (b *bench) shorts(ctx context.Context, stop func(n int) bool) (out []time.Duration) {
	for n := 0; !stop(n) && ctx.Err() == nil; n++ {
		if took, _, right := b.ask(ctx, b.Gateways[1], b.prompt(shortTokens)); right {
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

// disturbed kills and freezes processes in the middle of a group.
func (b *bench) disturbed(ctx context.Context) error {
	victims := []victim{
		{"gateway", func(roles) string { return fleet.GatewayName(0) }},
		{"agent of the first member", func(r roles) string { return fleet.AgentName(r.first) }},
		{"agent of the second member", func(r roles) string { return fleet.AgentName(r.second) }},
		{"agent of a later member", func(r roles) string { return fleet.AgentName(r.later) }},
		{"engine of the second member", func(r roles) string { return fleet.EngineName(r.second) }},
	}
	for _, v := range victims {
		for _, kill := range []bool{false, true} {
			if err := b.disturb(ctx, v, kill); err != nil {
				return err
			}
		}
	}
	return nil
}

// roles are the members of the present group, as the engines show them while
// the second member computes.
type roles struct{ first, second, later int }

// victim names a process by its part in the group.
type victim struct {
	name string
	of   func(roles) string
}

// disturb runs one prompt and kills or freezes a process while the second
// member computes.
func (b *bench) disturb(ctx context.Context, v victim, kill bool) error {
	type end struct {
		took   time.Duration
		status int
		right  bool
	}
	done := make(chan end, 1)
	go func() {
		var e end
		e.took, e.status, e.right = b.ask(ctx, b.Gateways[0], b.prompt(million))
		done <- e
	}()
	r, err := b.awaitSecond(ctx)
	if err != nil {
		return err
	}
	what := "frozen"
	if kill {
		what = "killed"
	}
	if err := b.strike(b.Group.Get(v.of(r)), kill); err != nil {
		return err
	}
	e := <-done
	free, err := b.awaitFree(ctx)
	if err != nil {
		return trace.Wrap(err, "%s %s", v.name, what)
	}
	fmt.Printf("%s %s: status %d, whole %t after %v; all memory free %v after the answer\n", v.name, what, e.status, e.right, e.took, free)
	return nil
}

// awaitSecond waits until the second member computes and returns who is who.
func (b *bench) awaitSecond(ctx context.Context) (r roles, err error) {
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

// rolesOf tells the members apart by what they hold: the first holds its own
// span, the others what they have imported of it.
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

// strike kills and restarts a process, or freezes it and thaws it later.
func (b *bench) strike(p *procs.Process, kill bool) error {
	if !kill {
		if err := p.Freeze(); err != nil {
			return err
		}
		time.AfterFunc(frozenTime, func() { _ = p.Thaw() })
		return nil
	}
	spec := p.Spec()
	if err := p.Kill(); err != nil {
		return err
	}
	_, err := b.Group.Start(spec)
	return err
}
