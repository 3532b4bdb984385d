package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

var (
	callGateways = []int{1, 2, 4}
	callAgents   = []int{5, 20, 40}
)

// callRates holds the platform calls per second of one fleet without
// configuration changes and requests, and its open watches.
type callRates struct {
	gateways, agents int
	reads, writes    float64
	watches          int64
}

// measureCalls counts the platform calls for each combination of callGateways
// and callAgents. Fleets with the same number of agents run concurrently, each
// on its own loopback address.
func (o options) measureCalls(ctx context.Context) ([]callRates, error) {
	var all []callRates
	for _, agents := range callAgents {
		found := make([]callRates, len(callGateways))
		errs := make([]error, len(callGateways))
		var wg sync.WaitGroup
		for i, gateways := range callGateways {
			wg.Go(func() {
				found[i], errs[i] = o.countCalls(ctx, fmt.Sprintf("127.0.0.%d", i+1), gateways, agents)
			})
		}
		wg.Wait()
		if err := trace.NewAggregate(errs...); err != nil {
			return nil, err
		}
		all = append(all, found...)
	}
	return all, nil
}

func (o options) countCalls(ctx context.Context, address string, gateways, agents int) (callRates, error) {
	r, err := o.start(ctx, address, gateways, agents)
	if err != nil {
		return callRates{}, err
	}
	c := callRates{gateways: gateways, agents: agents}
	return c, trace.NewAggregate(c.count(ctx, r, o.Window), r.stop())
}

func (c *callRates) count(ctx context.Context, r *liveFleet, window time.Duration) error {
	before, err := r.counts(ctx)
	if err != nil {
		return err
	}
	if err := pause(ctx, window); err != nil {
		return err
	}
	after, err := r.counts(ctx)
	if err != nil {
		return err
	}
	c.reads = float64(after.Reads()-before.Reads()) / window.Seconds()
	c.writes = float64(after.Writes()-before.Writes()) / window.Seconds()
	c.watches = after.Watching
	return nil
}
