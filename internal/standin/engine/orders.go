package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/micarudder/micarudder/engine"
)

// orderBook is what orders have made of the engine.
type orderBook struct {
	models  []engine.Model
	loading *engine.Model
	role    string
	fence   uint64 // highest seen, if the engine checks
	lastID  string
	busy    bool
}

func newOrderBook(c Config) *orderBook {
	b := &orderBook{role: c.Role}
	for _, m := range c.Models {
		parts := strings.Split(m, "+")
		name, version, _ := strings.Cut(parts[0], "@")
		b.models = append(b.models, engine.Model{Name: name, Version: version, Adapters: parts[1:]})
	}
	return b
}

func (b *orderBook) find(name, version string) int {
	return slices.IndexFunc(b.models, func(m engine.Model) bool { return m.Name == name && m.Version == version })
}

// served is what a run uses: a copy of a model, and maybe an adapter of it.
type served struct{ model, version, adapter string }

// resolve finds what a request names: a model by its name or as NAME@VERSION,
// or an adapter with or without its version; the one loaded last.
func (b *orderBook) resolve(name string) (served, bool) {
	named := func(id string) bool { return id == name || strings.HasPrefix(id, name+"@") }
	for _, m := range slices.Backward(b.models) {
		if m.Name == name || named(m.Name+"@"+m.Version) {
			return served{m.Name, m.Version, ""}, true
		}
		for _, a := range slices.Backward(m.Adapters) {
			if named(a) {
				return served{m.Name, m.Version, a}, true
			}
		}
	}
	return served{}, false
}

func (b *orderBook) serves(name string) bool {
	_, ok := b.resolve(name)
	return ok
}

// holds tells whether what a run uses is still loaded.
func (b *orderBook) holds(s served) bool {
	i := b.find(s.model, s.version)
	return i >= 0 && (s.adapter == "" || slices.Contains(b.models[i].Adapters, s.adapter))
}

func (b *orderBook) describe(st *engine.State) {
	for _, m := range b.models {
		m.Adapters = slices.Clone(m.Adapters)
		st.Models = append(st.Models, m)
	}
	if b.loading != nil {
		st.Models = append(st.Models, *b.loading)
	}
	st.Role = b.role
	st.Fence = b.fence
	st.OrderID = b.lastID
	st.OrderBusy = b.busy
}

// carryOut applies an order whose weights are there.
func (b *orderBook) carryOut(o engine.Order) error {
	i := b.find(o.Model, o.Version)
	switch o.Kind {
	case engine.OrderSetRole:
		b.role = o.Role
		return nil
	case engine.OrderLoadModel:
		if i < 0 {
			b.models = append(b.models, engine.Model{Name: o.Model, Version: o.Version})
		}
		return nil
	}
	if i < 0 {
		return errors.New("no such model")
	}
	m := &b.models[i]
	m.Adapters = slices.DeleteFunc(m.Adapters, func(a string) bool { return a == o.Adapter })
	switch o.Kind {
	case engine.OrderUnloadModel:
		b.models = slices.Delete(b.models, i, i+1)
	case engine.OrderLoadAdapter:
		m.Adapters = append(m.Adapters, o.Adapter)
	}
	return nil
}

// takeOrder checks an order and marks the engine busy with it; done says that
// the order is the last one, finished before.
func (s *Server) takeOrder(o engine.Order) (done bool, refused *refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.shop
	switch {
	case s.faults.Refuse || s.closed:
		return false, s.refusing()
	case len(s.cfg.Callers) > 0 && !slices.Contains(s.cfg.Callers, o.From):
		return false, &refusal{http.StatusForbidden, engine.CodeRefused, "not one of this engine's callers", 0}
	case s.cfg.ChecksFencing && o.Fence < b.fence:
		return false, &refusal{http.StatusConflict, engine.CodeOldFence, "a higher fencing number was seen", 0}
	case o.ID != "" && o.ID == b.lastID:
		return true, nil
	case b.busy:
		return false, &refusal{http.StatusConflict, engine.CodeRefused, "busy with another order", 0}
	case !knownKinds[o.Kind]:
		return false, badRequest("unknown kind of order")
	}
	if s.cfg.ChecksFencing {
		b.fence = o.Fence
	}
	b.busy = true
	if o.Kind == engine.OrderLoadModel {
		b.loading = &engine.Model{Name: o.Model, Version: o.Version, Loading: true}
	}
	return false, nil
}

var knownKinds = map[engine.OrderKind]bool{
	engine.OrderLoadModel:     true,
	engine.OrderUnloadModel:   true,
	engine.OrderLoadAdapter:   true,
	engine.OrderUnloadAdapter: true,
	engine.OrderSetRole:       true,
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		badRequest(err.Error()).write(w)
		return
	}
	done, refused := s.takeOrder(o)
	if refused != nil {
		refused.write(w)
		return
	}
	var err error
	if !done {
		err = s.workOff(r.Context(), o)
	}
	if s.Faults().LoseOrderAnswer {
		abort()
	}
	if err != nil {
		writeError(w, http.StatusInternalServerError, engine.CodeFailed, err.Error())
		return
	}
	writeJSON(w, struct{}{})
}

// workOff does an order's work, which goes on when the caller leaves.
func (s *Server) workOff(ctx context.Context, o engine.Order) error {
	s.mu.Lock()
	book, crashed := s.shop, s.crashed
	s.mu.Unlock()
	result := make(chan error, 1)
	s.work.Go(func() {
		err := s.fetchWeights(o, crashed)
		s.awaitThaw()
		result <- s.closeOrder(book, o, err)
	})
	select {
	case err := <-result:
		return err
	case <-crashed:
		abort()
	case <-ctx.Done():
	}
	return ctx.Err()
}

// closeOrder puts the order into effect and frees the book for the next.
func (s *Server) closeOrder(b *orderBook, o engine.Order, err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	b.busy = false
	b.loading = nil
	if err == nil && s.faults.FailOrders {
		err = errors.New("the engine fails its orders")
	}
	if err == nil {
		err = b.carryOut(o)
	}
	if err == nil {
		b.lastID = o.ID
		s.endUnserved(b)
	}
	return err
}

// endUnserved ends the runs whose model or adapter is gone, as an engine does
// that frees their memory.
func (s *Server) endUnserved(b *orderBook) {
	for _, r := range s.runs {
		if b == s.shop && !b.holds(r.uses) {
			s.finish(r, died)
		}
	}
}

// fetchWeights reads an order's weights from the store, which paces it.
func (s *Server) fetchWeights(o engine.Order, crashed <-chan struct{}) error {
	if o.Weights == "" || s.cfg.WeightsURL == "" {
		return nil
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() {
		select {
		case <-crashed:
			stop()
		case <-ctx.Done():
		}
	}()
	target := strings.TrimSuffix(s.cfg.WeightsURL, "/") + "/weights/" + url.PathEscape(o.Weights)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return err
	}
	resp, err := s.weightClient().Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("weight store: status %d", resp.StatusCode)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

func (s *Server) weightClient() *http.Client {
	if s.cfg.HTTPClient != nil {
		return s.cfg.HTTPClient
	}
	return http.DefaultClient
}
