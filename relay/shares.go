package relay

import (
	"time"

	"github.com/micarudder/micarudder/catalog"
)

// workspaceName returns the name of the workspace that the request is charged to. Callers without a key
// share an empty one.
func (x *exchange) workspaceName() string {
	if x.workspace == nil {
		return ""
	}
	return x.workspace.Name
}

// chargeUse charges the engine time that a placed request is expected to use to its workspace: its
// prefill, and the slot for as long as requests hold one on average. Waiting for the end would let a
// surge pass for the duration of a stream.
func (p *picker) chargeUse(pl *placement, s *catalog.Service, workspace string, now time.Time) {
	if p.shares == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.slots.Competes(s.Name, now) {
		return
	}
	slots := max(1, pl.endpoint.Slots)
	if s.Engine != nil {
		slots = s.Engine.Slots
	}
	pl.charge = useCharge{charged: true, workspace: workspace, held: p.slots.MeanHold(s.Name), slots: slots}
	prefill := 0.0
	for _, l := range pl.loads {
		prefill += l.load.PrefillMs
	}
	p.shares.Charge(workspace, time.Duration(prefill*float64(time.Millisecond))+pl.charge.held/time.Duration(slots), now)
}

// useCharge is what a workspace was charged for a placement.
type useCharge struct {
	charged   bool
	workspace string
	held      time.Duration // expected time that the slot is held
	slots     int           // of the endpoint
}

// chargeRest charges the time that a slot was held longer than expected. The caller holds the lock.
func (p *picker) chargeRest(pl *placement, now time.Time) {
	if c := pl.charge; c.charged {
		p.shares.Charge(c.workspace, (now.Sub(pl.chosenAt)-c.held)/time.Duration(c.slots), now)
	}
}

// shareLevel returns how far the use of a workspace exceeds its due share; see fairshare.Ledger.
func (p *picker) shareLevel(workspace string, now time.Time) int {
	if p.shares == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.shares.Level(workspace, now)
}
