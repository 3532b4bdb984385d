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

// callsOf are the calls a second at the platform of one fleet without changes
// and without requests.
type callsOf struct {
	gateways, agents int
	reads, writes    float64
	watches          int64
}

// measureCalls counts the platform's calls of each combination. Fleets with the
// same number of agents run side by side, at loopback addresses of their own.
func (o options) measureCalls(ctx context.Context) ([]callsOf, error) {
	var all []callsOf
	for _, agents := range callAgents {
		found := make([]callsOf, len(callGateways))
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

func (o options) countCalls(ctx context.Context, address string, gateways, agents int) (callsOf, error) {
	r, err := o.start(ctx, address, gateways, agents)
	if err != nil {
		return callsOf{}, err
	}
	c := callsOf{gateways: gateways, agents: agents}
	return c, trace.NewAggregate(c.count(ctx, r, o.Window), r.stop())
}

func (c *callsOf) count(ctx context.Context, r *running, window time.Duration) error {
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
