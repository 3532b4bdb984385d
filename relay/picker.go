package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/micarudder/micarudder/availability"
	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/health"
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
	health  *health.Table
	budgets map[string]*limits.Window // by service
	changed chan struct{}             // closed when load was taken off
	// fleet is how many gateways there are, as far as this one knows.
	fleet int
	// knowsFleet is when this gateway can be expected to know that.
	knowsFleet time.Time
	others     map[string]otherCell // by name
	limits     *endpointLimits      // has its own lock
}

// otherCell is what the newest digest of another cell says beside its load.
type otherCell struct {
	dataCentre string // where it was made
	gateways   int    // that the cell has
	short      bool   // whether the cell has no endpoints to spare
}

func newPicker(self, dataCentre string, state *State, policy balance.Policy, window limits.WindowConfig) *picker {
	return &picker{
		self: self, dataCentre: dataCentre, state: state, policy: policy, window: window, urgent: make(chan struct{}, 1),
		book: balance.NewBook(), turns: balance.NewTurns(), health: health.NewTable(),
		budgets: make(map[string]*limits.Window), changed: make(chan struct{}),
		others: make(map[string]otherCell), limits: newEndpointLimits(self),
	}
}

// place is where a request was put; its load counts until it is released.
type place struct {
	picker   *picker
	endpoint catalog.Endpoint
	helpers  []catalog.Endpoint
	reserve  []wantedMemory
	memory   *reservations // set aside for the send; nil: none
	grant    *grant        // to send to an endpoint with a limit; nil: none
	send     availability.Send
	before   balance.Load // at the endpoint, before this request
	chosen   time.Time
	pace     float64 // of the slowest of the endpoints, as it was known then
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

// put counts the load of a choice; nil: its endpoint takes no more requests at the moment. The caller holds the lock.
func (p *picker) put(at found, now time.Time) *place {
	c := at.choice
	send, ok := p.state.BeginSend(at.endpoints[c.Endpoint].ID, now)
	if !ok {
		return nil
	}
	chosen := &place{
		picker: p, endpoint: at.endpoints[c.Endpoint], before: at.candidates[c.Endpoint].Load, send: send,
		candidates: len(at.candidates), expected: c.Expected, chosen: time.Now(),
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
		chosen.pace = max(chosen.pace, at.candidates[l.Candidate].Pace)
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
	pl.endSend(false)
	p.mu.Lock()
	defer p.mu.Unlock()
	pl.takeOffReading()
	for _, l := range pl.loads {
		p.book.Remove(l.endpoint, l.load)
	}
	pl.loads = nil
	p.wake()
}

// endSend takes in that the request was answered, or will not be; only the first call counts. It reports whether the endpoint
// is used like any other again after a rest.
func (pl *place) endSend(answered bool) bool {
	send := pl.send
	pl.send = availability.Send{}
	return pl.picker.state.EndSend(send, answered)
}

// wakeAll lets those that wait for endpoints look again.
func (p *picker) wakeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wake()
}

// wake is wakeAll for callers that hold the lock.
func (p *picker) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// note takes in how an exchange ended; it reports whether the endpoint has just
// become suspect.
func (p *picker) note(endpoint string, o health.Outcome, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	suspect := p.health.Note(endpoint, o, now)
	if suspect {
		p.callPeers() // others need not fail there as well
	}
	return suspect
}

// reported takes in what an endpoint said of itself; it reports whether its pace has
// changed much.
func (p *picker) reported(endpoint string, r EndpointReport, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.health.Pace(endpoint, now)
	p.health.Reached(endpoint, now)
	p.health.SetPace(endpoint, r.Pace, now)
	after := p.health.Pace(endpoint, now)
	changed := after > tellPaceChange*before || before > tellPaceChange*after
	if changed {
		p.callPeers()
	}
	return changed
}

// tellPaceChange is the ratio of an endpoint's new pace to its old one, or of the old one
// to the new one, above which the others hear of it at once.
const tellPaceChange = 1.2

// noteLate takes in that a stream began or paused much later than expected. The next regular
// word tells whoever watches the endpoint: telling it at once adds words where there is too
// much to do already.
func (p *picker) noteLate(endpoint string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.health.SetLate(endpoint, now)
}

// avoided returns the endpoints of the own cell that are left alone because several gateways
// failed there, and how many did.
func (p *picker) avoided(now time.Time) map[string]int {
	home := p.state.Cells().Of(p.dataCentre)
	out := make(map[string]int)
	for _, s := range p.state.Services() {
		endpoints := p.state.EndpointsByCell(s.Name)[home]
		p.mu.Lock()
		for _, e := range endpoints {
			if n := p.health.Witnesses(e.ID, now); n > 0 {
				out[e.ID] = n
			}
		}
		p.mu.Unlock()
	}
	return out
}

// doubt returns why an endpoint should be asked about itself.
func (p *picker) doubt(endpoint string, now time.Time) health.Doubt {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.health.Doubt(endpoint, now)
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
	return p.budget(service).Retry(now, p.gateways(now))
}

// gateways returns how many gateways share the slack of a retry budget. The caller holds the lock.
func (p *picker) gateways(now time.Time) int {
	if now.Before(p.knowsFleet) {
		// Many may have started at this moment; each would take all of it.
		return limits.UnknownGateways
	}
	return max(p.fleet, p.book.Peers(now)+1)
}

// fleetListed takes in how many gateways a list of the store names.
func (p *picker) fleetListed(n int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet = max(p.fleet, n)
	if now.Before(p.knowsFleet) {
		p.knowsFleet = now
	}
}

// fleetTime is how long a process that can read no list of those before it may not know how many gateways there are: until it
// has read what those who started with it have written, and some.
const fleetTime = gatewaysSoon + time.Second

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
	p.health.Peer(w.From, w.Signs, p.state.EndpointCount(), now)
	if p.turns.Waiting() > 0 {
		p.wake()
	}
}

// ownLoad is the load and the waiting prompts to tell the peers.
type ownLoad struct {
	all     map[string]balance.Load
	by      map[string]map[string]balance.Load // of all, that at the endpoints of each cell
	waiting map[string]balance.Claim
	signs   map[string]health.Sign // of endpoints' health
}

// ownLoad returns the whole load, or what changed since that was told last.
func (p *picker) ownLoad(whole bool, now time.Time) ownLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := ownLoad{waiting: p.turns.Own(now), signs: p.health.Own(now), by: make(map[string]map[string]balance.Load)}
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
