package engine

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/micarudder/micarudder/engine"
)

// maxBodyBytes limits a request body; it allows a prompt of sixteen million tokens.
const maxBodyBytes = 64 << 20

// Handler serves the engine's protocol, the faults under /fault and the record of runs under
// /executions. The last two also respond while the engine is frozen.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, h http.HandlerFunc) { mux.Handle(pattern, s.waitWhileFrozen(h)) }
	handle("POST /v1/chat/completions", s.serveCompletion)
	handle("POST /v1/completions", s.serveCompletion)
	handle("GET /v1/models", s.serveModels)
	handle("POST "+engine.PathCancel, s.serveCancel)
	handle("GET "+engine.PathLoad, s.serveLoad)
	handle("GET "+engine.PathCacheEvents, s.serveCacheEvents)
	handle("GET "+engine.PathState, s.serveState)
	handle("POST "+engine.PathOrders, s.serveOrder)
	handle("POST "+engine.PathPrefill, s.servePrefill)
	handle("POST "+engine.PathExport, s.serveExport)
	handle("POST "+engine.PathImport, s.serveImport)
	handle("POST "+engine.PathFree, s.serveFree)
	mux.HandleFunc("GET /fault", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Faults()) })
	mux.HandleFunc("POST /fault", s.serveFault)
	mux.HandleFunc("GET /executions", s.serveExecutions)
	return mux
}

// waitWhileFrozen delays a request while the engine is frozen. Afterwards the request is served
// even if its caller has disconnected, since the engine had received it.
func (s *Server) waitWhileFrozen(h http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		thaw := s.thaw
		s.mu.Unlock()
		<-thaw
		h(w, r)
	})
}

func (s *Server) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Faults
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		writeError(w, http.StatusBadRequest, engine.CodeRefused, err.Error())
		return
	}
	s.SetFaults(f)
	writeJSON(w, f)
}

// serveExecutions sends Counts, or every Execution if the query has list=1.
func (s *Server) serveExecutions(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("list") == "1" {
		writeJSON(w, s.Executions())
		return
	}
	writeJSON(w, s.Counts())
}

// readBody reads a request body of at most maxBodyBytes.
func readBody(r *http.Request) ([]byte, error) {
	if r.ContentLength > maxBodyBytes {
		return nil, errors.New("body too large")
	}
	if r.ContentLength < 0 {
		return io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	}
	body := make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, body)
	return body, err
}

// headerUint parses a decimal header; a missing one is 0.
func headerUint(r *http.Request, name string) (uint64, error) {
	v := r.Header.Get(name)
	if v == "" {
		return 0, nil
	}
	return strconv.ParseUint(v, 10, 63)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, code engine.ErrorCode, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(engine.ErrorBody{Error: engine.ErrorDetail{Code: code, Message: message}})
}

// refusal is the reason why a request was not accepted.
type refusal struct {
	status     int
	code       engine.ErrorCode
	text       string
	retryAfter int // seconds, sent as Retry-After; 0: not sent
}

func (f *refusal) write(w http.ResponseWriter) {
	if f.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(f.retryAfter))
	}
	writeError(w, f.status, f.code, f.text)
}

// refuse returns the refusal of an engine with the fault Refuse, or of a closed one, and counts it.
// The caller holds the lock.
func (s *Server) refuse() *refusal {
	s.refused++
	return &refusal{http.StatusServiceUnavailable, engine.CodeRefused, "the engine refuses work", s.faults.RetryAfterSeconds}
}

// Refused returns the number of such refusals since the process started.
func (s *Server) Refused() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

func badRequest(text string) *refusal {
	return &refusal{http.StatusBadRequest, engine.CodeRefused, text, 0}
}

var (
	errNoMemory  = &refusal{http.StatusInsufficientStorage, engine.CodeNoMemory, "not enough cache memory", 0}
	errDuplicate = &refusal{http.StatusConflict, engine.CodeRefused, "the id is in use", 0}
	errNotFound  = &refusal{http.StatusNotFound, engine.CodeNotFound, "no such run, span or model", 0}
)

// abort breaks the connection without a response.
func abort() { panic(http.ErrAbortHandler) }
