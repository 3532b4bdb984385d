package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/engine"
)

func TestGrantsApplyUntilReported(t *testing.T) {
	load := engine.Order{Kind: engine.OrderLoadModel, Model: "m", Version: "2"}
	cases := []struct {
		name        string
		incarnation string
		holds       uint64
		clock       int64
		kept        bool
	}{
		{"same report", "i", 3, 1000, true},
		{"accepted", "i", 4, 900, false},
		{"restarted", "j", 3, 900, false},
		{"expired", "i", 3, 1001, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g := Grants{"e": {Order: load, Incarnation: "i", Holds: 3, ExpiresMS: 1000}}
			g.DropReported("e", c.incarnation, c.holds, c.clock)
			v := View{"e": {Serving: true}}
			g.Apply(v)
			is.Equal(v["e"].Busy, c.kept)
			is.Equal(len(v["e"].Models) == 1, c.kept)
		})
	}
}

func TestDuringOrder(t *testing.T) {
	is := is.New(t)
	h := EndpointState{Models: []engine.Model{{Name: "m", Version: "1"}}}
	is.Equal(len(h.DuringOrder(engine.Order{Kind: engine.OrderUnloadModel, Model: "m", Version: "1"}).Models), 0)
	is.True(h.DuringOrder(engine.Order{Kind: engine.OrderLoadAdapter}).Fetching)
	is.Equal(len(h.Models), 1) // the original is unchanged
}

func TestFlapDamperDampsFlapping(t *testing.T) {
	is := is.New(t)
	p, now := NewFlapDamper(), time.Unix(1000, 0)
	observe := func(present bool, lasting time.Duration) bool {
		p.Observe("e", present, now)
		now = now.Add(lasting)
		return p.Observe("e", present, now)
	}
	is.True(observe(true, time.Second))
	is.True(observe(false, LostAfter-1))
	is.True(observe(true, time.Second)) // a short absence is ignored
	is.True(!observe(false, LostAfter))
	is.True(!observe(true, ReturnAfter-1))
	is.True(observe(true, ReturnAfter))
	is.True(!observe(false, LostAfter))
	is.True(!observe(true, 2*ReturnAfter-1)) // the delay doubles after the second loss
	is.True(observe(true, 2*ReturnAfter))
	is.True(observe(true, LossResetAfter))
	is.True(!observe(false, LostAfter))
	is.True(observe(true, ReturnAfter)) // the loss count was reset
	for range 20 {
		observe(false, LostAfter)
		observe(true, MaxReturnAfter)
	}
	is.True(!observe(false, LostAfter))
	is.True(observe(true, MaxReturnAfter))
}
