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

// picker holds the state that endpoint selection is based on. Its methods may be called
// concurrently.
type picker struct {
	self       string // name of this gateway
	dataCentre string // data centre of this gateway
	state      *State
	policy     balance.Policy
	window     limits.RetryWindowConfig
	sendSoon   chan struct{} // requests an early message to the peers

	mu           sync.Mutex
	book         *balance.LoadTracker
	turns        *balance.PromptQueue
	health       *health.Table
	retryBudgets map[string]*limits.RetryWindow // by service
	loadChanged  chan struct{}                  // closed to wake the requests that wait for endpoints
	// fleetSize is the number of gateways known to this one.
	fleetSize int
	// fleetKnownAt is the time from which fleetSize can be relied on.
	fleetKnownAt time.Time
	remoteCells  map[string]remoteCell // by cell name
	limits       *endpointLimits       // has its own lock
}

// remoteCell is what the newest digest of another cell reports besides its load.
type remoteCell struct {
	dataCentre string // where the digest was made
	gateways   int    // number of gateways in the cell
	noSpare    bool   // whether the cell has no endpoints to spare
}

func newPicker(self, dataCentre string, state *State, policy balance.Policy, window limits.RetryWindowConfig) *picker {
	return &picker{
		self: self, dataCentre: dataCentre, state: state, policy: policy, window: window, sendSoon: make(chan struct{}, 1),
		book: balance.NewLoadTracker(), turns: balance.NewPromptQueue(), health: health.NewTable(),
		retryBudgets: make(map[string]*limits.RetryWindow), loadChanged: make(chan struct{}),
		remoteCells: make(map[string]remoteCell), limits: newEndpointLimits(self),
	}
}

// placement is the placement of a request on endpoints. Its load counts until it is released.
type placement struct {
	picker        *picker
	endpoint      catalog.Endpoint
	helpers       []catalog.Endpoint
	memoryDemands []memoryDemand
	reservations  *reservations // reserved for the send; nil if none
	grant         *grant        // permits a send to an endpoint with a limit; nil if none
	send          availability.SentRequest
	loadBefore    balance.Load // load of the endpoint before this request
	chosenAt      time.Time
	pace          float64 // of the slowest of the endpoints, as known when the choice was made
	// candidates is the number of endpoints that were considered.
	candidates      int
	remoteEndpoints int // number of endpoints of other cells that work on the request
	expected        balance.Estimate
	loads           []*placedLoad
}

// memoryDemand is memory that has to be reserved before a send.
type memoryDemand struct {
	endpoint catalog.Endpoint
	tokens   int
}

type placedLoad struct {
	endpoint    string
	load        balance.Load
	prefillDone bool
	timer       *time.Timer // ends the prefill of a part; may be nil
}

// pickOutcome is the result of a choice.
type pickOutcome uint8

const (
	picked   pickOutcome = iota
	pickNone             // there is no endpoint
	pickWait             // it is better to try again soon
	pickFull             // the caller should retry later
)

// assign counts the load of a choice. It returns nil if the endpoint takes no more requests at the
// moment. The caller holds the lock.
func (p *picker) assign(res searchResult, now time.Time) *placement {
	c := res.choice
	send, ok := p.state.BeginSend(res.endpoints[c.Endpoint].ID, now)
	if !ok {
		return nil
	}
	chosen := &placement{
		picker: p, endpoint: res.endpoints[c.Endpoint], loadBefore: res.candidates[c.Endpoint].Load, send: send,
		candidates: len(res.candidates), expected: c.Expected, chosenAt: time.Now(),
	}
	for _, i := range c.Helpers {
		chosen.helpers = append(chosen.helpers, res.endpoints[i])
	}
	for _, r := range c.Reservations {
		chosen.memoryDemands = append(chosen.memoryDemands, memoryDemand{res.endpoints[r.Candidate], r.Tokens})
	}
	for _, l := range c.Loads {
		if res.candidates[l.Candidate].Remote {
			chosen.remoteEndpoints++
		}
		chosen.pace = max(chosen.pace, res.candidates[l.Candidate].Slowdown)
		id := res.endpoints[l.Candidate].ID
		p.book.Add(id, l.Load)
		chosen.addLoad(id, l)
	}
	p.notifyPeers()
	return chosen
}

// notifyPeers causes the next message to the peers to be sent soon.
func (p *picker) notifyPeers() {
	select {
	case p.sendSoon <- struct{}{}:
	default:
	}
}

