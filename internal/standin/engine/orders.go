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

// controlState is the state that orders change.
type controlState struct {
	models  []engine.Model
	loading *engine.Model
	role    string
	fence   uint64 // highest seen, if the engine checks fencing numbers
	lastID  string
	busy    bool
}

func newControlState(c Config) *controlState {
	b := &controlState{role: c.Role}
	for _, m := range c.Models {
		parts := strings.Split(m, "+")
		name, version, _ := strings.Cut(parts[0], "@")
		b.models = append(b.models, engine.Model{Name: name, Version: version, Adapters: parts[1:]})
	}
	return b
}

func (b *controlState) find(name, version string) int {
	return slices.IndexFunc(b.models, func(m engine.Model) bool { return m.Name == name && m.Version == version })
}

// loadedModel is what a run uses: a version of a model, and optionally an adapter of it.
type loadedModel struct{ model, version, adapter string }

// resolve finds the most recently loaded match of a name in a request: a model by its name or as
// NAME@VERSION, or an adapter with or without its version.
func (b *controlState) resolve(name string) (loadedModel, bool) {
	matches := func(id string) bool { return id == name || strings.HasPrefix(id, name+"@") }
	for _, m := range slices.Backward(b.models) {
		if m.Name == name || matches(m.Name+"@"+m.Version) {
			return loadedModel{m.Name, m.Version, ""}, true
		}
		for _, a := range slices.Backward(m.Adapters) {
			if matches(a) {
				return loadedModel{m.Name, m.Version, a}, true
			}
		}
	}
	return loadedModel{}, false
}

func (b *controlState) serves(name string) bool {
	_, ok := b.resolve(name)
	return ok
}

// isLoaded reports whether a model and its adapter are still loaded.
func (b *controlState) isLoaded(s loadedModel) bool {
	i := b.find(s.model, s.version)
	return i >= 0 && (s.adapter == "" || slices.Contains(b.models[i].Adapters, s.adapter))
}

func (b *controlState) describe(st *engine.State) {
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

// applyOrder applies an order after its weights have been read.
func (b *controlState) applyOrder(o engine.Order) error {
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

// beginOrder checks an order and marks the engine busy with it; done reports that the order is the
// last one that was executed.
func (s *Server) beginOrder(o engine.Order) (done bool, refused *refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.control
	switch {
	case s.faults.Refuse || s.closed:
		return false, s.refuse()
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
	done, refused := s.beginOrder(o)
	if refused != nil {
		refused.write(w)
		return
	}
	var err error
	if !done {
		err = s.executeOrder(r.Context(), o)
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

// executeOrder does an order's work, which continues if the caller disconnects.
func (s *Server) executeOrder(ctx context.Context, o engine.Order) error {
	s.mu.Lock()
	control, crashed := s.control, s.crashed
	s.mu.Unlock()
	result := make(chan error, 1)
	s.tasks.Go(func() {
		err := s.fetchWeights(o, crashed)
		s.awaitThaw()
		result <- s.finishOrder(control, o, err)
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

// finishOrder applies the order and clears the busy state.
func (s *Server) finishOrder(b *controlState, o engine.Order, err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	b.busy = false
	b.loading = nil
	if err == nil && s.faults.FailOrders {
		err = errors.New("the engine fails its orders")
	}
	if err == nil {
		err = b.applyOrder(o)
	}
	if err == nil {
		b.lastID = o.ID
		s.endRunsWithoutModel(b)
	}
	return err
}

// endRunsWithoutModel ends the runs whose model or adapter was unloaded, as an engine does that
// frees their memory.
func (s *Server) endRunsWithoutModel(b *controlState) {
	for _, r := range s.runs {
		if b == s.control && !b.isLoaded(r.model) {
			s.finish(r, died)
		}
	}
}

// fetchWeights reads an order's weights from the weight store, whose rate determines how long the
// load takes.
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
