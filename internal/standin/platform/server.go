// Package platform is a small stand-in for the platform's key-value service
// and host list, for tests, the demo and benchmarks: everything is in memory,
// and its faults are switched over HTTP or by methods. It runs on real sockets
// and, since it uses the time package only, in a synctest bubble.
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

// maxBody bounds the bytes of a request, which carries its value as base64.
const maxBody = 4 << 20

// Config sets the service up; its zero value is a service without limits on
// its rates and without hosts.
type Config struct {
	// ReadRate and WriteRate are the calls a second that are served, with a
	// burst of one second's calls; zero means no limit.
	ReadRate  float64
	WriteRate float64
	// MaxValue is the largest value in bytes; zero means metastore.MaxValue.
	MaxValue int
	// Hosts is the list at the start.
	Hosts []metastore.Host
	// HostLag is how long a change of a host takes to show in the list.
	HostLag time.Duration
}

// Server is the service. Its methods may be called at any time.
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

// NewServer returns a service in which no key exists.
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
	s.routes()
	return s
}

// Handler returns the service's face: the calls of the key-value service and
// GET /hosts, and besides them the control calls GET and POST /fault, GET
// /counts, POST /snapshot, /restore, /host and /rates, which no fault touches.
func (s *Server) Handler() http.Handler { return s.mux }

// Counts returns the calls received so far.
func (s *Server) Counts() Counts { return s.counts.get() }

// Snapshot copies the store's state aside.
func (s *Server) Snapshot() { s.store.take() }

// Restore puts the last snapshot back, as a disk's older state does, and
// reports whether there was one.
func (s *Server) Restore() bool { return s.store.restore(false) }

// RestoreCluster is Restore into a cluster with a new name, as etcd's own tool
// does it.
func (s *Server) RestoreCluster() bool { return s.store.restore(true) }

// SetHost adds or changes a host; empty fields keep what they were.
func (s *Server) SetHost(h metastore.Host) { s.hosts.set(h) }

// SetHostLag changes the lag of later changes of hosts.
func (s *Server) SetHostLag(lag time.Duration) { s.hosts.setLag(lag) }

// SetRates changes the limits, in calls a second; zero means none.
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

// call is one kind of call: how it is counted and what it does.
type call struct {
	write  bool
	stream bool // its answer has no end
	count  func(*Counts) *int64
	serve  http.HandlerFunc
}

func (s *Server) routes() {
	s.serve("POST "+etcdjson.PathRange, call{count: func(c *Counts) *int64 { return &c.Range }, serve: s.serveRange})
	s.serve("POST "+etcdjson.PathTxn, call{write: true, count: func(c *Counts) *int64 { return &c.Txn }, serve: s.serveTxn})
	s.serve("POST "+etcdjson.PathGrant, call{write: true, count: func(c *Counts) *int64 { return &c.Grant }, serve: s.serveGrant})
	s.serve("POST "+etcdjson.PathKeepAlive, call{write: true, count: func(c *Counts) *int64 { return &c.KeepAlive }, serve: s.serveKeepAlive})
	s.serve("POST "+etcdjson.PathRevoke, call{write: true, count: func(c *Counts) *int64 { return &c.Revoke }, serve: s.serveRevoke})
	s.serve("POST "+etcdjson.PathWatch, call{stream: true, count: func(c *Counts) *int64 { return &c.Watch }, serve: s.serveWatch})
	s.serve("GET "+metastore.DefaultHostsPath, call{count: func(c *Counts) *int64 { return &c.Hosts }, serve: s.serveHosts})
	s.control()
}

// serve registers a call behind the faults and the limits.
func (s *Server) serve(pattern string, c call) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		s.counts.add(c.count)
		if !s.pass(w, r, c.write) {
			return
		}
		f := s.fateOf(c.write)
		if !f.applied {
			panic(http.ErrAbortHandler)
		}
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err != nil {
			writeError(w, http.StatusBadRequest, etcdjson.CodeInvalidArgument, etcdjson.MessageTooLarge)
			return
		}
		faults := s.Faults()
		pause(context.WithoutCancel(r.Context()), faults.Delay)
		if c.stream || faults.AnswerDelay == 0 && f.answered {
			c.serve(w, withBody(r, body))
			return
		}
		s.serveLate(w, withBody(r, body), c, f, faults.AnswerDelay)
	})
}

// pass reports whether the call gets past outage and limits.
func (s *Server) pass(w http.ResponseWriter, r *http.Request, write bool) bool {
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

// serveLate lets the call take effect and delays or drops its answer.
func (s *Server) serveLate(w http.ResponseWriter, r *http.Request, c call, f fate, delay time.Duration) {
	held := &heldAnswer{header: http.Header{}, status: http.StatusOK}
	c.serve(held, r)
	if !f.answered {
		panic(http.ErrAbortHandler)
	}
	pause(r.Context(), delay)
	held.release(w)
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
	answer(w, res, err)
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
		answer(w, res, err)
	}
}

// answer writes a result or the error instead of it.
func answer(w http.ResponseWriter, res any, err error) {
	if errors.Is(err, errLeaseNotFound) {
		writeError(w, http.StatusNotFound, etcdjson.CodeNotFound, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, res)
}

// readBody decodes the request or answers that it cannot be read.
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
