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

// orderSeen is one order as it reached an engine.
type orderSeen struct {
	endpoint   string
	order      engine.Order
	begin, end time.Time // end is zero while the engine works on it
	status     int
}

// logged records the orders that reach an engine.
func (b *bubble) logged(name string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != engine.PathOrders {
			next.ServeHTTP(w, r)
			return
		}
		raw, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(raw))
		seen := orderSeen{endpoint: name, begin: time.Now()}
		_ = json.Unmarshal(raw, &seen.order)
		b.mu.Lock()
		at := len(b.orders)
		b.orders = append(b.orders, seen)
		b.mu.Unlock()
		sw := &statusWriter{ResponseWriter: w}
		defer func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.orders[at].end = time.Now()
			b.orders[at].status = sw.status
		}()
		next.ServeHTTP(sw, r)
	})
}

// seen returns the orders that reached an engine.
func (b *bubble) seen(name string) []orderSeen {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []orderSeen
	for _, o := range b.orders {
		if o.endpoint == name {
			out = append(out, o)
		}
	}
	return out
}

// slowState delays an engine's word about its state on the way to the agent,
// as if the agent had been paused after it asked.
type slowState struct {
	engine.Engine
	b    *bubble
	name string
}

func (s *slowState) State(ctx context.Context) (engine.State, error) {
	st, err := s.Engine.State(ctx)
	s.b.mu.Lock()
	d := s.b.delay[s.name]
	s.b.mu.Unlock()
	time.Sleep(d)
	return st, err
}

// statusWriter remembers the status of an answer.
type statusWriter struct {
	http.ResponseWriter
	status int
}

func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// onPlace lets a test stand between placers and an agent.
func (b *bubble) onPlace(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.mu.Lock()
		f := b.place
		b.mu.Unlock()
		if f == nil || r.URL.Path != rudderv1connect.AgentServicePlaceProcedure {
			next.ServeHTTP(w, r)
			return
		}
		f(next, w, r)
	})
}

func (b *bubble) setPlace(f func(next http.Handler, w http.ResponseWriter, r *http.Request)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.place = f
}
