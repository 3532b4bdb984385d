package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/engine"
)

func TestGrantsCountUntilAReportTells(t *testing.T) {
	load := engine.Order{Kind: engine.OrderLoadModel, Model: "m", Version: "2"}
	cases := []struct {
		name        string
		incarnation string
		holds       uint64
		clock       int64
		kept        bool
	}{
		{"nothing new", "i", 3, 1000, true},
		{"taken", "i", 4, 900, false},
		{"restarted", "j", 3, 900, false},
		{"lapsed", "i", 3, 1001, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g := Grants{"e": {Order: load, Incarnation: "i", Holds: 3, ExpiresMS: 1000}}
			g.Settle("e", c.incarnation, c.holds, c.clock)
			v := View{"e": {Serving: true}}
			g.Apply(v)
			is.Equal(v["e"].Busy, c.kept)
			is.Equal(len(v["e"].Models) == 1, c.kept)
		})
	}
}

func TestUnderOrder(t *testing.T) {
	is := is.New(t)
	h := Held{Models: []engine.Model{{Name: "m", Version: "1"}}}
	is.Equal(len(h.Under(engine.Order{Kind: engine.OrderUnloadModel, Model: "m", Version: "1"}).Models), 0)
	is.True(h.Under(engine.Order{Kind: engine.OrderLoadAdapter}).Fetching)
	is.Equal(len(h.Models), 1) // the original stays
}

func TestPresenceDampsFlapping(t *testing.T) {
	is := is.New(t)
	p, now := NewPresence(), time.Unix(1000, 0)
	there := func(is bool, lasting time.Duration) bool {
		p.Observe("e", is, now)
		now = now.Add(lasting)
		return p.Observe("e", is, now)
	}
	is.True(there(true, time.Second))
	is.True(there(false, LostAfter-1))
	is.True(there(true, time.Second)) // a short absence changes nothing
	is.True(!there(false, LostAfter))
	is.True(!there(true, ReturnAfter-1))
	is.True(there(true, ReturnAfter))
	is.True(!there(false, LostAfter))
	is.True(!there(true, 2*ReturnAfter-1)) // twice as long after the second loss
	is.True(there(true, 2*ReturnAfter))
	is.True(there(true, ForgiveAfter))
	is.True(!there(false, LostAfter))
	is.True(there(true, ReturnAfter)) // forgiven
	for range 20 {
		there(false, LostAfter)
		there(true, ReturnMax)
	}
	is.True(!there(false, LostAfter))
	is.True(there(true, ReturnMax))
}
