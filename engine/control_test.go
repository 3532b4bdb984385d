package engine_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/engine"
	standin "github.com/micarudder/micarudder/internal/standin/engine"
	"github.com/micarudder/micarudder/internal/standin/pipe"
	"github.com/micarudder/micarudder/internal/standin/weights"
)

var bg = context.Background()

// withStore runs f with an engine whose weights of 10 MB take 10 s to load.
func withStore(t *testing.T, change func(*standin.Config), f func(is *is.I, b *fixture, store *weights.Server)) {
	t.Helper()
	var store *weights.Server
	var net *pipe.Server
	withEngine(t, func(c *standin.Config) {
		store = weights.NewServer(weights.Config{BytesPerSecond: 1 << 20, DefaultBytes: 10 << 20})
		net = pipe.Serve(store.Handler())
		c.WeightsURL, c.HTTPClient = "http://store", net.Client
		if change != nil {
			change(c)
		}
	}, func(is *is.I, b *fixture) {
		f(is, b, store)
		b.engine.Close()
		net.Close()
	})
}

func loadOrder(id string, fence uint64) engine.Order {
	return engine.Order{ID: id, Kind: engine.OrderLoadModel, Model: "new", Version: "v2", Weights: "new-v2", Fence: fence, From: "agent-1"}
}

func (b *fixture) hasLoaded(model string) bool {
	for _, m := range b.engine.State().Models {
		if m.Name == model && !m.Loading {
			return true
		}
	}
	return false
}

func TestOrderLoadTakesTransferTime(t *testing.T) {
	withStore(t, nil, func(is *is.I, b *fixture, _ *weights.Server) {
		begin := time.Now()
		result := make(chan error)
		go func() { result <- b.client.Order(bg, loadOrder("o1", 1)) }()
		time.Sleep(time.Second)
		st, err := b.client.State(bg)
		is.NoErr(err)
		is.True(st.OrderBusy)
		is.Equal(st.Models[1], engine.Model{Name: "new", Version: "v2", Loading: true})
		is.True(errors.Is(b.client.Order(bg, loadOrder("o2", 1)), engine.ErrRefused)) // busy
		is.NoErr(<-result)
		is.True(time.Since(begin) > 9*time.Second)
		st, err = b.client.State(bg)
		is.NoErr(err)
		is.Equal(st.OrderID, "o1")
		is.True(!st.OrderBusy)
		is.Equal(st.Models[1], engine.Model{Name: "new", Version: "v2"})
	})
}

func TestOrdersChangeWhatIsServed(t *testing.T) {
	withStore(t, nil, func(is *is.I, b *fixture, _ *weights.Server) {
		execute := func(o engine.Order) engine.State {
			is.NoErr(b.client.Order(bg, o))
			st, err := b.client.State(bg)
			is.NoErr(err)
			return st
		}
		st := execute(engine.Order{ID: "1", Kind: engine.OrderLoadAdapter, Model: model, Adapter: "bids", Weights: "bids"})
		is.Equal(st.Models[0].Adapters, []string{"bids"})
		st = execute(engine.Order{ID: "2", Kind: engine.OrderUnloadAdapter, Model: model, Adapter: "bids"})
		is.Equal(len(st.Models[0].Adapters), 0)
		st = execute(engine.Order{ID: "3", Kind: engine.OrderSetRole, Role: "prefill"})
		is.Equal(st.Role, "prefill")
		st = execute(engine.Order{ID: "4", Kind: engine.OrderUnloadModel, Model: model})
		is.Equal(len(st.Models), 0)
		is.True(errors.Is(b.client.Order(bg, engine.Order{ID: "5", Kind: engine.OrderUnloadModel, Model: "none"}), engine.ErrFailed))
		is.True(errors.Is(b.client.Order(bg, engine.Order{ID: "6", Kind: "dance"}), engine.ErrRefused))
	})
}

