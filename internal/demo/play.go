package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/micarudder/micarudder/internal/fleet"
	"github.com/micarudder/micarudder/load"
	"github.com/micarudder/micarudder/rudderv1"
)

// event is a fault or an operation during the load.
type event struct {
	at time.Duration
	do func(context.Context) error
}

// events lists the events with their times from the start of the load.
func (s *installation) events() []event {
	return []event{
		{2 * time.Second, func(ctx context.Context) error { return s.crashEngine(ctx, 0) }},
		{5 * time.Second, func(ctx context.Context) error { return s.kill(ctx, fleet.GatewayName(0), 2*time.Second) }},
		{10 * time.Second, func(ctx context.Context) error { return s.drain(ctx, fleet.AgentName(2), time.Second) }},
		{13 * time.Second, func(ctx context.Context) error {
			return s.change(ctx, "raise the priority of settlement", func(doc *rudderv1.Document) {
				for _, w := range doc.Workspaces {
					if w.Name == "settlement" {
						w.Priority = 2
					}
				}
			})
		}},
		{16 * time.Second, func(ctx context.Context) error { return s.kill(ctx, fleet.AgentName(4), time.Second) }},
	}
}

// runLoad runs the load with the events and reports whether every guarantee held.
func (s *installation) runLoad(ctx context.Context) (bool, error) {
	c := newCalls(s)
	loadCtx, loadDone := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { c.run(loadCtx) })
	failed := make(chan error, len(s.events()))
	for _, e := range s.events() {
		wg.Go(func() { failed <- runEvent(loadCtx, e) })
	}
	total := len(s.mix.Schedule(seed, 1))
	update, end := progress(total)
	records, err := load.Do(ctx, load.Options{
		Mix: s.mix, Gateways: s.fleet.Gateways, Engines: s.fleet.Engines, Seed: seed, Name: "demo", Progress: update,
	})
	end()
	loadDone()
	wg.Wait()
	if err != nil {
		return false, err
	}
	for range s.events() {
		if err := <-failed; err != nil {
			return false, err
		}
	}
	t, err := c.evaluate(ctx)
	if err != nil {
		return false, err
	}
	printCodes(records)
	return verdict(load.Summarize(s.mix, seed, 1, records), t), nil
}

// printCodes prints the reasons for which requests had no complete answer.
func printCodes(records []load.Record) {
	counts := make(map[string]int)
	for _, r := range records {
		if r.Final != load.Whole {
			counts[fmt.Sprintf("%s to %s: %s, %d %s: %s", r.Flow, r.Class, r.Final, r.Code, r.Code, r.Detail)]++
		}
	}
	for _, text := range slices.Sorted(maps.Keys(counts)) {
		fmt.Printf("%6d  %s\n", counts[text], text)
	}
}

// progress displays the progress if stderr is a terminal, and nothing otherwise.
func progress(total int) (update func(load.Record), end func()) {
	if info, err := os.Stderr.Stat(); err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil, func() {}
	}
	return load.Progress(os.Stderr, "demo", total)
}

func runEvent(ctx context.Context, e event) error {
	select {
	case <-time.After(e.at):
		return e.do(context.WithoutCancel(ctx))
	case <-ctx.Done():
		return fmt.Errorf("the load ended before the event scheduled at %s", e.at)
	}
}

// verdict prints the table and the summary line and reports whether every
// guarantee held.
func verdict(s *load.Summary, t tally) bool {
	fmt.Printf("\n%-14s %9s %9s %9s %14s %14s\n", "prompt", "requests", "answered", "refused", "first p50", "first p95")
	for _, c := range s.Classes {
		fmt.Printf("%-14s %9d %9d %9d %11.0f ms %11.0f ms\n", "to "+c.Class, c.Requests, c.Whole, c.Refused, c.FirstToken.P50*1e3, c.FirstToken.P95*1e3)
	}
	fmt.Printf("%-14s %9d %9d %9d\n\n", "service calls", t.answered+t.refused+t.unknown+t.lost+t.inconsistent, t.answered, t.refused)
	fmt.Printf("final states %v, reattached %d, restarts %d, runs beyond the first of repeatable requests %d\n", s.Finals, s.Reattached, s.Restarts, s.Reruns)
	if len(s.Breaches) > 0 {
		fmt.Printf("violated guarantees: %v\n", s.Breaches)
	}
	for _, r := range s.Examples {
		fmt.Printf("    %+v\n", r)
	}
	fmt.Printf("outcome \"may have run\": %d completions, %d calls\n", s.Finals[load.Unknown], t.unknown)
	lost := s.Breaches[load.BreachLost] + s.Finals[load.Unsent] + t.lost
	doubled := s.Breaches[load.BreachDoubled] + t.doubled
	cut := s.Breaches[load.BreachCutOff] + s.Breaches[load.BreachDamaged]
	fmt.Printf("demo: %d answered, %d lost, %d doubled, %d cut off\n", s.Finals[load.Whole]+t.answered, lost, doubled, cut)
	return lost+doubled+cut+t.inconsistent == 0 && len(s.Breaches) == 0
}
