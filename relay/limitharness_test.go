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

// limitFleet is a fleet in virtual time whose engines may announce rate limits.
type limitFleet struct {
	*testFleet
	mu           sync.Mutex
	limits       map[string]string // by address
	extraHeaders map[string]string // additional header lines of responses, by address
	statuses     map[string]string // of responses, by address; 200 if empty
	arrivals     map[string][]time.Time
	responseTime time.Duration   // time that engines take to answer
	onDial       func()          // called for each connection; nil if not needed
	silent       map[string]bool // gateways that do not answer grant requests
	answered     int
	refusalTimes []time.Duration // time that each refusal took
	retryAfters  []string        // Retry-After of the refusals
}

func newLimitFleet(t *testing.T, gateways, engines int) *limitFleet {
	return newLimitFleetInCells(t, 1, gateways, engines)
}

func newLimitFleetInCells(t *testing.T, dataCentres, gateways, engines int) *limitFleet {
	f := &limitFleet{testFleet: newFleet(t, dataCentres, gateways, engines), limits: make(map[string]string), extraHeaders: make(map[string]string), statuses: make(map[string]string), arrivals: make(map[string][]time.Time), silent: make(map[string]bool)}
	f.dialOverride = f.dialEngine
	for _, g := range f.gateways {
		g.askCoordinator = f.askCoordinator
	}
	return f
}

// askCoordinator sends a grant request to another gateway.
func (f *limitFleet) askCoordinator(ctx context.Context, name string, q grantQuestion) (grantAnswer, error) {
	time.Sleep(localDelay)
	defer time.Sleep(localDelay)
	f.mu.Lock()
	silent := f.silent[name]
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
		return grantAnswer{}, ctx.Err()
	}
	i := slices.IndexFunc(f.gateways, func(g *Gateway) bool { return g.config.Name == name })
	return f.gateways[i].decideGrant(ctx, q)
}

// dialEngine connects to an engine that answers with the configured headers and limit.
func (f *limitFleet) dialEngine(_ int, address string) (net.Conn, error) {
	if f.onDial != nil {
		f.onDial()
	}
	client, server := net.Pipe()
	go func() {
		defer func() { _ = server.Close() }()
		br := bufio.NewReader(server)
		for {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			f.mu.Lock()
			f.arrivals[address] = append(f.arrivals[address], time.Now())
			limit := f.limits[address]
			f.mu.Unlock()
			time.Sleep(f.responseTime)
			f.mu.Lock()
			headers, status := f.extraHeaders[address], cmp.Or(f.statuses[address], "200 OK")
			f.mu.Unlock()
			if limit != "" {
				headers += "Limit: " + limit + "\r\n"
			}
			if _, err := fmt.Fprintf(server, "HTTP/1.1 %s\r\nPace: 1\r\n%sContent-Length: 0\r\n\r\n", status, headers); err != nil {
				return
			}
		}
	}()
	return client, nil
}

// setLimit makes engines announce a limit from now on; empty means none.
func (f *limitFleet) setLimit(limit string, engines ...int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range engines {
		f.limits[addressOf(e)] = limit
	}
}

// setResponse sets the status of engines' responses, empty for 200, and additional header lines.
func (f *limitFleet) setResponse(status, headers string, engines ...int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range engines {
		f.statuses[addressOf(e)], f.extraHeaders[addressOf(e)] = status, headers
	}
}

// requestsSince returns how many requests an engine got since a time.
func (f *limitFleet) requestsSince(engine int, since time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, a := range f.arrivals[addressOf(engine)] {
		if !a.Before(since) {
			n++
		}
	}
	return n
}

// maxInFourSeconds returns the largest number of requests that an engine got in any four seconds
// since a time.
func (f *limitFleet) maxInFourSeconds(engine int, since time.Time) int {
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

// exchange returns a caller's request at a gateway, not yet placed, and the recorder of its response.
func (f *limitFleet) exchange(ctx context.Context, gateway, tokens int) (*exchange, *httptest.ResponseRecorder) {
	began := time.Now()
	w := httptest.NewRecorder()
	return &exchange{
		g: f.gateways[gateway], w: w, r: hostRequest(ctx), call: Call{ID: "r", PromptTokens: tokens, MaxTokens: 10},
		table: f.table, route: &f.table.Configuration.Routes[0], service: &f.table.Configuration.Services[0], started: began, deadline: began.Add(15 * time.Second),
	}, w
}

// send runs a caller's request at a gateway as ServeHTTP does.
func (f *limitFleet) send(ctx context.Context, gateway, tokens int) outcome {
	x, w := f.exchange(ctx, gateway, tokens)
	began := time.Now()
	o := x.run(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.Code == http.StatusServiceUnavailable {
		f.refusalTimes = append(f.refusalTimes, time.Since(began))
		f.retryAfters = append(f.retryAfters, w.Header().Get("Retry-After"))
	} else {
		f.answered++
	}
	return o
}

// sendLoad sends short requests at a constant rate to the gateways that gateway selects.
func (f *limitFleet) sendLoad(t *testing.T, perSecond int, length time.Duration, gateway func(n int) int) {
	var all sync.WaitGroup
	for n := range int(length.Seconds() * float64(perSecond)) {
		all.Go(func() { f.send(t.Context(), gateway(n), 500) })
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	all.Wait()
}

func engineIndexes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}