// joinQueue adds a prompt to those that wait for their turn to choose; leaveQueue removes it.
func (p *picker) joinQueue(service string, rank balance.Urgency, due, now time.Time) *balance.QueueEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.turns.ExpirePeers(now)
	p.notifyPeers()
	return p.turns.Join(service, rank, due, now)
}

func (p *picker) leaveQueue(t *balance.QueueEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.turns.Leave(t)
	p.notifyPeers()
	p.notifyWaitersLocked()
}

// isNext reports whether it is a prompt's turn to choose.
func (p *picker) isNext(t *balance.QueueEntry, rank balance.Urgency, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.turns.First(t, rank, now)
}

// waitForLoadChange waits until the waiting requests are woken, since load was released or a peer
// sent its load, or until the limit has passed.
func (p *picker) waitForLoadChange(ctx context.Context, limit time.Duration) {
	p.mu.Lock()
	changed := p.loadChanged
	p.mu.Unlock()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// endPrefill removes the prefill load of the prompt, which has ended once the first event has arrived.
func (pl *placement) endPrefill() {
	p := pl.picker
	p.mu.Lock()
	defer p.mu.Unlock()
	if pl.removePrefill() {
		p.notifyWaitersLocked()
	}
}

// addLoad records load that was counted at an endpoint. The caller holds the lock.
func (pl *placement) addLoad(endpoint string, l balance.LoadShare) {
	part := &placedLoad{endpoint: endpoint, load: l.Load}
	pl.loads = append(pl.loads, part)
	if l.PrefillFor > 0 {
		part.timer = time.AfterFunc(l.PrefillFor, func() { pl.endPartPrefill(part) })
	}
}

// endPartPrefill removes the prefill load of a part whose estimated time has passed.
func (pl *placement) endPartPrefill(part *placedLoad) {
	p := pl.picker
	p.mu.Lock()
	defer p.mu.Unlock()
	if part.endPrefill(p.book) {
		p.notifyWaitersLocked()
		p.notifyPeers()
	}
}

// endPrefill removes the prefill load; it reports whether it was still counted.
func (l *placedLoad) endPrefill(book *balance.LoadTracker) bool {
	if l.timer != nil {
		l.timer.Stop()
	}
	if l.prefillDone {
		return false
	}
	l.prefillDone = true
	book.PrefillDone(l.endpoint, l.load)
	return true
}

// removePrefill removes all prefill load; it reports whether any was still counted.
func (pl *placement) removePrefill() bool {
	removed := false
	for _, l := range pl.loads {
		removed = l.endPrefill(pl.picker.book) || removed
	}
	return removed
}

// release removes all load of the request.
func (pl *placement) release() {
	p := pl.picker
	pl.endSend(false)
	p.mu.Lock()
	defer p.mu.Unlock()
	pl.removePrefill()
	for _, l := range pl.loads {
		p.book.Remove(l.endpoint, l.load)
	}
	pl.loads = nil
	p.notifyWaitersLocked()
}

// endSend records that the request was answered, or will not be; only the first call counts. It
// reports whether this ends the gradual ramp-up of an endpoint after its back-off.
func (pl *placement) endSend(answered bool) bool {
	send := pl.send
	pl.send = availability.SentRequest{}
	return pl.picker.state.EndSend(send, answered)
}

// notifyWaiters wakes the requests that wait for endpoints.
func (p *picker) notifyWaiters() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notifyWaitersLocked()
}

// notifyWaitersLocked is notifyWaiters for callers that hold the lock.
func (p *picker) notifyWaitersLocked() {
	close(p.loadChanged)
	p.loadChanged = make(chan struct{})
}

// recordOutcome records how an exchange ended; it reports whether the endpoint has just become suspect.
func (p *picker) recordOutcome(endpoint string, o health.Outcome, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	suspect := p.health.RecordOutcome(endpoint, o, now)
	if suspect {
		p.notifyPeers() // so that other gateways need not fail there as well
	}
	return suspect
}

// recordReport records an endpoint's report on itself; it reports whether its pace has changed
// significantly.
func (p *picker) recordReport(endpoint string, r EndpointReport, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.health.Slowdown(endpoint, now)
	p.health.RecordReachable(endpoint, now)
	p.health.SetSlowdown(endpoint, r.Pace, now)
	after := p.health.Slowdown(endpoint, now)
	changed := after > significantPaceRatio*before || before > significantPaceRatio*after
	if changed {
		p.notifyPeers()
	}
	return changed
}

// significantPaceRatio is the ratio of an endpoint's new pace to its old one, or of the old one to
// the new one, above which the peers are notified at once.
const significantPaceRatio = 1.2

