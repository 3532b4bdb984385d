package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/limits"
	"github.com/micarudder/micarudder/peers"
)

// picker holds what the choice of an endpoint is made on. Its methods may be
// called concurrently.
type picker struct {
	self       string // name of this gateway
	dataCentre string // that it stands in
	state      *State
	policy     balance.Policy
	window     limits.WindowConfig
	urgent     chan struct{} // asks for a word to the peers soon

	mu      sync.Mutex
	book    *balance.Book
	turns   *balance.Turns
	health  *balance.Health
	budgets map[string]*limits.Window // by service
	changed chan struct{}             // closed when load was taken off
	// fleet is how many gateways there are, as far as this one knows.
	fleet  int
	others map[string]otherCell // by name
}

// otherCell is what the newest digest of another cell says beside its load.
type otherCell struct {
	dataCentre string // where it was made
	gateways   int    // that the cell has
	short      bool   // whether the cell has no endpoints to spare
}

// warmth tells whether a connection to an endpoint is open that a request may use.
type warmth func(endpoint string) bool

func newPicker(self, dataCentre string, state *State, policy balance.Policy, window limits.WindowConfig) *picker {
	return &picker{
		self: self, dataCentre: dataCentre, state: state, policy: policy, window: window, urgent: make(chan struct{}, 1),
		book: balance.NewBook(), turns: balance.NewTurns(), health: balance.NewHealth(),
		budgets: make(map[string]*limits.Window), changed: make(chan struct{}),
		others: make(map[string]otherCell),
	}
}

// place is where a request was put; its load counts until it is released.
type place struct {
	picker   *picker
	endpoint catalog.Endpoint
	helpers  []catalog.Endpoint
	reserve  []wantedMemory
	before   balance.Load // at the endpoint, before this request
	// candidates is how many endpoints there were to choose among.
	candidates int
	remote     int // endpoints of other cells that work on the request
	expected   balance.Expected
	loads      []*placedLoad
}

// wantedMemory is memory that has to be set aside before a send.
type wantedMemory struct {
	endpoint catalog.Endpoint
	tokens   int
}

type placedLoad struct {
	endpoint string
	load     balance.Load
	read     bool
	timer    *time.Timer // ends the reading of a part; may be nil
}

// pickOutcome is what came of a choice.
type pickOutcome uint8

const (
	picked   pickOutcome = iota
	pickNone             // there is no endpoint
	pickWait             // it is better to ask again soon
	pickFull             // the caller had better come back later
)

