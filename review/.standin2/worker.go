package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// worker is one worker of the platform, which answers as decide says.
type worker struct {
	w           *world
	id, service string
	address     string
	startedMs   int64

	mu   sync.Mutex
	runs []workerRun
}

// workerRun is one run of a request.
type workerRun struct {
	id, tenant  string
	began, last time.Time // last: when it sent its last byte so far
	ended       bool      // whether it ended properly
}

// newWorker starts a worker. serve answers requests; report and order calls are answered by the worker itself.
func (w *world) newWorker(id, service string, serve func(*worker, http.ResponseWriter, *http.Request)) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	out := &worker{w: w, id: id, service: service, address: l.Addr().String(), startedMs: time.Now().UnixMilli()}
	server := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		requestID := r.Header.Get("Request-Id")
		if requestID != "" {
			rw.Header().Set("Request-Id", requestID)
		}
		switch {
		case r.Header.Get("Expect-Instance") != "" && r.Header.Get("Expect-Instance") != id:
			rw.Header().Set("Not-Executed", "1")
			rw.WriteHeader(http.StatusMisdirectedRequest)
		case r.URL.Path == "/health":
			rw.Header().Set("Served-By", id)
		case r.URL.Path == "/report":
			out.report(rw)
		case r.URL.Path == "/order":
			rw.Header().Set("Content-Type", "application/json")
			_, _ = fmt.Fprint(rw, `{"free":232000}`)
		default:
			serve(out, rw, r)
		}
	})}
	go func() { _ = server.Serve(l) }()
	w.closers = append(w.closers, func() { _ = server.Close() })
	return out, nil
}

func (k *worker) report(rw http.ResponseWriter) {
	k.mu.Lock()
	running := 0
	for _, r := range k.runs {
		if !r.ended {
			running++
		}
	}
	k.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(rw, `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting":0,"running":%d,"kvUsed":0,"kvTotal":232000,"handles":0,"pace":1,"tickets":[]}`, running)
}

// begin records that a run begins and returns its number.
func (k *worker) begin(r *http.Request) int {
	k.w.note("%s runs %s for tenant %q", k.id, r.Header.Get("Request-Id"), r.Header.Get("Tenant"))
	k.mu.Lock()
	defer k.mu.Unlock()
	k.runs = append(k.runs, workerRun{id: r.Header.Get("Request-Id"), tenant: r.Header.Get("Tenant"), began: time.Now(), last: time.Now()})
	return len(k.runs) - 1
}

// sent records that a run has sent a part of its answer, or the last one.
func (k *worker) sent(run int, last bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.runs[run].last, k.runs[run].ended = time.Now(), last
}

// runsOf returns the runs of a request.
func (k *worker) runsOf(id string) []workerRun {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []workerRun
	for _, r := range k.runs {
		if r.id == id {
			out = append(out, r)
		}
	}
	return out
}

// announce writes the worker's entry.
func (k *worker) announce(state string) {
	k.w.store.Put("servers/"+k.id, map[string]any{"service": k.service, "address": k.address, "zone": "a", "version": "v1", "slots": 16, "state": state,
		"coldRemainingMs": 0, "sequence": 1, "born": k.startedMs, "stage": "both", "models": []any{}})
}

// refuse answers that the worker is full and has not run the request.
func refuse(rw http.ResponseWriter) {
	rw.Header().Set("Not-Executed", "1")
	rw.WriteHeader(http.StatusServiceUnavailable)
}

// seal is the signature of the answer to a request.
func seal(id string) string { return "seal-" + id }
