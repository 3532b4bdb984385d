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
	// ticketBatch is how many tickets a flow fetches at once.
	ticketBatch = 50
	// ticketTimeout bounds one fetch; callers of the flow wait for it.
	ticketTimeout   = 2 * time.Second
	idleConnections = 256
)

// Options choose what one run does.
type Options struct {
	Mix      *Mix
	Gateways []string // base URLs
	// Engines are base URLs of stand-in executors whose records of executions
	// are joined; empty against real ones, whose answers are then not compared.
	Engines []string
	Seed    uint64
	Load    float64 // factor on the mix's rate; 0 counts as 1
	Name    string  // distinguishes the tags of runs against the same executors
	// Keep chooses arrivals; nil keeps all. Latencies of what is kept can be
	// compared with a run of the whole schedule, request by request.
	Keep func(Arrival) bool
	// Progress is told of every request that ended; it may be nil.
	Progress func(Record)
	// Transport replaces the HTTP transport; nil for the default.
	Transport http.RoundTripper
}

// Do runs the schedule against the gateways and returns every record, judged
// and joined with the executors' records. It returns early, with what it has,
// when ctx ends.
func Do(ctx context.Context, o Options) ([]Record, error) {
	if len(o.Gateways) == 0 {
		return nil, trace.BadParameter("no gateways")
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
		as = Only(as, o.Keep)
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
		Executions: notAsked,
	}
}

// generator sends requests at their due times, whatever became of earlier ones.
type generator struct {
	opt     Options
	verify  bool // compare answers with the stand-ins'
	client  *client
	slots   chan struct{}
	start   time.Time
	records []Record

	progress sync.Mutex
	tickets  map[string]*ticketPool
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
			g.unsent(i, "the run was stopped")
			continue
		}
		select {
		case g.slots <- struct{}{}:
		default:
			g.unsent(i, "too many requests in flight")
			continue
		}
		wg.Go(func() {
			defer func() { <-g.slots }()
			g.one(ctx, a, &g.records[i])
		})
	}
	wg.Wait()
}

func (g *generator) one(ctx context.Context, a Arrival, rec *Record) {
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
		c.ticket, c.fresh = pool.take(ctx), pool.fresh
	}
	c.run(ctx)
	g.report(*rec)
}

func (g *generator) unsent(i int, why string) {
	rec := &g.records[i]
	rec.Final, rec.Detail, rec.End = Unsent, why, g.now()
	g.report(*rec)
}

func (g *generator) report(r Record) {
	if g.opt.Progress == nil {
		return
	}
	g.progress.Lock()
	defer g.progress.Unlock()
	g.opt.Progress(r)
}

func (g *generator) now() time.Duration { return time.Since(g.start) }

// ticketPool fetches tickets in batches, as an application does that wants no
// extra round trip.
type ticketPool struct {
	client *client
	flow   Flow

	mu   sync.Mutex
	list []string
}

// fresh drops the tickets fetched so far, which may name the same lost agent,
// and returns a new one.
func (p *ticketPool) fresh(ctx context.Context) string {
	p.mu.Lock()
	p.list = nil
	p.mu.Unlock()
	return p.take(ctx)
}

// take returns a ticket, or "" when none can be had now.
func (p *ticketPool) take(ctx context.Context) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.list) == 0 {
		ctx, cancel := context.WithTimeout(ctx, ticketTimeout)
		defer cancel()
		p.list, _ = p.client.tickets(ctx, p.flow, ticketBatch)
	}
	if len(p.list) == 0 {
		return ""
	}
	t := p.list[len(p.list)-1]
	p.list = p.list[:len(p.list)-1]
	return t
}