// TestOrderUnderFaults checks the error and the engine state after each failure
// of an order.
func TestOrderUnderFaults(t *testing.T) {
	fenced := func(c *standin.Config) { c.ChecksFencing = true }
	cases := []struct {
		name   string
		change func(*standin.Config)
		faults standin.Faults
		before func(b *fixture, store *weights.Server)
		during func(b *fixture) // two seconds into the load
		order  engine.Order
		want   error
		loaded bool
	}{
		{name: "refused", faults: standin.Faults{Refuse: true}, order: loadOrder("o", 1), want: engine.ErrRefused},
		{name: "response lost", faults: standin.Faults{LoseOrderAnswer: true}, order: loadOrder("o", 1), want: engine.ErrLost, loaded: true},
		{name: "fails", faults: standin.Faults{FailOrders: true}, order: loadOrder("o", 1), want: engine.ErrFailed},
		{name: "unreachable", before: func(b *fixture, _ *weights.Server) { b.net.Close() }, order: loadOrder("o", 1), want: engine.ErrUnreachable},
		{name: "store refuses", before: func(_ *fixture, s *weights.Server) { s.SetFaults(weights.Faults{Refuse: true}) }, order: loadOrder("o", 1), want: engine.ErrFailed},
		{name: "store cuts the transfer off", before: func(_ *fixture, s *weights.Server) { s.SetFaults(weights.Faults{CutAfterBytes: 1 << 20}) }, order: loadOrder("o", 1), want: engine.ErrFailed},
		{name: "engine crashes", during: func(b *fixture) { b.engine.Crash() }, order: loadOrder("o", 1), want: engine.ErrLost},
		{name: "old fence, checked", change: fenced, before: setFence5, order: loadOrder("o", 4), want: engine.ErrFenced},
		{name: "same fence, checked", change: fenced, before: setFence5, order: loadOrder("o", 5), loaded: true},
		{name: "old fence, not checked", before: setFence5, order: loadOrder("o", 4), loaded: true},
		{name: "caller not allowed", change: func(c *standin.Config) { c.Callers = []string{"agent-2"} }, order: loadOrder("o", 1), want: engine.ErrRefused},
		{name: "engine hangs, then resumes", during: func(b *fixture) {
			b.engine.SetFaults(standin.Faults{Hang: true})
			time.Sleep(time.Hour)
			b.engine.SetFaults(standin.Faults{})
		}, order: loadOrder("o", 1), loaded: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withStore(t, c.change, func(is *is.I, b *fixture, store *weights.Server) {
				if c.before != nil {
					c.before(b, store)
				}
				b.engine.SetFaults(c.faults)
				result := make(chan error, 1)
				go func() { result <- b.client.Order(bg, c.order) }()
				time.Sleep(2 * time.Second)
				if c.during != nil {
					c.during(b)
				}
				is.True(errors.Is(<-result, c.want))
				time.Sleep(time.Minute)
				is.Equal(b.hasLoaded("new"), c.loaded)
				is.True(!b.engine.State().OrderBusy)
			})
		})
	}
}

// setFence5 issues an order with fencing number 5.
func setFence5(b *fixture, _ *weights.Server) {
	if err := b.client.Order(bg, engine.Order{ID: "first", Kind: engine.OrderSetRole, Role: "decode", Fence: 5}); err != nil {
		panic(err)
	}
}

func TestOrderContinuesAfterCallerTimeout(t *testing.T) {
	withStore(t, nil, func(is *is.I, b *fixture, store *weights.Server) {
		ctx, stop := context.WithTimeout(bg, time.Second)
		defer stop()
		is.True(errors.Is(b.client.Order(ctx, loadOrder("o", 1)), engine.ErrLost))
		is.True(b.engine.State().OrderBusy)
		time.Sleep(time.Minute)
		is.True(b.hasLoaded("new"))
		is.NoErr(b.client.Order(bg, loadOrder("o", 1))) // answered without a second load
		is.Equal(store.Reads().ByName, map[string]int{"new-v2": 1})
	})
}

