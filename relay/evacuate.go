package relay

import (
	"net/http"
	"slices"
	"time"

	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/peers"
	"github.com/micarudder/micarudder/waitpolicy"
)

// retryAfterEvacuated is the Retry-After while all endpoints of a service are in evacuated data centres,
// which takes seconds at least.
const retryAfterEvacuated = 3 * time.Second

// ApplyEvacuations applies the evacuations of a read, unless a newer read is known. It reports whether
// other data centres are evacuated than before. A store that was just restored from an older copy may
// lack the latest evacuations, so that none of those known before is dropped then.
func (s *State) ApplyEvacuations(e catalog.Evacuations, now time.Time) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.evacuations
	if !e.NewerThan(before) {
		return false
	}
	if e.Era != before.Era && before.Era != 0 || s.endpoints.MayMissWrites(now) {
		e = e.Including(before)
	}
	s.evacuations = e
	if slices.Equal(e.DataCentres, before.DataCentres) {
		return false
	}
	s.evacuationSeen = true
	s.endpoints.SetEvacuated(e.DataCentres)
	return true
}

// Evacuations returns the evacuations according to the newest known read.
func (s *State) Evacuations() catalog.Evacuations {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuations
}

// AnnouncedEvacuations returns the evacuations that are sent to peers; nil if no data centre was evacuated
// since the process started.
func (s *State) AnnouncedEvacuations() *catalog.Evacuations {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.evacuationSeen {
		return nil
	}
	e := s.evacuations
	return &e
}

// applyEvacuations applies evacuations that this gateway read or that a peer sent, and notifies the other
// gateways at once if they have changed.
func (g *Gateway) applyEvacuations(e catalog.Evacuations, source string) {
	before := g.state.Evacuations()
	if !g.state.ApplyEvacuations(e, time.Now()) {
		return
	}
	now := g.state.Evacuations()
	g.meter.evacuated.Set(float64(len(now.DataCentres)))
	g.deps.Log.Logger().Info("Evacuated data centres changed.", "data_centres", now.DataCentres, "before", before.DataCentres,
		"revision", now.Revision, "era", now.Era, "from", source, "proof_age_ms", g.proofAge().Milliseconds())
	g.picker.notifyWaiters()
	g.broadcastSoon()
}

// handlePeerEvacuations applies the evacuations that a peer sent.
func (g *Gateway) handlePeerEvacuations(msg peers.Message) {
	if msg.Evacuations != nil {
		g.applyEvacuations(*msg.Evacuations, msg.From)
	}
}

// unavailability is why no endpoint of a service accepts requests.
type unavailability uint8

const (
	unavailableNone      unavailability = iota // some endpoint does, or none is known
	unavailableDraining                        // all endpoints are draining
	unavailableEvacuated                       // all endpoints that do not drain are in evacuated data centres
)

// Unavailability returns why no known endpoint of a service accepts requests.
func (s *State) Unavailability(service string) unavailability {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.endpoints.Usable(service)) > 0 {
		return unavailableNone
	}
	reason := unavailableNone
	for _, e := range s.endpoints.Known() {
		switch {
		case e.Service != service:
		case s.endpoints.Evacuated(e.DataCentre) && !e.Draining:
			return unavailableEvacuated
		default:
			reason = unavailableDraining
		}
	}
	return reason
}

// refuseUnavailable refuses a request because no endpoint of its service accepts requests; ok is false if
// that is not so.
func (p *placementSearch) refuseUnavailable(now time.Time) (pl *placement, o outcome, next nextTry, ok bool) {
	reason, retryAfter := "all endpoints leave", waitpolicy.RetryAfterDraining
	switch p.x.g.state.Unavailability(p.x.service.Name) {
	case unavailableNone:
		return nil, "", tryEnded, false
	case unavailableEvacuated:
		reason, retryAfter = "all data centres with endpoints are evacuated", retryAfterEvacuated
	}
	pl, o, next = p.refuse(reason, now, func() outcome {
		return p.x.refuse(http.StatusServiceUnavailable, p.x.waitPolicy().CapRetryAfter(retryAfter, now), refusedFull)
	})
	return pl, o, next, true
}
