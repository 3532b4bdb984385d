// Package weights simulates the weight store: GET /weights/NAME sends as many bytes as the weights
// have, at a rate shared by all readers.
package weights

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"

	"golang.org/x/time/rate"
)

// chunkBytes is the number of bytes sent at a time.
const chunkBytes = 64 << 10

// Config configures a weight store.
type Config struct {
	BytesPerSecond float64          // shared by all readers
	DefaultBytes   int64            // length of weights not in Sizes
	Sizes          map[string]int64 // bytes by name; 0 means not found
}

// Faults are the injected faults. POST /fault replaces all of them.
type Faults struct {
	// Refuse responds with 503.
	Refuse bool `json:"refuse,omitempty"`
	// CutAfterBytes breaks each download after this many bytes.
	CutAfterBytes int64 `json:"cut_after_bytes,omitempty"`
}

// Reads counts started downloads and bytes sent.
type Reads struct {
	ByName map[string]int `json:"by_name"`
	Bytes  int64          `json:"bytes"`
}

// Server is one simulated weight store.
type Server struct {
	cfg     Config
	limiter *rate.Limiter

	mu     sync.Mutex
	faults Faults
	reads  Reads
}

// NewServer returns a weight store without faults.
func NewServer(cfg Config) *Server {
	return &Server{
		cfg:     cfg,
		limiter: rate.NewLimiter(rate.Limit(cfg.BytesPerSecond), chunkBytes),
		reads:   Reads{ByName: map[string]int{}},
	}
}

// Handler serves the weights, the faults under /fault and the counts of reads under /executions.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{name}", s.serveWeights)
	mux.HandleFunc("POST /fault", s.serveFault)
	mux.HandleFunc("GET /executions", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.Reads())
	})
	return mux
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Reads returns a copy of the counts.
func (s *Server) Reads() Reads {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := Reads{ByName: map[string]int{}, Bytes: s.reads.Bytes}
	for k, n := range s.reads.ByName {
		r.ByName[k] = n
	}
	return r
}

func (s *Server) size(name string) int64 {
	if n, ok := s.cfg.Sizes[name]; ok {
		return n
	}
	return s.cfg.DefaultBytes
}

func (s *Server) serveWeights(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	size := s.size(name)
	if size <= 0 {
		http.Error(w, "no such weights", http.StatusNotFound)
		return
	}
	f := s.beginRead(name)
	if f.Refuse {
		http.Error(w, "the store refuses reads", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	end := size
	if f.CutAfterBytes > 0 {
		end = min(end, f.CutAfterBytes)
	}
	s.send(r.Context(), w, end)
	if end < size {
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) beginRead(name string) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faults.Refuse {
		s.reads.ByName[name]++
	}
	return s.faults
}

// send writes n bytes at the shared rate.
func (s *Server) send(ctx context.Context, w http.ResponseWriter, n int64) {
	chunk := make([]byte, chunkBytes)
	for n > 0 {
		part := min(n, chunkBytes)
		if s.limiter.WaitN(ctx, int(part)) != nil {
			return
		}
		if _, err := w.Write(chunk[:part]); err != nil {
			return
		}
		n -= part
		s.mu.Lock()
		s.reads.Bytes += part
		s.mu.Unlock()
	}
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
	_ = json.NewEncoder(w).Encode(f)
}
