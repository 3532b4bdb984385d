package engine

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/micarudder/micarudder/engine"
)

// cancel ends a run, unless the fault IgnoreCancel is set.
func (s *Server) cancel(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faults.IgnoreCancel {
		s.finish(r, canceled)
	}
}

func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	id, refused := readID(r)
	if refused != nil {
		refused.write(w)
		return
	}
	s.mu.Lock()
	rn := s.runs[id]
	s.mu.Unlock()
	if rn == nil {
		errNotFound.write(w)
		return
	}
	s.cancel(rn)
	writeJSON(w, struct{}{})
}

func readID(r *http.Request) (string, *refusal) {
	var b engine.IDBody
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		return "", badRequest(err.Error())
	}
	return b.ID, nil
}

// serveLoad sends a load report that may be as old as LoadLag.
func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	s.mu.Lock()
	if s.load.At.IsZero() || now.Sub(s.load.At) >= s.cfg.LoadLag {
		s.load = s.currentLoad(now)
	}
	l := s.load
	if f := s.faults.FalseLoad; f != nil {
		l = *f
		l.At = now
	}
	s.mu.Unlock()
	writeJSON(w, l)
}

func (s *Server) currentLoad(now time.Time) engine.Load {
	waiting := s.batch.waiting()
	return engine.Load{
		Running:      s.batch.len() - waiting,
		Waiting:      waiting,
		MemoryTokens: s.cfg.MemoryTokens,
		FreeTokens:   s.mem.free(),
		At:           now,
	}
}

// State returns the incarnation, runs, load, held spans, models and order state of the engine.
func (s *Server) State() engine.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := engine.State{
		Incarnation: s.incarnation(),
		Running:     slices.Sorted(maps.Keys(s.runs)),
		Load:        s.currentLoad(time.Now()),
	}
	for _, id := range slices.Sorted(maps.Keys(s.held)) {
		h := s.held[id]
		st.Held = append(st.Held, engine.HeldMemory{ID: h.id, Owner: h.owner, Tokens: h.memory})
	}
	s.control.describe(&st)
	return st
}

func (s *Server) serveState(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.State()) }

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

// serveModels sends the list of loaded models.
func (s *Server) serveModels(w http.ResponseWriter, _ *http.Request) {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range s.State().Models {
		if !m.Loading {
			list.Data = append(list.Data, modelItem{ID: m.Name, Object: "model"})
		}
	}
	writeJSON(w, list)
}
