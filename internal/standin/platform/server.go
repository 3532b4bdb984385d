// Package platform simulates the platform's key-value service and host list in memory, for tests,
// the demo and benchmarks. Faults are set over HTTP or by methods. It runs on real sockets and,
// since it depends on no clock but that of package time, in a synctest bubble.
package platform

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/micarudder/micarudder/internal/etcdjson"
	"github.com/micarudder/micarudder/metastore"
	"golang.org/x/time/rate"
)

// maxBody limits the size of a request in bytes; the request contains its value as base64.
const maxBody = 4 << 20

// Config configures the service; the zero value is a service without rate limits and without hosts.
type Config struct {
	// ReadRate and WriteRate are the rate limits in calls per second, with a burst of one second's
	// calls; zero means no limit.
	ReadRate  float64
	WriteRate float64
	// MaxValue is the size of the largest value in bytes; zero means metastore.MaxValue.
	MaxValue int
	// Hosts is the initial list of hosts.
	Hosts []metastore.Host
	// HostLag is the time until a change of a host appears in the list.
	HostLag time.Duration
}

// Server is the simulated service. Its methods are safe for concurrent use.
type Server struct {
	store    *store
	hosts    *hostList
	counts   counter
	maxValue int
	reads    *rate.Limiter
	writes   *rate.Limiter
	mux      *http.ServeMux

	mu     sync.Mutex
	faults Faults
}

// NewServer returns a service without keys.
func NewServer(c Config) *Server {
	s := &Server{
		store:    newStore(),
		hosts:    newHostList(c.HostLag, c.Hosts),
		maxValue: c.MaxValue,
		reads:    newLimiter(c.ReadRate),
		writes:   newLimiter(c.WriteRate),
		mux:      http.NewServeMux(),
	}
	if s.maxValue == 0 {
		s.maxValue = metastore.MaxValue
	}
	s.registerCalls()
	return s
}

// Handler serves the calls of the key-value service and GET /hosts, and the control calls GET and
// POST /fault, GET /counts, POST /snapshot, /restore, /host and /rates, which faults do not affect.
func (s *Server) Handler() http.Handler { return s.mux }

// Counts returns the numbers of calls received so far.
func (s *Server) Counts() Counts { return s.counts.get() }

// Snapshot saves a copy of the store's state.
func (s *Server) Snapshot() { s.store.takeSnapshot() }

// Restore resets the store to the last snapshot, as when an older state of a disk is restored, and
// reports whether there was one.
func (s *Server) Restore() bool { return s.store.restore(false) }

// RestoreCluster is Restore into a cluster with a new id, as etcd's own tool does it.
func (s *Server) RestoreCluster() bool { return s.store.restore(true) }

// SetHost adds or changes a host; empty fields keep their values.
func (s *Server) SetHost(h metastore.Host) { s.hosts.set(h) }

// SetHostLag sets the lag of later changes of hosts.
func (s *Server) SetHostLag(lag time.Duration) { s.hosts.setLag(lag) }

// SetRates sets the rate limits in calls per second; zero means none.
func (s *Server) SetRates(reads, writes float64) {
	setRate(s.reads, reads)
	setRate(s.writes, writes)
}

func newLimiter(perSecond float64) *rate.Limiter {
	l := rate.NewLimiter(rate.Inf, 1)
	if perSecond > 0 {
		l = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
	}
	return l
}

func setRate(l *rate.Limiter, perSecond float64) {
	if perSecond <= 0 {
		l.SetLimit(rate.Inf)
		return
	}
	l.SetLimit(rate.Limit(perSecond))
	l.SetBurst(max(1, int(perSecond)))
}

// call is one kind of call: how it is counted and served.
type call struct {
	write  bool
	stream bool // the response does not end
	count  func(*Counts) *int64
	serve  http.HandlerFunc
}

func (s *Server) registerCalls() {
	s.register("POST "+etcdjson.PathRange, call{count: func(c *Counts) *int64 { return &c.Range }, serve: s.serveRange})
	s.register("POST "+etcdjson.PathTxn, call{write: true, count: func(c *Counts) *int64 { return &c.Txn }, serve: s.serveTxn})
	s.register("POST "+etcdjson.PathGrant, call{write: true, count: func(c *Counts) *int64 { return &c.Grant }, serve: s.serveGrant})
	s.register("POST "+etcdjson.PathKeepAlive, call{write: true, count: func(c *Counts) *int64 { return &c.KeepAlive }, serve: s.serveKeepAlive})
	s.register("POST "+etcdjson.PathRevoke, call{write: true, count: func(c *Counts) *int64 { return &c.Revoke }, serve: s.serveRevoke})
	s.register("POST "+etcdjson.PathWatch, call{stream: true, count: func(c *Counts) *int64 { return &c.Watch }, serve: s.serveWatch})
	s.register("GET "+metastore.DefaultHostsPath, call{count: func(c *Counts) *int64 { return &c.Hosts }, serve: s.serveHosts})
	s.registerControl()
}

