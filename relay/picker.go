package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/limits"
)

// picker holds what the choice of an endpoint is made on. Its methods may be
// called concurrently.
type picker struct {
	state  *State
	policy balance.Policy
	window limits.WindowConfig
	urgent chan struct{} // load changed in a way that peers should hear at once

	mu      sync.Mutex
	book    *balance.Book
	health  *balance.Health
	budgets map[string]*limits.Window // by service
	changed chan struct{}             // closed when load was taken off
	dirty   bool                      // load changed since it was last told
}

func newPicker(state *State, policy balance.Policy, window limits.WindowConfig) *picker {
	return &picker{
		state: state, policy: policy, window: window, urgent: make(chan struct{}, 1),
		book: balance.NewBook(), health: balance.NewHealth(),
		budgets: make(map[string]*limits.Window), changed: make(chan struct{}),
	}
}

// place is where a request was put; its load counts until it is released.
type place struct {
	picker    *picker
	endpoint  catalog.Endpoint
	helpers   []catalog.Endpoint
	loads     []placedLoad
	firstSeen bool
}

type placedLoad struct {
	endpoint string
	load     balance.Load
}

// pick chooses an endpoint of the service and counts the load. ok is false when
// there is none; wait is set when it is better to ask again soon.
func (p *picker) pick(service *catalog.Service, w balance.Work, now time.Time) (chosen *place, wait, ok bool) {
	endpoints := p.state.Endpoints(service.Name)
	if len(endpoints) == 0 {
		return nil, false, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	candidates := make([]balance.Candidate, len(endpoints))
	for i, e := range endpoints {
		candidates[i] = balance.Candidate{
			ID: e.ID, Address: e.Address, DataCentre: e.DataCentre,
			Load: p.book.Load(e.ID, now), Suspect: p.health.Suspect(e.ID, now),
		}
	}
	c := p.policy.Choose(service, w, endpoints[0].Slots, candidates)
	if c.Wait {
		return nil, true, true
	}
	if c.Endpoint < 0 {
		return nil, false, false
	}
	chosen = &place{picker: p, endpoint: endpoints[c.Endpoint]}
	for _, i := range c.Helpers {
		chosen.helpers = append(chosen.helpers, endpoints[i])
	}
	for _, l := range c.Loads {
		id := endpoints[l.Candidate].ID
		chosen.loads = append(chosen.loads, placedLoad{id, l.Load})
		p.book.Add(id, l.Load)
	}
	p.told(true)
	return chosen, false, true
}

// told notes that peers have to hear of a change.
func (p *picker) told(soon bool) {
	p.dirty = true
	if !soon {
		return
	}
	select {
	case p.urgent <- struct{}{}:
	default:
	}
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
	if pl.firstSeen {
		return
	}
	pl.firstSeen = true
	for i := range pl.loads {
		done := balance.Load{ReadMs: pl.loads[i].load.ReadMs, Pending: pl.loads[i].load.Pending}
		p.book.Remove(pl.loads[i].endpoint, done)
		pl.loads[i].load.ReadMs, pl.loads[i].load.Pending = 0, 0
	}
	p.wake()
}

// release takes off all load of the request.
func (pl *place) release() {
	p := pl.picker
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range pl.loads {
		p.book.Remove(l.endpoint, l.load)
	}
	pl.loads = nil
	p.wake()
}

func (p *picker) wake() {
	p.told(false)
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
	return p.budget(service).Retry(now, p.book.Peers(now)+1)
}

func (p *picker) budget(service string) *limits.Window {
	b := p.budgets[service]
	if b == nil {
		b = limits.NewWindow(p.window)
		p.budgets[service] = b
	}
	return b
}

// peer takes in a peer's load.
func (p *picker) peer(name string, loads map[string]balance.Load, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.book.Peer(name, loads, now)
}

// own returns the load to tell, and whether it changed since the last call.
func (p *picker) own() (map[string]balance.Load, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	dirty := p.dirty
	p.dirty = false
	return p.book.Own(), dirty
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
