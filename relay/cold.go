package relay

import (
	"maps"
	"time"

	"github.com/micarudder/micarudder/catalog"
)

// coldLimit is the rate limit of a cold endpoint. It applies until a list shows the endpoint as warm, or
// until that time if there is no newer list.
type coldLimit struct {
	perSecond float64
	until     time.Time
}

// sendsPerSlot is how many requests a second one slot of an engine may get at most: a request holds its slot
// for longer than half a second, and gateways send none to an engine without a free slot.
const sendsPerSlot = 2

// needsColdLimit reports whether a cold endpoint of the service could get more requests than it accepts. An
// engine whose slots let in no more needs no grants, which would leave it idle while others are busy.
func needsColdLimit(s *catalog.Service, e catalog.Endpoint) bool {
	return s.ColdRate > 0 && (s.Engine == nil || s.ColdRate < float64(sendsPerSlot*e.Slots))
}

// setCold replaces the limits of cold endpoints. It returns the ids of those that became cold and of those
// that no longer are.
func (l *endpointLimits) setCold(cold map[string]coldLimit) (began, ended []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range cold {
		if _, known := l.cold[id]; !known {
			began = append(began, id)
		}
	}
	for id := range l.cold {
		if _, still := cold[id]; !still {
			ended = append(ended, id)
		}
	}
	changed := !maps.EqualFunc(cold, l.cold, func(a, b coldLimit) bool { return a.perSecond == b.perSecond })
	l.cold = cold
	if changed {
		l.publish()
	}
	return began, ended
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
	cold := make(map[string]coldLimit)
	for _, e := range list {
		if e.ColdFor <= 0 {
			continue
		}
		if s := table.Service(e.Service); s != nil && needsColdLimit(s, e) {
			cold[e.ID] = coldLimit{s.ColdRate, sent.Add(e.ColdFor)}
		}
	}
	began, ended := g.endpointLimits.setCold(cold)
	if len(began) > 0 || len(ended) > 0 {
		g.deps.Log.Logger().Info("Limits of cold endpoints changed.", "cold", len(cold), "began", began, "ended", ended, "list_age_ms", time.Since(sent).Milliseconds())
	}
}
