package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/rudderv1/rudderv1connect"
)

// recordedOrder is one order as received by an engine.
type recordedOrder struct {
	endpoint   string
	order      engine.Order
	begin, end time.Time // end is zero while the engine works on it
	status     int
}

// recordOrders wraps an engine's handler and records the orders that it
// receives.
func (b *cluster) recordOrders(name string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != engine.PathOrders {
			next.ServeHTTP(w, r)
			return
		}
		raw, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(raw))
		recorded := recordedOrder{endpoint: name, begin: time.Now()}
		_ = json.Unmarshal(raw, &recorded.order)
		b.mu.Lock()
		i := len(b.orderLog)
		b.orderLog = append(b.orderLog, recorded)
		b.mu.Unlock()
		sw := &statusWriter{ResponseWriter: w}
		defer func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.orderLog[i].end = time.Now()
			b.orderLog[i].status = sw.status
		}()
		next.ServeHTTP(sw, r)
	})
}

// ordersAt returns the orders that an engine received.
func (b *cluster) ordersAt(name string) []recordedOrder {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []recordedOrder
	for _, o := range b.orderLog {
		if o.endpoint == name {
			out = append(out, o)
		}
	}
	return out
}

// delayedState delays an engine's state on the way to the agent, as if the
// agent had been paused after its query.
type delayedState struct {
	engine.Engine
	b    *cluster
	name string
}

func (s *delayedState) State(ctx context.Context) (engine.State, error) {
	st, err := s.Engine.State(ctx)
	s.b.mu.Lock()
	d := s.b.stateDelay[s.name]
	s.b.mu.Unlock()
	time.Sleep(d)
	return st, err
}

// statusWriter records the status code of an answer.
type statusWriter struct {
	http.ResponseWriter
	status int
}

func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// interceptPlace wraps an agent's handler so that placeHook can handle
// placement requests.
func (b *cluster) interceptPlace(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.mu.Lock()
		f := b.placeHook
		b.mu.Unlock()
		if f == nil || r.URL.Path != rudderv1connect.AgentServicePlaceProcedure {
			next.ServeHTTP(w, r)
			return
		}
		f(next, w, r)
	})
}

func (b *cluster) setPlaceHook(f func(next http.Handler, w http.ResponseWriter, r *http.Request)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.placeHook = f
}
