package gateway

import (
	"fmt"
	"time"

	"github.com/micarudder/micarudder/membership"
)

// registerMemberGauges registers the gauges for the number of endpoints in each
// state and for whether this gateway is cut off.
func (g *Gateway) registerMemberGauges() {
	for _, s := range membership.States {
		g.meter.set.NewGauge(fmt.Sprintf("rudder_gateway_endpoints{state=%q}", s), func() float64 { return g.countInState(s) })
	}
	g.meter.set.NewGauge("rudder_gateway_cut_off", func() float64 {
		if g.members.cutOff() {
			return 1
		}
		return 0
	})
}

// countInState returns the number of endpoints in a state.
func (g *Gateway) countInState(s membership.State) float64 {
	names, _ := g.links.namesAndLinks()
	n := 0
	for _, v := range g.members.verdicts(names, time.Now()) {
		if v.State == s {
			n++
		}
	}
	return float64(n)
}
