package orders

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

const dc = "cdf-a"

var (
	start  = time.Unix(1000, 0)
	load   = engine.Order{Kind: engine.OrderLoadModel, Model: "m", Version: "2"}
	unload = engine.Order{Kind: engine.OrderUnloadModel, Model: "m", Version: "1"}
)

func newSnapshot(generation uint64) Snapshot {
	return Snapshot{
		Incarnation: "i", State: rudderv1.AgentState_AGENT_STATE_SERVING, Endpoint: "e",
		Models: []engine.Model{{Name: "m", Version: "1", Adapters: []string{"s@1"}}},
		Document: &rudderv1.Document{
			Generation: generation,
			Models:     []*rudderv1.Model{{Name: "m", Version: "2", Weights: "m-2", Replicas: map[string]uint32{dc: 1}}},
			Endpoints:  []*rudderv1.Endpoint{{Name: "e", DataCentre: dc, MaxModels: 2}},
		},
	}
}

// idleTracker returns a tracker without an order in progress.
func idleTracker() *Tracker {
	b := NewTracker()
	b.Close(false)
	return b
}

func (b *Tracker) permit(o engine.Order, generation uint64) Permit {
	return Permit{Incarnation: "i", Generation: generation, Holds: b.holds, ExpiresMS: 1000, Order: o}
}

func TestCheckWaitingDropsStaleOrders(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Snapshot)
		after  time.Duration
		runs   int
		want   Action
	}{
		{"nothing changed", func(*Snapshot) {}, time.Second, 0, QueryState},
		{"runs in progress", func(*Snapshot) {}, time.Second, 1, Wait},
		{"paused", func(*Snapshot) {}, MaxPause + 1, 0, Drop},
		{"paused with runs", func(*Snapshot) {}, MaxPause + 1, 1, Drop},
		{"new generation", func(s *Snapshot) { s.Document.Generation++ }, 0, 1, Drop},
		{"leaving", func(s *Snapshot) { s.State = rudderv1.AgentState_AGENT_STATE_LEAVING }, 0, 1, Drop},
		{"endpoint lost", func(s *Snapshot) { s.State = rudderv1.AgentState_AGENT_STATE_ENDPOINT_LOST }, 0, 1, Drop},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b, s := idleTracker(), newSnapshot(5)
			is.True(b.Accept(b.permit(unload, 5), s, start) == nil)
			c.change(&s)
			is.Equal(b.CheckWaiting(s, c.runs, start.Add(c.after)), c.want)
		})
	}
}

func TestPrepareSendChecksAgain(t *testing.T) {
	idle := engine.State{Models: newSnapshot(5).Models, Fence: 9 << 20}
	cases := []struct {
		name        string
		st          engine.State
		queryOffset time.Duration
		runs        int
		ok          bool
	}{
		{"as accepted", idle, 0, 0, true},
		{"state too old", idle, -MaxStateAge - 1, 0, false},
		{"busy", engine.State{Models: idle.Models, OrderBusy: true}, 0, 0, false},
		{"model already unloaded", engine.State{}, 0, 0, false},
		{"new run", idle, 0, 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b, s := idleTracker(), newSnapshot(5)
			is.True(b.Accept(b.permit(unload, 5), s, start) == nil)
			o, ok := b.PrepareSend("id", "e", c.st, s, c.runs, start.Add(c.queryOffset), start)
			is.Equal(ok, c.ok)
			if ok {
				is.Equal(o.Fence, uint64(9<<20+1))
			}
		})
	}
}

func TestResolve(t *testing.T) {
	is := is.New(t)
	b, s := idleTracker(), newSnapshot(1)
	is.True(b.Accept(b.permit(load, 1), s, start) == nil)
	o, ok := b.PrepareSend("id", "e", engine.State{Models: s.Models}, s, 0, start, start)
	is.True(ok)
	is.Equal(o.Weights, "m-2")
	b.ResponseLost("")
	is.Equal(b.Resolve(engine.State{}, start), Unresolved)
	is.Equal(b.Resolve(engine.State{OrderBusy: true}, start.Add(time.Second)), Unresolved) // it was still unread in the socket
	is.Equal(b.Resolve(engine.State{}, start.Add(2*time.Second)), Unresolved)
	is.Equal(b.Resolve(engine.State{OrderID: "id"}, start.Add(3*time.Second)), Executed)
	is.Equal(b.Resolve(engine.State{}, start.Add(4*time.Second)), NotExecuted)
}

func TestFailuresBackOff(t *testing.T) {
	is := is.New(t)
	b, s, now := idleTracker(), newSnapshot(1), start
	for n, least := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second} {
		is.True(b.Accept(b.permit(load, 1), s, now) == nil)
		b.Fail("no weights", 0, now)
		is.Equal(b.Status(0, now).Failures, uint32(n+1))
		err := b.Accept(b.permit(load, 1), s, now.Add(least-time.Millisecond))
		var coded *result.Err
		is.True(errors.As(err, &coded))
		is.Equal(coded.Code, result.BreakerOpen)
		now = now.Add(least)
	}
	is.True(b.Accept(b.permit(load, 1), s, now) == nil)
	b.Close(true)
	is.True(b.Status(0, now) == nil)
}

// TestOldOrderNeverAfterNewOne checks that, for permits of different generations
// in any order, pauses and late documents, the orders sent have increasing
// fencing numbers and never belong to a generation below the agent's.
func TestOldOrderNeverAfterNewOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := idleTracker(), start
		current, last := uint64(1), uint64(0)
		var permits []Permit
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				permits = append(permits, b.permit(unload, rapid.Uint64Range(1, current).Draw(t, "generation")))
			case 1:
				if len(permits) > 0 {
					_ = b.Accept(rapid.SampledFrom(permits).Draw(t, "permit"), newSnapshot(current), now)
				}
			case 2:
				current++
			case 3:
				now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "pause")) * time.Millisecond)
			case 4:
				o, ok := b.PrepareSend("id", "e", engine.State{Models: newSnapshot(current).Models}, newSnapshot(current), 0, now, now)
				if !ok {
					b.Close(false)
					continue
				}
				if o.Fence <= last || o.Fence>>20 < current {
					t.Fatalf("fence %d after %d under generation %d", o.Fence, last, current)
				}
				last = o.Fence
				b.Close(true)
			}
		}
	})
}
