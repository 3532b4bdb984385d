package gateway

import (
	"fmt"
	"time"

	"github.com/micarudder/micarudder/membership"
)

// gaugeMembers adds the gauges of endpoints by their state, and of this
// gateway being cut off.
func (g *Gateway) gaugeMembers() {
	for _, s := range membership.States {
		g.meter.set.NewGauge(fmt.Sprintf("rudder_gateway_endpoints{state=%q}", s), func() float64 { return g.inState(s) })
	}
	g.meter.set.NewGauge("rudder_gateway_cut_off", func() float64 {
		if g.members.cutOff() {
			return 1
		}
		return 0
	})
}

// inState counts the endpoints in a state.
func (g *Gateway) inState(s membership.State) float64 {
	names, _ := g.links.named()
	n := 0
	for _, v := range g.members.verdicts(names, time.Now()) {
		if v.State == s {
			n++
		}
	}
	return float64(n)
}
