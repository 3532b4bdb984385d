package relay

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"
)

// limitFleet is a fleet under virtual time whose engines may name limits.
type limitFleet struct {
	*testFleet
	mu       sync.Mutex
	limits   map[string]string // by address
	lines    map[string]string // more of the heads of answers, by address
	statuses map[string]string // of answers, by address; empty: 200
	arrivals map[string][]time.Time
	took     time.Duration   // that engines take for an answer
	dialed   func()          // called for each connection; nil: nothing
	silent   map[string]bool // gateways that answer no questions of others
	answered int
	refused  []time.Duration // how long each refusal took
	told     []string        // times to come back, of the refusals
}

func newLimitFleet(t *testing.T, gateways, engines int) *limitFleet {
	return newLimitCells(t, 1, gateways, engines)
}

func newLimitCells(t *testing.T, dataCentres, gateways, engines int) *limitFleet {
	f := &limitFleet{testFleet: newFleet(t, dataCentres, gateways, engines), limits: make(map[string]string), lines: make(map[string]string), statuses: make(map[string]string), arrivals: make(map[string][]time.Time), silent: make(map[string]bool)}
	f.connect = f.dialEngine
	for _, g := range f.gateways {
		g.askCoordinator = f.question
	}
	return f
}

// question carries a question to another gateway.
func (f *limitFleet) question(ctx context.Context, name string, q grantQuestion) (grantAnswer, error) {
	time.Sleep(nearDelay)
	defer time.Sleep(nearDelay)
	f.mu.Lock()
	silent := f.silent[name]
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
		return grantAnswer{}, ctx.Err()
	}
	i := slices.IndexFunc(f.gateways, func(g *Gateway) bool { return g.config.Name == name })
	return f.gateways[i].keepQuestion(ctx, q)
}

// dialEngine connects to an engine that answers at once and names its limit.
func (f *limitFleet) dialEngine(_ int, address string) (net.Conn, error) {
	if f.dialed != nil {
		f.dialed()
	}
	near, far := net.Pipe()
	go func() {
		defer func() { _ = far.Close() }()
		br := bufio.NewReader(far)
		for {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			f.mu.Lock()
			f.arrivals[address] = append(f.arrivals[address], time.Now())
			limit := f.limits[address]
			f.mu.Unlock()
			time.Sleep(f.took)
			f.mu.Lock()
			line, status := f.lines[address], cmp.Or(f.statuses[address], "200 OK")
			f.mu.Unlock()
			if limit != "" {
				line += "Limit: " + limit + "\r\n"
			}
			if _, err := fmt.Fprintf(far, "HTTP/1.1 %s\r\nPace: 1\r\n%sContent-Length: 0\r\n\r\n", status, line); err != nil {
				return
			}
		}
	}()
	return near, nil
}

// name makes engines name a limit from now on; empty: none.
func (f *limitFleet) name(limit string, engines ...int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range engines {
		f.limits[addressOf(e)] = limit
	}
}

// answer sets the status of engines' answers, empty for 200, and more lines of their heads.
func (f *limitFleet) answer(status, lines string, engines ...int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range engines {
		f.statuses[addressOf(e)], f.lines[addressOf(e)] = status, lines
	}
}

// since returns how many requests an engine got since a time.
func (f *limitFleet) since(engine int, at time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, a := range f.arrivals[addressOf(engine)] {
		if !a.Before(at) {
			n++
		}
	}
	return n
}

// worst returns the most requests that an engine got in four seconds since a time.
func (f *limitFleet) worst(engine int, since time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.arrivals[addressOf(engine)]
	most := 0
	for i, from := range list {
		if from.Before(since) {
			continue
		}
		n := 0
		for _, at := range list[i:] {
			if at.Sub(from) < 4*time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// hostRequest returns a caller's request for the fleet's route.
func hostRequest(ctx context.Context) *http.Request {
	r := httptest.NewRequestWithContext(ctx, "POST", "/", nil)
	r.Host = "h"
	return r
}

// exchange returns a caller's request at a gateway that has not been placed yet, and where its answer goes.
func (f *limitFleet) exchange(ctx context.Context, gateway, tokens int) (*exchange, *httptest.ResponseRecorder) {
	began := time.Now()
	w := httptest.NewRecorder()
	return &exchange{
		g: f.gateways[gateway], w: w, r: hostRequest(ctx), call: Call{ID: "r", Input: tokens, Output: 10},
		table: f.table, route: &f.table.Configuration.Routes[0], service: &f.table.Configuration.Services[0], started: began, deadline: began.Add(15 * time.Second),
	}, w
}

// send plays a caller's request at a gateway as ServeHTTP does.
func (f *limitFleet) send(ctx context.Context, gateway, tokens int) outcome {
	x, w := f.exchange(ctx, gateway, tokens)
	began := time.Now()
	o := x.run()
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.Code == http.StatusServiceUnavailable {
		f.refused = append(f.refused, time.Since(began))
		f.told = append(f.told, w.Header().Get("Retry-After"))
	} else {
		f.answered++
	}
	return o
}

// load sends short requests at gateways in turn, so many times a second, for so long.
func (f *limitFleet) load(t *testing.T, perSecond int, length time.Duration, at func(n int) int) {
	var all sync.WaitGroup
	for n := range int(length.Seconds() * float64(perSecond)) {
		all.Go(func() { f.send(t.Context(), at(n), 500) })
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	all.Wait()
}

func engines(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}
