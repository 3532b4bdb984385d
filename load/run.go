package load

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/micarudder/micarudder/internal/sleep"
)

const (
	// ticketBatch is the number of tickets that a flow fetches at once.
	ticketBatch = 50
	// ticketTimeout limits one fetch; callers of the flow wait for it to end.
	ticketTimeout   = 2 * time.Second
	idleConnections = 256
)

// Options configures one load run.
type Options struct {
	Mix      *Mix
	Gateways []string // base URLs
	// Engines holds the base URLs of stand-in executors whose execution records
	// are joined. It is empty for real executors, whose answers are not compared.
	Engines []string
	Seed    uint64
	Load    float64 // multiplier of the mix's rate; 0 means 1
	Name    string  // distinguishes the tags of load runs against the same executors
	// Keep selects arrivals; nil selects all. The latency of each selected
	// request can be compared with that in a run of the whole schedule.
	Keep func(Arrival) bool
	// Progress, if not nil, is called for every request that ended.
	Progress func(Record)
	// Transport replaces the HTTP transport; nil for the default.
	Transport http.RoundTripper
}

// Do runs the schedule against the gateways and returns the records of all
// requests, joined with the executors' records. When ctx ends, requests not yet
// sent are recorded as unsent.
func Do(ctx context.Context, o Options) ([]Record, error) {
	if len(o.Gateways) == 0 {
		return nil, trace.BadParameter("no gateways configured")
	}
	arrivals := o.schedule()
	g := newGenerator(o, len(arrivals))
	for i, a := range arrivals {
		g.records[i] = o.record(a)
	}
	g.run(ctx, arrivals)
	if err := o.join(context.WithoutCancel(ctx), g.client.http, g.records); err != nil {
		return g.records, err
	}
	return g.records, nil
}

func (o Options) schedule() []Arrival {
	load := o.Load
	if load == 0 {
		load = 1
	}
	as := o.Mix.Schedule(o.Seed, load)
	if o.Keep != nil {
		as = FilterArrivals(as, o.Keep)
	}
	return as
}

func (o Options) record(a Arrival) Record {
	f := o.Mix.Flow[a.Flow]
	return Record{
		ID:         a.ID,
		Tag:        a.Tag(o.Name),
		Flow:       a.Flow,
		Workspace:  f.Workspace,
		Class:      a.Class(),
		Prompt:     a.Prompt,
		Answer:     a.Answer,
		Repeatable: f.Repeatable,
		Measured:   a.At >= o.Mix.Run.Warmup,
		Due:        a.At,
		Deadline:   f.Deadline,
		Executions: executionsUnknown,
	}
}

// generator sends requests at their due times, independently of the state of
// earlier ones.
type generator struct {
	opt     Options
	verify  bool // compare answers with those expected from the stand-ins
	client  *client
	slots   chan struct{}
	start   time.Time
	records []Record

	progressMu sync.Mutex
	tickets    map[string]*ticketPool
}

func newGenerator(o Options, n int) *generator {
	if o.Transport == nil {
		o.Transport = &http.Transport{MaxIdleConns: 0, MaxIdleConnsPerHost: idleConnections, DisableCompression: true}
	}
	g := &generator{
		opt:     o,
		verify:  len(o.Engines) > 0,
		client:  &client{http: &http.Client{Transport: o.Transport}, gateways: o.Gateways},
		slots:   make(chan struct{}, o.Mix.Run.MaxInFlight),
		records: make([]Record, n),
		tickets: make(map[string]*ticketPool),
	}
	for name, f := range o.Mix.Flow {
		if f.Ticket {
			g.tickets[name] = &ticketPool{client: g.client, flow: f}
		}
	}
	return g
}

func (g *generator) run(ctx context.Context, arrivals []Arrival) {
	var wg sync.WaitGroup
	g.start = time.Now()
	for i, a := range arrivals {
		if !sleep.For(ctx, a.At-g.now()) {
			g.recordUnsent(i, "the load run was stopped before the request was due")
			continue
		}
		select {
		case g.slots <- struct{}{}:
		default:
			g.recordUnsent(i, "the limit max_in_flight was reached")
			continue
		}
		wg.Go(func() {
			defer func() { <-g.slots }()
			g.sendArrival(ctx, a, &g.records[i])
		})
	}
	wg.Wait()
}

func (g *generator) sendArrival(ctx context.Context, a Arrival, rec *Record) {
	f := g.opt.Mix.Flow[a.Flow]
	ctx, cancel := context.WithDeadline(ctx, g.start.Add(a.At+f.Deadline+g.opt.Mix.Run.Grace))
	defer cancel()
	prompt := a.PromptText(f, g.opt.Name)
	body, err := f.body(prompt, a.Answer)
	if err != nil {
		rec.Final, rec.Detail, rec.End = Unsent, err.Error(), g.now()
		return
	}
	c := &caller{
		client: g.client,
		flow:   f,
		body:   body,
		now:    g.now,
		rec:    rec,
		asm:    newAssembly(prompt, a.Answer, g.verify),
	}
	if pool := g.tickets[a.Flow]; pool != nil {
		c.ticket, c.replaceTicket = pool.take(ctx), pool.replace
	}
	c.run(ctx)
	g.reportProgress(*rec)
}

func (g *generator) recordUnsent(i int, why string) {
	rec := &g.records[i]
	rec.Final, rec.Detail, rec.End = Unsent, why, g.now()
	g.reportProgress(*rec)
}

func (g *generator) reportProgress(r Record) {
	if g.opt.Progress == nil {
		return
	}
	g.progressMu.Lock()
	defer g.progressMu.Unlock()
	g.opt.Progress(r)
}

func (g *generator) now() time.Duration { return time.Since(g.start) }

// ticketPool fetches tickets in batches, as an application does to avoid an
// extra round trip per request.
type ticketPool struct {
	client *client
	flow   Flow

	mu        sync.Mutex
	available []string
}

// replace discards the tickets fetched so far, which may name the same lost agent,
// and returns a new one.
func (p *ticketPool) replace(ctx context.Context) string {
	p.mu.Lock()
	p.available = nil
	p.mu.Unlock()
	return p.take(ctx)
}

// take returns a ticket, or "" if none can be fetched.
func (p *ticketPool) take(ctx context.Context) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.available) == 0 {
		ctx, cancel := context.WithTimeout(ctx, ticketTimeout)
		defer cancel()
		p.available, _ = p.client.tickets(ctx, p.flow, ticketBatch)
	}
	if len(p.available) == 0 {
		return ""
	}
	t := p.available[len(p.available)-1]
	p.available = p.available[:len(p.available)-1]
	return t
}
