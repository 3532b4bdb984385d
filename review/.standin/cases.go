package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// The kinds of request, services and machines of the smallest deployment, as its sheet and site file give them.
const (
	modelService    = "caption-llm"
	webService      = "album-web"
	captionRoute    = "photo-caption"
	summaryRoute    = "album-summary"
	historyRoute    = "family-history"
	pageRoute       = "album-page"
	linkRoute       = "share-link"
	captionTokens   = 5000
	summaryTokens   = 45000
	historyTokens   = 133000
	captionDeadline = 10 * time.Second
	historyDeadline = 15 * time.Second
	webDeadline     = time.Second
	modelWorkers    = 18
	webWorkers      = 3
	modelSlots      = 16
	webSlots        = 6
	fronts          = 5
	allClients      = 96
)

// configuration is what the operator writes.
type configuration struct {
	mu      sync.Mutex
	version int
	keys    []string // of the only tenant
}

// write writes the next version and returns when it was sent and confirmed.
func (c *configuration) write(p *platform) (sent, confirmed time.Time) {
	c.version += 3
	streaming := func(name string, objective, gap, timeout int) map[string]any {
		return map[string]any{"name": name, "host": hostName, "pathPrefix": "/" + name + "/", "kind": "streaming", "timeoutMs": timeout,
			"targetLatencyMs": objective, "priority": 1, "service": modelService, "maxAttempts": 2, "public": false, "stickySessions": true, "resumeStreams": true, "targetGapMs": gap}
	}
	plain := func(name, kind string, attempts int) map[string]any {
		return map[string]any{"name": name, "host": hostName, "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": 1000,
			"targetLatencyMs": 150, "priority": 2, "service": webService, "maxAttempts": attempts, "public": false}
	}
	engine := map[string]any{"slots": modelSlots, "kvCapacityTokens": 232000, "kvTokenBytes": 327680, "linkMbps": 400000.0, "stride": 43, "models": []any{map[string]any{"name": "m"}},
		"step_ms": 1.02, "per_seq_ms": 0.00226, "context_per_k": 0.00431, "read_per_s": 206000.0, "pairs_per_m": 0.138, "chunk": 2048, "report_lag_ms": 200.0}
	sent = time.Now()
	p.store.Put("op/config", map[string]any{
		"version": c.version,
		"routes":  []any{streaming(captionRoute, 300, 250, 10000), streaming(summaryRoute, 1500, 600, 10000), streaming(historyRoute, 2500, 1000, 15000), plain(pageRoute, "unsafe", 1), plain(linkRoute, "safe", 2)},
		"services": []any{
			map[string]any{"name": modelService, "healthPath": "/health", "maxConnections": 274, "protocol": "h1", "tls": false, "engine": engine},
			map[string]any{"name": webService, "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": fullBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": clientTenant, "apiKeys": c.keys, "priority": 1}},
	})
	confirmed = time.Now()
	p.record.event("configuration %d with the keys %v is confirmed", c.version, c.keys)
	return sent, confirmed
}

// startWorkers starts the workers of the sheet; change may alter one before it starts.
func startWorkers(p *platform, l *ledger, change func(w *worker, n int)) error {
	for n := range modelWorkers + webWorkers {
		w := &worker{id: fmt.Sprintf("i-%02d", n+1), service: webService, zone: zones[n%zoneCount], ledger: l, record: p.record, work: 30 * time.Millisecond}
		slots := webSlots
		if n < modelWorkers {
			w.service, w.stream, slots, w.work = modelService, true, modelSlots, 60*time.Millisecond
		}
		w.slots = make(chan struct{}, slots)
		if change != nil {
			change(w, n)
		}
		if err := w.start(p.ip(100 + n)); err != nil {
			return err
		}
		w.announce(p, slots)
	}
	return nil
}

// begin starts what all cases have.
func begin(ctx context.Context, p *platform, c *configuration, change func(w *worker, n int)) (*ledger, error) {
	l := &ledger{runs: make(map[string][]run)}
	c.write(p)
	if err := startWorkers(p, l, change); err != nil {
		return nil, err
	}
	return l, p.startFronts(ctx, fronts)
}

func stream(name, key string, deadline time.Duration, tokens, bytes int) route {
	return route{name: name, method: "POST", key: key, stream: true, deadline: deadline, tokens: tokens, body: func() ([]byte, bool) { return make([]byte, bytes), false }}
}

func caption(key string) route {
	return stream(captionRoute, key, captionDeadline, captionTokens, 1200)
}

func summary(key string) route {
	return stream(summaryRoute, key, captionDeadline, summaryTokens, 11000)
}

func history(key string) route {
	return stream(historyRoute, key, historyDeadline, historyTokens, 33000)
}

func page(key string) route {
	return route{name: pageRoute, method: "POST", key: key, deadline: webDeadline, body: func() ([]byte, bool) { return make([]byte, 600), false }}
}

func link(key string) route {
	return route{name: linkRoute, method: "GET", key: key, deadline: webDeadline}
}

// usualRoute picks a kind of request as often as on the sheet.
func usualRoute(r *rand.Rand) route {
	switch n := r.IntN(4876); {
	case n < 3830:
		return caption(clientKey)
	case n < 4039:
		return summary(clientKey)
	case n < 4215:
		return history(clientKey)
	case n < 4576:
		return page(clientKey)
	default:
		return link(clientKey)
	}
}

// usualPause makes the clients together send about as many requests as on the sheet.
func usualPause(r *rand.Rand) time.Duration {
	return 1200*time.Millisecond + time.Duration(r.IntN(800))*time.Millisecond
}

func runClients(ctx context.Context, p *platform, n int, length time.Duration, pick func(*rand.Rand) route, pause func(*rand.Rand) time.Duration) *log {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	l := &log{}
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() { newClient(p, i).loop(ctx, l, pick, pause) })
	}
	all.Wait()
	return l
}

