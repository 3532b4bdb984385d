package agent

import (
	"context"
	"time"

	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/prefix"
	"github.com/micarudder/micarudder/rudderv1"
)

const (
	cachePoll     = time.Second
	cachePollIdle = 10 * time.Second
)

// cachedTokens returns the number of prompt tokens that the endpoint is assumed to hold.
func (a *Agent) cachedTokens(c *rudderv1.Completion) uint64 {
	return min(c.GetPromptTokens(), uint64(a.cache.Cached(c.GetPrefix()))*prefix.BlockTokens)
}

// followCache reads the engine's cache events. They are hints only: they arrive late and with
// gaps, and the usage reported by runs corrects them.
func (a *Agent) followCache() {
	var after uint64
	for {
		interval := cachePollIdle
		events, err := a.cacheEvents(after)
		if err == nil && len(events) > 0 {
			after = a.applyCache(events, after)
			interval = cachePoll
		}
		select {
		case <-time.After(interval):
		case <-a.ctx.Done():
			return
		}
	}
}

func (a *Agent) cacheEvents(after uint64) ([]engine.CacheEvent, error) {
	ctx, cancel := context.WithTimeout(a.ctx, probeTimeout)
	defer cancel()
	return a.deps.Engine.CacheEvents(ctx, after)
}

// applyCache applies events and returns the last sequence number. A sequence number that is
// not above the previous one means that the engine has restarted with an empty cache.
func (a *Agent) applyCache(events []engine.CacheEvent, after uint64) uint64 {
	var added, removed []uint64
	for _, e := range events {
		if e.Evicted {
			removed = append(removed, e.Block)
		} else {
			added = append(added, e.Block)
		}
	}
	a.cache.Apply(events[0].Sequence <= after, added, removed)
	return events[len(events)-1].Sequence
}
