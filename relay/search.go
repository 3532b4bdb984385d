package relay

import (
	"slices"
	"time"

	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/catalog"
)

const (
	// maxRemoteCandidates is how many endpoints of other cells are considered for a long prompt: as
	// many as it can use.
	maxRemoteCandidates = 16
	// maxRemoteCells is how many other cells are considered for a short request.
	maxRemoteCells = 2
)

// idleConnFunc reports whether an idle connection to an endpoint is open that a request may use.
type idleConnFunc func(endpoint string) bool

// endpointSearch is one choice of endpoints, which considers the local cell first. Its methods need
// the picker's lock.
type endpointSearch struct {
	*picker
	service     *catalog.Service
	request     balance.Request
	hasIdleConn idleConnFunc
	cells       map[string][]catalog.Endpoint // the service's endpoints by cell
	localCell   string                        // cell of this gateway
	now         time.Time
}

// searchResult is a choice and the candidates that it was made among.
type searchResult struct {
	endpoints  []catalog.Endpoint
	candidates []balance.Candidate
	choice     balance.Choice
}

// pick chooses an endpoint of the service and counts the load: in the local cell if that suffices,
// otherwise with the help of other cells.
func (p *picker) pick(service *catalog.Service, req balance.Request, hasIdleConn idleConnFunc, now time.Time) (pl *placement, expected balance.Estimate, found pickOutcome) {
	s := p.newSearch(service, req, hasIdleConn, now)
	if len(s.cells) == 0 {
		return nil, expected, pickNone
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.place(s, s.choose(s.cells[s.localCell], nil))
}

func (p *picker) newSearch(service *catalog.Service, req balance.Request, hasIdleConn idleConnFunc, now time.Time) *endpointSearch {
	return &endpointSearch{
		picker: p, service: service, request: req, hasIdleConn: hasIdleConn, now: now,
		cells: p.withoutLimited(p.state.AvailableEndpoints(service.Name, now)), localCell: p.state.Cells().Of(p.dataCentre),
	}
}

// place carries out the choice of the local cell, or a better one with the help of other cells. The
// caller holds the lock.
func (p *picker) place(s *endpointSearch, res searchResult) (pl *placement, expected balance.Estimate, found pickOutcome) {
	if res.choice.TryOtherCells() && len(s.cells) > 1 {
		res = s.chooseWithRemote(res)
	}
	return p.placeChoice(res, s.now)
}

// placeChoice carries out a choice. The caller holds the lock.
func (p *picker) placeChoice(res searchResult, now time.Time) (pl *placement, expected balance.Estimate, found pickOutcome) {
	c := res.choice
	switch {
	case c.Wait:
		return nil, c.Expected, pickWait
	case c.Refuse:
		return nil, c.Expected, pickFull
	case c.Endpoint < 0:
		return nil, c.Expected, pickNone
	}
	if pl = p.assign(res, now); pl == nil {
		return nil, c.Expected, pickNone
	}
	return pl, c.Expected, picked
}

// choose chooses among endpoints and remote, which are endpoints of other cells.
func (s *endpointSearch) choose(endpoints, remote []catalog.Endpoint) searchResult {
	return s.chooseAmong(s.gather(endpoints, remote))
}

// chooseAmong chooses among gathered candidates.
func (s *endpointSearch) chooseAmong(res searchResult) searchResult {
	res.choice = s.policy.Choose(s.service, s.request, res.candidates)
	return res
}

// gather returns the candidates of a choice among endpoints and remote, as currently known.
func (s *endpointSearch) gather(endpoints, remote []catalog.Endpoint) searchResult {
	res := searchResult{endpoints: slices.Concat(endpoints, remote)}
	res.candidates = make([]balance.Candidate, len(res.endpoints))
	cells := s.state.Cells()
	for i, e := range res.endpoints {
		load := s.loads.Load(e.ID, s.now)
		load.Short += s.settling[e.ID]
		res.candidates[i] = balance.Candidate{
			ID: e.ID, Load: load, Rank: rank(e.ID), LocalRank: rank(s.self + e.ID),
			Suspect: s.health.Suspect(e.ID, s.now), Slowdown: s.health.Slowdown(e.ID, s.now), Remote: i >= len(endpoints), Shared: cells.Shared(e.ID), Connected: s.hasIdleConn(e.ID), Slots: e.Slots,
		}
	}
	return res
}

// chooseWithRemote chooses again with the help of other cells. They are tried in random order, so
// that cells that run short at the same moment do not all turn to the same one.
func (s *endpointSearch) chooseWithRemote(local searchResult) searchResult {
	switch {
	case len(s.cells[s.localCell]) == 0:
		return s.chooseInAnyCell(local)
	case s.policy.MustQueue(s.service, s.request):
		return s.chooseWithRemoteHelpers()
	default:
		return s.chooseInRemoteCell(local)
	}
}

// chooseInAnyCell chooses an endpoint of any other cell, for a cell that has none of its own.
func (s *endpointSearch) chooseInAnyCell(res searchResult) searchResult {
	for _, endpoints := range s.cells { // random order
		if res = s.choose(endpoints, nil); res.choice.Endpoint >= 0 {
			break
		}
	}
	return res
}

// chooseWithRemoteHelpers chooses for a long prompt among the local cell's endpoints and some that
// other cells offer.
func (s *endpointSearch) chooseWithRemoteHelpers() searchResult {
	digests := s.loads.Digests(s.now)
	var remote []catalog.Endpoint
	for c, endpoints := range s.cells { // random order
		if c == s.localCell {
			continue
		}
		remote = append(remote, offeredEndpoints(endpoints, digests[c].Loads)...)
		if len(remote) >= maxRemoteCandidates {
			break
		}
	}
	return s.choose(s.cells[s.localCell], remote[:min(maxRemoteCandidates, len(remote))])
}

// chooseInRemoteCell chooses for a short request in other cells, provided that an endpoint offered
// there can serve it in time. Otherwise it returns local, the choice in the local cell.
func (s *endpointSearch) chooseInRemoteCell(local searchResult) searchResult {
	s.request.Remote = true
	digests := s.loads.Digests(s.now)
	tried := 0
	for c, endpoints := range s.cells { // random order
		offered := offeredEndpoints(endpoints, digests[c].Loads)
		if c == s.localCell || len(offered) == 0 {
			continue
		}
		if remote := s.choose(offered, nil); remote.choice.Endpoint >= 0 {
			remote.candidates[remote.choice.Endpoint].Remote = true
			return remote
		}
		if tried++; tried == maxRemoteCells {
			break
		}
	}
	return local
}

// offeredEndpoints returns the endpoints that a digest offers.
func offeredEndpoints(endpoints []catalog.Endpoint, offered map[string]balance.Load) []catalog.Endpoint {
	var out []catalog.Endpoint
	for _, e := range endpoints {
		if _, ok := offered[e.ID]; ok {
			out = append(out, e)
		}
	}
	return out
}