// episodes are the times of a disruption that comes again and again.
type episodes struct{ first, length, pause, last time.Duration }

// at reports whether the disruption is on at a time since the start.
func (e episodes) at(since time.Duration) bool {
	if since < e.first || since > e.last {
		return false
	}
	return (since-e.first)%(e.length+e.pause) < e.length
}

// playNoAnswer plays workers that send bytes which are not an answer in place of some answers.
func playNoAnswer(ctx context.Context, p *platform, trouble bool) (bool, error) {
	const (
		length       = 95 * time.Second
		faultyModels = 6    // a third of the workers of the service
		spoiledShare = 0.03 // of their answers
		bytesPerS    = 60 << 20
	)
	spoiled := episodes{first: 4 * time.Second, length: 5 * time.Second, pause: time.Second, last: 88 * time.Second}
	random, mu, began := rand.New(rand.NewPCG(64, 1)), sync.Mutex{}, time.Now()
	led, err := begin(ctx, p, &configuration{keys: []string{clientKey}}, func(w *worker, n int) {
		if !trouble || n >= faultyModels {
			return
		}
		w.spoilRate = bytesPerS
		w.spoil = func() bool {
			mu.Lock()
			defer mu.Unlock()
			return spoiled.at(time.Since(began)) && random.Float64() < spoiledShare
		}
	})
	if err != nil {
		return false, err
	}
	mu.Lock()
	began = time.Now()
	mu.Unlock()
	l := runClients(ctx, p, allClients, length, usualRoute, usualPause)
	return judge(p, l, led), nil
}

// playRevoked plays keys that the operator takes away while answers to requests with them are under way.
func playRevoked(ctx context.Context, p *platform, trouble bool) (bool, error) {
	const (
		length     = 50 * time.Second
		firstAt    = 8 * time.Second
		interval   = 8 * time.Second
		keyCount   = 5
		pauseEvery = 10 * time.Second
		pauseFor   = 1500 * time.Millisecond
	)
	c := &configuration{}
	for n := range keyCount {
		c.keys = append(c.keys, fmt.Sprintf("key-%d", n+1))
	}
	led, err := begin(ctx, p, c, func(w *worker, n int) {
		// The worker reads a long prompt now and then; its other requests wait for it.
		w.reads = readings{began: time.Now(), every: pauseEvery, length: pauseFor, offset: time.Duration(n) * pauseEvery / modelWorkers}
	})
	if err != nil {
		return false, err
	}
	began := time.Now()
	var changes []change
	var operator sync.WaitGroup
	operator.Go(func() {
		for n := 0; trouble && n < keyCount-1; n++ {
			select {
			case <-ctx.Done():
				return
			case <-time.After(time.Until(began.Add(firstAt + time.Duration(n)*interval))):
			}
			c.mu.Lock()
			gone := c.keys[0]
			c.keys = c.keys[1:]
			sent, confirmed := c.write(p)
			c.mu.Unlock()
			changes = append(changes, change{gone, sent, confirmed})
		}
	})
	pick := func(r *rand.Rand) route {
		c.mu.Lock()
		defer c.mu.Unlock()
		return caption(c.keys[r.IntN(len(c.keys))])
	}
	l := runClients(ctx, p, allClients, length, pick, usualPause)
	operator.Wait()
	return judgePlanned(p, l, led, changes), nil
}

// playUploads plays a burst of clients that send bodies of the largest size that the limits allow, in chunks.
func playUploads(ctx context.Context, p *platform, trouble bool) (bool, error) {
	const (
		length       = 60 * time.Second
		uploaders    = 90
		burstClients = uploaders * 3 / 2 // 2.5 times as many in all
	)
	bursts := episodes{first: 6 * time.Second, length: 9500 * time.Millisecond, pause: 8 * time.Second, last: 52 * time.Second}
	led, err := begin(ctx, p, &configuration{keys: []string{clientKey}}, nil)
	if err != nil {
		return false, err
	}
	photo := make([]byte, fullBodyBytes)
	upload := func(*rand.Rand) route {
		r := caption(clientKey)
		r.body = func() ([]byte, bool) { return photo, true }
		return r
	}
	pause := func(r *rand.Rand) time.Duration { return time.Duration(r.IntN(100)) * time.Millisecond }
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	l, began := &log{}, time.Now()
	var all sync.WaitGroup
	for i := range allClients / 2 {
		all.Go(func() { newClient(p, i).loop(ctx, l, usualRoute, usualPause) })
	}
	for i := range uploaders {
		all.Go(func() { newClient(p, 1000+i).loop(ctx, l, upload, pause) })
	}
	for i := range burstClients {
		all.Go(func() {
			for trouble && ctx.Err() == nil {
				if bursts.at(time.Since(began)) {
					rest, stop := context.WithTimeout(ctx, bursts.length)
					newClient(p, 2000+i).loop(rest, l, upload, pause)
					stop()
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	all.Wait()
	return judge(p, l, led), nil
}