// pick chooses an endpoint of the service and counts the load: in the own cell if that
// will do, else in another one.
func (p *picker) pick(service *catalog.Service, w balance.Work, warm warmth, now time.Time) (chosen *place, expected balance.Expected, o pickOutcome) {
	cells := p.state.EndpointsByCell(service.Name)
	if len(cells) == 0 {
		return nil, expected, pickNone
	}
	home := p.state.Cells().Of(p.dataCentre)
	p.mu.Lock()
	defer p.mu.Unlock()
	at := p.look(service, w, cells[home], nil, warm, now)
	if at.choice.Elsewhere() && len(cells) > 1 {
		at = p.elsewhere(at, service, w, cells, home, warm, now)
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
	return p.put(at), c.Expected, picked
}

// look is a choice and what it was made among.
type look struct {
	endpoints  []catalog.Endpoint
	candidates []balance.Candidate
	choice     balance.Choice
}

// look chooses among endpoints and remote, which are endpoints of other cells. The caller
// holds the lock.
func (p *picker) look(service *catalog.Service, w balance.Work, endpoints, remote []catalog.Endpoint, warm warmth, now time.Time) look {
	at := look{endpoints: slices.Concat(endpoints, remote)}
	at.candidates = make([]balance.Candidate, len(at.endpoints))
	cells := p.state.Cells()
	for i, e := range at.endpoints {
		at.candidates[i] = balance.Candidate{
			ID: e.ID, Load: p.book.Load(e.ID, now), Rank: rank(e.ID), OwnRank: rank(p.self + e.ID), Suspect: p.health.Suspect(e.ID, now),
			Remote: i >= len(endpoints), Warm: warm(e.ID),
		}
		at.candidates[i].Shared = cells.Shared(e.ID)
	}
	at.choice = p.policy.Choose(service, w, at.candidates)
	return at
}

const (
	// mostRemote is how many endpoints of other cells are looked at for a long prompt:
	// as many as it can use.
	mostRemote = 16
	// cellsAsked is how many other cells are looked at for a short request.
	cellsAsked = 2
)

// elsewhere chooses again with the help of other cells, taken in an order of chance, so
// that cells that are short of room at the same moment do not all turn to the same one. The
// caller holds the lock.
func (p *picker) elsewhere(at look, service *catalog.Service, w balance.Work, cells map[string][]catalog.Endpoint, home string, warm warmth, now time.Time) look {
	if len(cells[home]) == 0 {
		return p.anyCell(at, service, w, cells, warm, now)
	}
	if p.policy.TakesTurns(service, w) {
		return p.withRemote(service, w, cells, home, warm, now)
	}
	digests := p.book.Digests(now)
	asked := 0
	for c, endpoints := range cells { // in no order
		offered := offeredOf(endpoints, digests[c].Loads)
		if c == home || len(offered) == 0 {
			continue
		}
		w.Remote = true
		if other := p.look(service, w, offered, nil, warm, now); other.choice.Endpoint >= 0 {
			other.candidates[other.choice.Endpoint].Remote = true
			return other
		}
		if asked++; asked == cellsAsked {
			break
		}
	}
	return at
}

// anyCell chooses for a cell that has no endpoints of its own: in any other one.
func (p *picker) anyCell(at look, service *catalog.Service, w balance.Work, cells map[string][]catalog.Endpoint, warm warmth, now time.Time) look {
	for _, endpoints := range cells { // in no order
		if at = p.look(service, w, endpoints, nil, warm, now); at.choice.Endpoint >= 0 {
			break
		}
	}
	return at
}

// withRemote chooses for a long prompt among the own cell's endpoints and some that other
// cells offer.
func (p *picker) withRemote(service *catalog.Service, w balance.Work, cells map[string][]catalog.Endpoint, home string, warm warmth, now time.Time) look {
	digests := p.book.Digests(now)
	var remote []catalog.Endpoint
	for c, endpoints := range cells { // in no order
		if c == home {
			continue
		}
		remote = append(remote, offeredOf(endpoints, digests[c].Loads)...)
		if len(remote) >= mostRemote {
			break
		}
	}
	return p.look(service, w, cells[home], remote[:min(mostRemote, len(remote))], warm, now)
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

// put counts the load of a choice. The caller holds the lock.
func (p *picker) put(at look) *place {
	c := at.choice
	chosen := &place{
		picker: p, endpoint: at.endpoints[c.Endpoint], before: at.candidates[c.Endpoint].Load,
		candidates: len(at.candidates), expected: c.Expected,
	}
	for _, i := range c.Helpers {
		chosen.helpers = append(chosen.helpers, at.endpoints[i])
	}
	for _, r := range c.Reserve {
		chosen.reserve = append(chosen.reserve, wantedMemory{at.endpoints[r.Candidate], r.Tokens})
	}
	for _, l := range c.Loads {
		if at.candidates[l.Candidate].Remote {
			chosen.remote++
		}
		id := at.endpoints[l.Candidate].ID
		p.book.Add(id, l.Load)
		chosen.add(id, l)
	}
	p.callPeers()
	return chosen
}

// callPeers makes the next word to the peers go out soon.
func (p *picker) callPeers() {
	select {
	case p.urgent <- struct{}{}:
	default:
	}
}

// join puts a prompt among those that wait for their turn to choose; leave takes
// it out.
func (p *picker) join(service string, rank balance.Rank, due, now time.Time) *balance.Turn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.turns.Forget(now)
	p.callPeers()
	return p.turns.Join(service, rank, due, now)
}

func (p *picker) leave(t *balance.Turn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.turns.Leave(t)
	p.callPeers()
	p.wake()
}

// first reports whether it is a prompt's turn to choose.
func (p *picker) first(t *balance.Turn, rank balance.Rank, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.turns.First(t, rank, now)
}

// await waits until load was taken off, or for a moment.
func (p *picker) await(ctx context.Context, most time.Duration) {
	p.mu.Lock()
	changed := p.changed
	p.mu.Unlock()
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// read takes off the reading of the prompt, which is over once the first event
// has come.
func (pl *place) read() {
	p := pl.picker
	p.mu.Lock()
	defer p.mu.Unlock()
	if pl.takeOffReading() {
		p.wake()
	}
}

// add notes load that was counted at an endpoint. The caller holds the lock.
func (pl *place) add(endpoint string, l balance.Placed) {
	one := &placedLoad{endpoint: endpoint, load: l.Load}
	pl.loads = append(pl.loads, one)
	if l.ReadFor > 0 {
		one.timer = time.AfterFunc(l.ReadFor, func() { pl.partRead(one) })
	}
}

// partRead takes off the reading of a part whose time is over.
func (pl *place) partRead(one *placedLoad) {
	p := pl.picker
	p.mu.Lock()
	defer p.mu.Unlock()
	if one.end(p.book) {
		p.wake()
		p.callPeers()
	}
}

// end takes off the reading; it reports whether that was still counted.
func (l *placedLoad) end(book *balance.Book) bool {
	if l.timer != nil {
		l.timer.Stop()
	}
	if l.read {
		return false
	}
	l.read = true
	book.Read(l.endpoint, l.load)
	return true
}

// takeOffReading takes off all reading; it reports whether any was still counted.
func (pl *place) takeOffReading() bool {
	counted := false
	for _, l := range pl.loads {
		counted = l.end(pl.picker.book) || counted
	}
	return counted
}

// release takes off all load of the request.
func (pl *place) release() {
	p := pl.picker
	p.mu.Lock()
	defer p.mu.Unlock()
	pl.takeOffReading()
	for _, l := range pl.loads {
		p.book.Remove(l.endpoint, l.load)
	}
	pl.loads = nil
	p.wake()
}

func (p *picker) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// note takes in how an exchange ended; it reports whether the endpoint has just
// become suspect.
func (p *picker) note(endpoint string, o balance.Outcome, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.health.Note(endpoint, o, now)
}

func (p *picker) forget(endpoint string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.health.Forget(endpoint)
}

// request counts a first send to a service, retry asks for a second one.
func (p *picker) request(service string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget(service).Request(now)
}

func (p *picker) retry(service string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget(service).Retry(now, max(p.fleet, p.book.Peers(now)+1))
}

func (p *picker) budget(service string) *limits.Window {
	b := p.budgets[service]
	if b == nil {
		b = limits.NewWindow(p.window)
		p.budgets[service] = b
	}
	return b
}

// peer takes in what a peer says of its load and its waiting prompts.
func (p *picker) peer(w peers.Word, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.Partial {
		p.book.PeerChanged(w.From, w.DataCentre, w.Loads, now)
	} else {
		p.book.Peer(w.From, w.DataCentre, w.Loads, now)
	}
	p.turns.Peer(w.From, w.Waiting, now)
	if p.turns.Waiting() > 0 {
		p.wake()
	}
}

// ownLoad is the load and the waiting prompts to tell the peers.
type ownLoad struct {
	all     map[string]balance.Load
	by      map[string]map[string]balance.Load // of all, that at the endpoints of each cell
	waiting map[string]balance.Claim
}

// ownLoad returns the whole load, or what changed since that was told last.
func (p *picker) ownLoad(whole bool, now time.Time) ownLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := ownLoad{waiting: p.turns.Own(now), by: make(map[string]map[string]balance.Load)}
	if whole {
		t.all = p.book.Own()
	} else {
		t.all = p.book.Changed()
	}
	for id, l := range t.all {
		c, ok := p.state.CellOf(id)
		if !ok {
			continue // it is gone: only the own cell counts what is left there
		}
		if t.by[c] == nil {
			t.by[c] = make(map[string]balance.Load)
		}
		t.by[c][id] = l
	}
	return t
}

// setFleet takes in how many gateways the own cell has, and how many the store's list
// names.
func (p *picker) setFleet(own, listed int) {
	cells := p.state.Cells().Cells()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range cells {
		own += p.others[c].gateways
	}
	p.fleet = max(own, listed)
}

// target picks one of the route's services by weight.
func target(r *catalog.Route) string {
	sum := 0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	if sum <= 0 {
		return ""
	}
	n := rand.IntN(sum)
	for _, t := range r.Targets {
		if n -= t.Weight; n < 0 {
			return t.Service
		}
	}
	return ""
}
