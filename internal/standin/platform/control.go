package platform

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/micarudder/micarudder/metastore"
)

// registerControl registers the calls that control the simulation.
func (s *Server) registerControl() {
	s.mux.HandleFunc("GET /fault", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Faults()) })
	s.mux.HandleFunc("POST /fault", s.controlFault)
	s.mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Counts()) })
	s.mux.HandleFunc("POST /snapshot", func(http.ResponseWriter, *http.Request) { s.Snapshot() })
	s.mux.HandleFunc("POST /restore", s.controlRestore)
	s.mux.HandleFunc("POST /host", s.controlHost)
	s.mux.HandleFunc("POST /rates", s.controlRates)
}

// controlFault changes the faults named in the query or form and keeps the others; clear=true first
// clears all faults.
func (s *Server) controlFault(w http.ResponseWriter, r *http.Request) {
	if err := r.ParseForm(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f, err := s.Faults().changedBy(r.Form)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	writeJSON(w, http.StatusOK, f)
}

// controlRestore restores the last snapshot; cluster=new gives the cluster a new id.
func (s *Server) controlRestore(w http.ResponseWriter, r *http.Request) {
	if !s.store.restore(r.FormValue("cluster") == "new") {
		http.Error(w, "no snapshot was taken", http.StatusConflict)
	}
}

// controlHost sets a host: parameters host, data_centre, state (live, leaving or gone), address,
// and lag, which changes the lag of this and later calls.
func (s *Server) controlHost(w http.ResponseWriter, r *http.Request) {
	if v := r.FormValue("lag"); v != "" {
		lag, err := time.ParseDuration(v)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetHostLag(lag)
	}
	state, err := oneOf(r.FormValue("state"), "", metastore.HostLive, metastore.HostLeaving, HostGone)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if name := r.FormValue("host"); name != "" {
		s.SetHost(metastore.Host{
			Name:       name,
			DataCentre: r.FormValue("data_centre"),
			State:      state,
			Address:    r.FormValue("address"),
		})
	}
}

// controlRates sets both rate limits: parameters reads and writes.
func (s *Server) controlRates(w http.ResponseWriter, r *http.Request) {
	reads, err := strconv.ParseFloat(r.FormValue("reads"), 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writes, err := strconv.ParseFloat(r.FormValue("writes"), 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetRates(reads, writes)
}

// bufferedResponse buffers a response.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (h *bufferedResponse) Header() http.Header { return h.header }

// WriteHeader implements http.ResponseWriter.
func (h *bufferedResponse) WriteHeader(status int) { h.status = status }

// Write implements http.ResponseWriter.
func (h *bufferedResponse) Write(p []byte) (int, error) { return h.body.Write(p) }

// sendTo writes the response to w.
func (h *bufferedResponse) sendTo(w http.ResponseWriter) {
	for name, values := range h.header {
		w.Header()[name] = values
	}
	w.WriteHeader(h.status)
	_, _ = w.Write(h.body.Bytes())
}

// withBody returns r with a body that was already read.
func withBody(r *http.Request, body []byte) *http.Request {
	r.Body = io.NopCloser(bytes.NewReader(body))
	return r
}