// recordLate records that a stream began or paused much later than expected. The next regular message
// tells the gateway that watches the endpoint: a message sent at once would add traffic when there
// is already too much load.
func (p *picker) recordLate(endpoint string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.health.RecordLateStream(endpoint, now)
}

// avoidedEndpoints returns the endpoints of the local cell that are avoided because several gateways failed
// there, each with the number of those gateways.
func (p *picker) avoidedEndpoints(now time.Time) map[string]int {
	localCell := p.state.Cells().Of(p.dataCentre)
	out := make(map[string]int)
	for _, s := range p.state.Services() {
		endpoints := p.state.EndpointsByCell(s.Name)[localCell]
		p.mu.Lock()
		for _, e := range endpoints {
			if n := p.health.FailingGateways(e.ID, now); n > 0 {
				out[e.ID] = n
			}
		}
		p.mu.Unlock()
	}
	return out
}

// doubt returns why an endpoint should be queried.
func (p *picker) doubt(endpoint string, now time.Time) health.QueryReason {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.health.QueryReason(endpoint, now)
}

func (p *picker) forget(endpoint string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.health.Forget(endpoint)
}

// countRequest counts a first send to a service; retry takes a second send from the budget and reports
// whether it was available.
func (p *picker) countRequest(service string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retryBudget(service).RecordRequest(now)
}

func (p *picker) takeRetry(service string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retryBudget(service).AllowRetry(now, p.gatewayCount(now))
}

// gatewayCount returns how many gateways share the slack of a retry budget. The caller holds the
// lock.
func (p *picker) gatewayCount(now time.Time) int {
	if now.Before(p.fleetKnownAt) {
		// Many gateways may have started at this moment, and each would use the whole slack.
		return limits.UnknownGateways
	}
	return max(p.fleetSize, p.book.LivePeers(now)+1)
}

// setListedGateways records how many gateways a list in the store names.
func (p *picker) setListedGateways(n int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleetSize = max(p.fleetSize, n)
	if now.Before(p.fleetKnownAt) {
		p.fleetKnownAt = now
	}
}

// fleetDiscoveryTime is how long a process may not know the number of gateways if it cannot read a list
// written by earlier ones: until it has read the entries of those that started at the same time,
// plus a margin.
const fleetDiscoveryTime = gatewaysFirstDelay + time.Second

func (p *picker) retryBudget(service string) *limits.RetryWindow {
	b := p.retryBudgets[service]
	if b == nil {
		b = limits.NewRetryWindow(p.window)
		p.retryBudgets[service] = b
	}
	return b
}

// recordPeer records the load, waiting prompts and health signs that a peer sent.
func (p *picker) recordPeer(w peers.Message, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.Partial {
		p.book.UpdatePeerLoad(w.From, w.DataCentre, w.Loads, now)
	} else {
		p.book.SetPeerLoad(w.From, w.DataCentre, w.Loads, now)
	}
	p.turns.SetPeerHeads(w.From, w.Waiting, now)
	p.health.UpdatePeer(w.From, w.Observations, p.state.EndpointCount(), now)
	if p.turns.Waiting() > 0 {
		p.notifyWaitersLocked()
	}
}

// ownLoad is the load, the waiting prompts and the health signs of this gateway that are sent to
// the peers.
type ownLoad struct {
	all     map[string]balance.Load
	byCell  map[string]map[string]balance.Load // the entries of all at the endpoints of each cell
	waiting map[string]balance.QueueHead
	signs   map[string]health.Observation // of endpoints' health
}

// ownLoad returns the whole load, or what has changed since the whole load was last sent.
func (p *picker) ownLoad(whole bool, now time.Time) ownLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := ownLoad{waiting: p.turns.LocalHeads(now), signs: p.health.LocalObservations(now), byCell: make(map[string]map[string]balance.Load)}
	if whole {
		t.all = p.book.Local()
	} else {
		t.all = p.book.LocalChanges()
	}
	for id, l := range t.all {
		c, ok := p.state.CellOf(id)
		if !ok {
			continue // the endpoint is gone: only the local cell counts the load that is left there
		}
		if t.byCell[c] == nil {
			t.byCell[c] = make(map[string]balance.Load)
		}
		t.byCell[c][id] = l
	}
	return t
}

// setFleetSize records how many gateways the local cell has, and how many the store's list names.
func (p *picker) setFleetSize(own, listed int) {
	cells := p.state.Cells().Cells()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range cells {
		own += p.remoteCells[c].gateways
	}
	p.fleetSize = max(own, listed)
}

// pickService picks one of the route's services by weight.
func pickService(r *catalog.Route) string {
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
