// Package service simulates a plain service: it echoes requests, counts executions, and injects
// faults that are set over HTTP.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/micarudder/micarudder/service"
)

const maxBodyBytes = 8 << 20

// Config configures a simulated service.
type Config struct {
	Name string
	Work time.Duration // duration of each call
}

// Faults are the injected faults; the zero value is a healthy service. POST /fault replaces all of
// them.
type Faults struct {
	// LoseAnswer runs the call and breaks the connection instead of responding.
	LoseAnswer bool `json:"lose_answer,omitempty"`
	// CutAnswer runs the call and breaks the connection halfway through the response.
	CutAnswer bool `json:"cut_answer,omitempty"`
	// Refuse responds with 503 without running the call.
	Refuse bool `json:"refuse,omitempty"`
	// Hang delays every call before it runs. Afterwards it runs even if its caller has
	// disconnected.
	Hang bool `json:"hang,omitempty"`
	// SlowFactor multiplies Work; 0 counts as 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
}

// Echo is the response to a call.
type Echo struct {
	Service string `json:"service"`
	ID      string `json:"id"`
	Key     string `json:"key,omitempty"` // Idempotency-Key of the call
	Method  string `json:"method"`
	Path    string `json:"path"` // with query
	Body    string `json:"body,omitempty"`
	Run     int    `json:"run"` // executions of this id so far
}

// Counts holds the numbers of executions since the process started.
type Counts struct {
	Total  int            `json:"total"`
	ByID   map[string]int `json:"by_id"`
	ByKey  map[string]int `json:"by_key"`  // Idempotency-Key
	ByCall map[string]int `json:"by_call"` // method, path with query, and body
}

// Server is one simulated service.
type Server struct {
	cfg Config

	mu     sync.Mutex
	faults Faults
	thaw   chan struct{} // closed when the service is not frozen
	counts Counts
}

// NewServer returns a service without faults.
func NewServer(cfg Config) *Server {
	s := &Server{cfg: cfg, thaw: make(chan struct{})}
	s.counts = Counts{ByID: map[string]int{}, ByKey: map[string]int{}, ByCall: map[string]int{}}
	close(s.thaw)
	return s
}

// Handler serves every path except /fault and /executions as a call.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.serveCall)
	mux.HandleFunc("POST /fault", s.serveFault)
	mux.HandleFunc("GET /executions", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) })
	return mux
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Hang && !s.faults.Hang {
		s.thaw = make(chan struct{})
	}
	if !f.Hang && s.faults.Hang {
		close(s.thaw)
	}
	s.faults = f
}

// Counts returns a copy of the numbers of executions.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Counts{s.counts.Total, clone(s.counts.ByID), clone(s.counts.ByKey), clone(s.counts.ByCall)}
}

func clone(m map[string]int) map[string]int {
	out := make(map[string]int, len(m))
	for k, n := range m {
		out[k] = n
	}
	return out
}

func (s *Server) faultState() (Faults, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.thaw
}

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	_, thaw := s.faultState()
	<-thaw
	f, _ := s.faultState()
	if f.Refuse {
		http.Error(w, "the service refuses work", http.StatusServiceUnavailable)
		return
	}
	e := s.recordRun(r, string(raw))
	time.Sleep(f.scaledWork(s.cfg.Work))
	s.respond(w, f, e)
}

func (f Faults) scaledWork(d time.Duration) time.Duration {
	if f.SlowFactor <= 0 {
		return d
	}
	return time.Duration(float64(d) * f.SlowFactor)
}

// recordRun counts the execution and returns its echo.
func (s *Server) recordRun(r *http.Request, body string) Echo {
	e := Echo{
		Service: s.cfg.Name,
		ID:      r.Header.Get(service.HeaderRequestID),
		Key:     r.Header.Get("Idempotency-Key"),
		Method:  r.Method,
		Path:    r.URL.RequestURI(),
		Body:    body,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Total++
	s.counts.ByID[e.ID]++
	s.counts.ByCall[strings.TrimSpace(e.Method+" "+e.Path+" "+e.Body)]++
	if e.Key != "" {
		s.counts.ByKey[e.Key]++
	}
	e.Run = s.counts.ByID[e.ID]
	return e
}

func (s *Server) respond(w http.ResponseWriter, f Faults, e Echo) {
	if f.LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	if !f.CutAnswer {
		writeJSON(w, e)
		return
	}
	raw, _ := json.Marshal(e)
	_, _ = w.Write(raw[:len(raw)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func (s *Server) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Faults
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	writeJSON(w, f)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
