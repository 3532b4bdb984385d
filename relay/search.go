package relay

import (
	"slices"
	"time"

	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/catalog"
)

const (
	// mostRemote is how many endpoints of other cells are looked at for a long prompt:
	// as many as it can use.
	mostRemote = 16
	// cellsAsked is how many other cells are looked at for a short request.
	cellsAsked = 2
)

// warmth tells whether a connection to an endpoint is open that a request may use.
type warmth func(endpoint string) bool

// search is one choice of endpoints, in the own cell first. Its methods need the picker's
// lock.
type search struct {
	*picker
	service *catalog.Service
	work    balance.Work
	warm    warmth
	cells   map[string][]catalog.Endpoint // the service's endpoints by cell
	home    string                        // the own cell
	now     time.Time
}

// found is a choice and what it was made among.
type found struct {
	endpoints  []catalog.Endpoint
	candidates []balance.Candidate
	choice     balance.Choice
}

// pick chooses an endpoint of the service and counts the load: in the own cell if that
// will do, else with the help of others.
func (p *picker) pick(service *catalog.Service, w balance.Work, warm warmth, now time.Time) (chosen *place, expected balance.Expected, o pickOutcome) {
	s := search{
		picker: p, service: service, work: w, warm: warm, now: now,
		cells: p.unlimited(p.state.Takers(service.Name, now)), home: p.state.Cells().Of(p.dataCentre),
	}
	if len(s.cells) == 0 {
		return nil, expected, pickNone
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	at := s.among(s.cells[s.home], nil)
	if at.choice.Elsewhere() && len(s.cells) > 1 {
		at = s.elsewhere(at)
	}
	c := at.choice
	switch {
	case c.Wait:
		return nil, c.Expected, pickWait
	case c.Refuse:
		return nil, c.Expected, pickFull
	case c.Endpoint < 0:
		return nil, c.Expected, pickNone
	}
	if chosen = p.put(at, now); chosen == nil {
		return nil, c.Expected, pickNone
	}
	return chosen, c.Expected, picked
}

// among chooses among endpoints and remote, which are endpoints of other cells.
func (s *search) among(endpoints, remote []catalog.Endpoint) found {
	at := found{endpoints: slices.Concat(endpoints, remote)}
	at.candidates = make([]balance.Candidate, len(at.endpoints))
	cells := s.state.Cells()
	for i, e := range at.endpoints {
		at.candidates[i] = balance.Candidate{
			ID: e.ID, Load: s.book.Load(e.ID, s.now), Rank: rank(e.ID), OwnRank: rank(s.self + e.ID),
			Suspect: s.health.Suspect(e.ID, s.now), Pace: s.health.Pace(e.ID, s.now), Remote: i >= len(endpoints), Shared: cells.Shared(e.ID), Warm: s.warm(e.ID),
		}
	}
	at.choice = s.policy.Choose(s.service, s.work, at.candidates)
	return at
}

// elsewhere chooses again with the help of other cells, taken in an order of chance, so
// that cells that are short of room at the same moment do not all turn to the same one.
func (s *search) elsewhere(at found) found {
	switch {
	case len(s.cells[s.home]) == 0:
		return s.anyCell(at)
	case s.policy.TakesTurns(s.service, s.work):
		return s.withRemote()
	default:
		return s.otherCells(at)
	}
}

// anyCell chooses for a cell that has no endpoints of its own: in any other one.
func (s *search) anyCell(at found) found {
	for _, endpoints := range s.cells { // in no order
		if at = s.among(endpoints, nil); at.choice.Endpoint >= 0 {
			break
		}
	}
	return at
}

// withRemote chooses for a long prompt among the own cell's endpoints and some that other
// cells offer.
func (s *search) withRemote() found {
	digests := s.book.Digests(s.now)
	var remote []catalog.Endpoint
	for c, endpoints := range s.cells { // in no order
		if c == s.home {
			continue
		}
		remote = append(remote, offeredOf(endpoints, digests[c].Loads)...)
		if len(remote) >= mostRemote {
			break
		}
	}
	return s.among(s.cells[s.home], remote[:min(mostRemote, len(remote))])
}

// otherCells chooses for a short request in other cells, where they offer something that
// is in time; at is what the own cell has.
func (s *search) otherCells(at found) found {
	s.work.Remote = true
	digests := s.book.Digests(s.now)
	asked := 0
	for c, endpoints := range s.cells { // in no order
		offered := offeredOf(endpoints, digests[c].Loads)
		if c == s.home || len(offered) == 0 {
			continue
		}
		if other := s.among(offered, nil); other.choice.Endpoint >= 0 {
			other.candidates[other.choice.Endpoint].Remote = true
			return other
		}
		if asked++; asked == cellsAsked {
			break
		}
	}
	return at
}

// offeredOf returns the endpoints that a digest offers.
func offeredOf(endpoints []catalog.Endpoint, offered map[string]balance.Load) []catalog.Endpoint {
	var out []catalog.Endpoint
	for _, e := range endpoints {
		if _, ok := offered[e.ID]; ok {
			out = append(out, e)
		}
	}
	return out
}
