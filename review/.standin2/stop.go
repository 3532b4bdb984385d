package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// The route of the case is that of grid-digest on the sheet: 133,000 tokens in, 16 events out, an objective of
// 2,500 ms, pauses of 1,000 ms and a time limit of 15,000 ms.
const (
	digestTokens   = "133000,640"
	digestEvents   = 16
	digestDeadline = 15 * time.Second
	digestPause    = 700 * time.Millisecond
	// sendAfter is how long after the stop signal the request is sent. The platform notices two misses by 2 s.
	sendAfter = 800 * time.Millisecond
	lossSlack = 200 * time.Millisecond
)

func (w *world) configureDigest() {
	w.store.Put("op/config", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{"name": "digest", "host": caseHost, "pathPrefix": "/digest/", "kind": "streaming", "service": "llm", "timeoutMs": 15000, "targetLatencyMs": 2500,
			"targetGapMs": 1000, "maxAttempts": 2, "priority": 1, "resumeStreams": true, "stickySessions": true}},
		"services": []any{map[string]any{"name": "llm", "healthPath": "/health", "maxConnections": 264, "engine": map[string]any{
			"slots": 16, "kvCapacityTokens": 232000, "stride": 43, "step_ms": 1.02, "per_seq_ms": 0.00226, "context_per_k": 0.00431, "read_per_s": 206000.0, "pairs_per_m": 0.138, "chunk": 2048}}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "t1", "apiKeys": []string{"k1"}}},
	})
}

// serveDigest answers with a stream. A worker has room for one such prompt; full is set while requests of other
// callers take that of the worker.
func serveDigest(busy, full *atomic.Bool) func(*worker, http.ResponseWriter, *http.Request) {
	return func(k *worker, rw http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Request-Id")
		if full.Load() || !busy.CompareAndSwap(false, true) {
			k.w.note("%s is full and rejects %s", k.id, id)
			refuse(rw)
			return
		}
		defer busy.Store(false)
		run := k.begin(r)
		rw.Header().Set("Content-Type", "text/event-stream")
		rw.Header().Set("Response-Seal", seal(id))
		for n := 1; n <= digestEvents; n++ {
			select {
			case <-r.Context().Done():
				k.w.note("%s drops %s, whose channel was closed", k.id, id)
				return
			case <-time.After(digestPause):
			}
			_, _ = fmt.Fprintf(rw, "id: %d\ndata: %s %d\n\n", n, id, n)
			rw.(http.Flusher).Flush()
			k.sent(run, n == digestEvents)
		}
	}
}

// playStop stops a relay while a request waits that a full worker has rejected. Two workers: one works on a
// long request, the other is full with requests of other callers.
func playStop(w *world, trouble bool) (string, error) {
	w.configureDigest()
	var busy, full [2]atomic.Bool
	var workers []*worker
	for i := range 2 {
		k, err := w.newWorker(fmt.Sprintf("i-%d", i+1), "llm", serveDigest(&busy[i], &full[i]))
		if err != nil {
			return "", err
		}
		k.announce("ready")
		workers = append(workers, k)
	}
	relays, err := w.newRelays(1)
	if err != nil {
		return "", err
	}
	p := relays[0]
	if err := p.start(true); err != nil {
		return "", err
	}
	if err := p.waitReady(10 * time.Second); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second) // the relay reads the list of workers
	digest := func(id string) request {
		return request{id: id, method: http.MethodPost, path: "/digest/x", key: "k1", deadline: digestDeadline,
			header: map[string]string{"Model": "m", "Token-Usage": digestTokens, "Prompt-Prefix": "aa" + id + ":133000"}}
	}
	first := make(chan answer, 1)
	go func() { first <- send(p.address(), digest("first")) }()
	time.Sleep(2 * digestPause) // its first event has arrived
	for i, k := range workers {
		if len(k.runsOf("first")) == 0 {
			full[i].Store(true)
			w.note("%s is full with requests of other callers", k.id)
		}
	}
	stopped := time.Now()
	if trouble {
		if err := p.signal(syscall.SIGTERM); err != nil {
			return "", err
		}
	}
	time.Sleep(sendAfter)
	w.note("the client sends second")
	second := send(p.address(), digest("second"))
	w.note("answered %v", second)
	w.note("answered %v", <-first)
	if trouble {
		select {
		case <-p.done:
		case <-time.After(2 * time.Second):
		}
		w.note("%s ended: %v", p.name, time.Since(stopped) < graceTime+time.Second)
	}
	return judgeStop(second, workers, stopped, trouble), nil
}

// judgeStop applies the rule LOST around a SIGTERM to the request: its channel closed with no complete answer.
func judgeStop(a answer, workers []*worker, stopped time.Time, trouble bool) string {
	if a.err == nil && a.status != 0 {
		return ""
	}
	switch {
	case a.ended.Sub(a.sent) >= digestDeadline:
		return "" // its time limit was reached
	case trouble && a.ended.After(stopped.Add(graceTime+time.Second)):
		return "" // later than 1 s after the grace time
	case a.ended.Sub(a.sent) <= lossSlack:
		return ""
	}
	for _, k := range workers {
		for _, r := range k.runsOf(a.id) {
			if r.last.After(stopped.Add(graceTime * 5 / 6)) {
				return "" // its worker was still at work in the last sixth of the grace time
			}
		}
	}
	return strings.TrimSpace(fmt.Sprintf("LOST: %s was sent %v after the SIGTERM and read, no worker was at work on it, and its channel was closed with no answer %v later: %v",
		a.id, a.sent.Sub(stopped).Round(time.Millisecond), a.ended.Sub(a.sent).Round(time.Millisecond), a.err))
}