func TestLoadLags(t *testing.T) {
	withEngine(t, nil, func(is *is.I, b *fixture) {
		idle, err := b.client.Load(bg)
		is.NoErr(err)
		b.start(engine.Request{ID: "1", Path: textPath, Body: textBody(prompt("x", 100_000), 5)})
		b.start(engine.Request{ID: "2", Path: textPath, Body: textBody(prompt("y", 5000), 5)})
		time.Sleep(400 * time.Millisecond)
		stale, err := b.client.Load(bg)
		is.NoErr(err)
		is.Equal(stale, idle)
		time.Sleep(100 * time.Millisecond)
		fresh, err := b.client.Load(bg)
		is.NoErr(err)
		is.Equal(fresh, engine.Load{Running: 1, Waiting: 1, MemoryTokens: 450_000, FreeTokens: 450_000 - 105_010, At: fresh.At})
		falseLoad := engine.Load{Running: 0, MemoryTokens: 9, FreeTokens: 9}
		b.engine.SetFaults(standin.Faults{FalseLoad: &falseLoad})
		reported, err := b.client.Load(bg)
		is.NoErr(err)
		is.Equal(reported.FreeTokens, uint64(9))
		is.Equal(b.engine.State().Load.FreeTokens, uint64(450_000-105_010)) // State is exact
	})
}

func TestPrefixCacheAndItsEvents(t *testing.T) {
	withEngine(t, func(c *standin.Config) { c.MemoryTokens = 20_000; c.EventGap = 3 }, func(is *is.I, b *fixture) {
		uncached := b.complete(engine.Request{ID: "1", Path: chatPath, Body: chatBody(prompt("x", 8192), 4)})
		events, err := b.client.CacheEvents(bg, 0)
		is.NoErr(err)
		is.True(len(events) < 6) // events are delivered late
		time.Sleep(time.Second)
		events, err = b.client.CacheEvents(bg, 0)
		is.NoErr(err)
		is.Equal(len(events), 6) // eight blocks with two lost events
		is.Equal(events[2].Sequence-events[1].Sequence, uint64(2))
		cached := b.complete(engine.Request{ID: "2", Path: chatPath, Body: chatBody(prompt("x", 8192), 4)})
		is.NoErr(cached.err)
		is.Equal(cached.text, uncached.text)
		is.Equal(cached.usage.CachedTokens, uint64(8192))
		is.True(cached.first < uncached.first/5)
		is.NoErr(b.complete(engine.Request{ID: "3", Path: chatPath, Body: chatBody(prompt("z", 19_000), 4)}).err) // evicts
		b.engine.SetFaults(standin.Faults{DropCacheEvents: true})
		time.Sleep(time.Second)
		rest, err := b.client.CacheEvents(bg, events[5].Sequence)
		is.NoErr(err)
		evicted := 0
		for _, e := range rest {
			if e.Evicted {
				evicted++
			}
		}
		is.True(evicted >= 4)
		last := rest[len(rest)-1].Sequence
		is.NoErr(b.complete(engine.Request{ID: "4", Path: chatPath, Body: chatBody(prompt("w", 9000), 4)}).err)
		time.Sleep(time.Second)
		rest, err = b.client.CacheEvents(bg, last)
		is.NoErr(err)
		is.Equal(len(rest), 0) // events dropped
		b.engine.SetFaults(standin.Faults{})
		b.engine.Crash()
		is.NoErr(b.complete(engine.Request{ID: "5", Path: chatPath, Body: chatBody(prompt("x", 2048), 4)}).err)
		time.Sleep(time.Second)
		rest, err = b.client.CacheEvents(bg, last)
		is.NoErr(err)
		is.Equal(len(rest), 2) // sequence numbers do not restart with a new incarnation
		synctest.Wait()
	})
}