// register registers a call subject to faults and rate limits.
func (s *Server) register(pattern string, c call) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		s.counts.add(c.count)
		if !s.admit(w, r, c.write) {
			return
		}
		outcome := s.nextOutcome(c.write)
		if !outcome.applied {
			panic(http.ErrAbortHandler)
		}
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err != nil {
			writeError(w, http.StatusBadRequest, etcdjson.CodeInvalidArgument, etcdjson.MessageTooLarge)
			return
		}
		faults := s.Faults()
		pause(context.WithoutCancel(r.Context()), faults.Delay)
		if c.stream || faults.AnswerDelay == 0 && outcome.answered {
			c.serve(w, withBody(r, body))
			return
		}
		s.serveDelayed(w, withBody(r, body), c, outcome, faults.AnswerDelay)
	})
}

// admit applies outages and rate limits; it reports whether the call is to be served.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, write bool) bool {
	switch s.Faults().Outage {
	case OutageRefuse:
		writeError(w, http.StatusServiceUnavailable, etcdjson.CodeUnavailable, etcdjson.MessageNoLeader)
		return false
	case OutageReset:
		panic(http.ErrAbortHandler)
	case OutageHang:
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	limiter := s.reads
	if write {
		limiter = s.writes
	}
	if !limiter.Allow() {
		s.counts.add(func(c *Counts) *int64 { return &c.Limited })
		writeError(w, http.StatusTooManyRequests, etcdjson.CodeResourceExhausted, etcdjson.MessageTooMany)
		return false
	}
	return true
}

// serveDelayed applies the call and delays or drops its response.
func (s *Server) serveDelayed(w http.ResponseWriter, r *http.Request, c call, outcome callOutcome, delay time.Duration) {
	buffered := &bufferedResponse{header: http.Header{}, status: http.StatusOK}
	c.serve(buffered, r)
	if !outcome.answered {
		panic(http.ErrAbortHandler)
	}
	pause(r.Context(), delay)
	buffered.sendTo(w)
}

func (s *Server) serveRange(w http.ResponseWriter, r *http.Request) {
	var req etcdjson.RangeRequest
	if readBody(w, r, &req) {
		writeJSON(w, http.StatusOK, s.store.read(req, s.Faults().OldReads))
	}
}

func (s *Server) serveTxn(w http.ResponseWriter, r *http.Request) {
	var req etcdjson.TxnRequest
	if !readBody(w, r, &req) {
		return
	}
	for _, op := range append(req.Success, req.Failure...) {
		if op.Put != nil && len(op.Put.Value) > s.maxValue {
			writeError(w, http.StatusBadRequest, etcdjson.CodeInvalidArgument, etcdjson.MessageTooLarge)
			return
		}
	}
	res, err := s.store.txn(req)
	writeResult(w, res, err)
}

func (s *Server) serveGrant(w http.ResponseWriter, r *http.Request) {
	var req etcdjson.GrantRequest
	if readBody(w, r, &req) {
		writeJSON(w, http.StatusOK, s.store.grant(req))
	}
}

func (s *Server) serveKeepAlive(w http.ResponseWriter, r *http.Request) {
	var req etcdjson.KeepAliveRequest
	if readBody(w, r, &req) {
		res := s.store.keepAlive(req)
		writeJSON(w, http.StatusOK, etcdjson.KeepAliveFrame{Result: &res})
	}
}

func (s *Server) serveRevoke(w http.ResponseWriter, r *http.Request) {
	var req etcdjson.RevokeRequest
	if readBody(w, r, &req) {
		res, err := s.store.revoke(req)
		writeResult(w, res, err)
	}
}

// writeResult writes a result, or the error in its place.
func writeResult(w http.ResponseWriter, res any, err error) {
	if errors.Is(err, errLeaseNotFound) {
		writeError(w, http.StatusNotFound, etcdjson.CodeNotFound, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, res)
}

// readBody decodes the request, or responds with an error and reports false.
func readBody(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		writeError(w, http.StatusBadRequest, etcdjson.CodeInvalidArgument, err.Error())
		return false
	}
	return true
}

func writeError(w http.ResponseWriter, status, code int, message string) {
	writeJSON(w, status, etcdjson.Error{Code: code, Message: message})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	if d == 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
