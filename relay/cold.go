package relay

import (
	"time"

	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/limitstate"
)

// sendsPerSlot is how many requests a second one slot of an engine may get at most: a request holds its slot
// for longer than half a second, and gateways send none to an engine without a free slot.
const sendsPerSlot = 2

// needsColdLimit reports whether a cold endpoint of the service could get more requests than it accepts. An
// engine whose slots let in no more needs no grants, which would leave it idle while others are busy.
func needsColdLimit(s *catalog.Service, e catalog.Endpoint) bool {
	return s.ColdRate > 0 && (s.Engine == nil || s.ColdRate < float64(sendsPerSlot*e.Slots))
}

// applyCold applies which endpoints of a list, read at that time, are cold. All gateways know the list, so
// they need not send each other these limits.
func (g *Gateway) applyCold(list []catalog.Endpoint, sent time.Time) {
	table := g.state.Table()
	if table == nil {
		return
	}
	if sent.IsZero() { // the age of the list is unknown
		sent = time.Now()
	}
	cold := make(map[string]limitstate.ColdLimit)
	for _, e := range list {
		if e.ColdFor <= 0 {
			continue
		}
		if s := table.Service(e.Service); s != nil && needsColdLimit(s, e) {
			cold[e.ID] = limitstate.ColdLimit{PerSecond: s.ColdRate, Until: sent.Add(e.ColdFor)}
		}
	}
	count := len(cold)
	began, ended := g.endpointLimits.SetCold(cold) // which the limits own from now on
	if len(began) > 0 || len(ended) > 0 {
		g.deps.Log.Logger().Info("Limits of cold endpoints changed.", "cold", count, "began", began, "ended", ended, "list_age_ms", time.Since(sent).Milliseconds())
	}
}
