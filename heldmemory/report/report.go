// Package report tells operators what the memory of a process holds: by metrics, and by log lines while it grows, so
// that the last lines of a process that was killed for its memory say what filled it.
package report

import (
	"runtime"
	"runtime/metrics"
	"time"

	vm "github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"github.com/micarudder/micarudder/heldmemory"
)

const (
	// stepBytes is the growth of the memory of a process between two log lines.
	stepBytes = 32 << 20
	// checkInterval is how often the memory is measured.
	checkInterval = 250 * time.Millisecond
)

// Samples of the runtime: its memory, and the part of that which the system has back.
const (
	totalMemory    = "/memory/classes/total:bytes"
	releasedMemory = "/memory/classes/heap/released:bytes"
)

// Report reports on the memory of a process. Its methods must not be called concurrently.
type Report struct {
	bodies    *heldmemory.Bodies
	responses *heldmemory.Responses
	log       *log.Logger
	steps     steps
	checkedAt time.Time
	samples   []metrics.Sample
}

// New returns a report on these accounts, and exports them as metrics.
func New(bodies *heldmemory.Bodies, responses *heldmemory.Responses, set *vm.Set, l *log.Logger) *Report {
	set.NewGauge("relay_body_memory_bytes", func() float64 { return float64(bodies.Held()) })
	set.NewGauge("relay_unfinished_head_bytes", func() float64 { return float64(bodies.HeldHeads()) })
	for _, p := range heldmemory.Parts() {
		set.NewGauge(`relay_response_memory_bytes{part="`+p.String()+`"}`, func() float64 { return float64(responses.Held(p)) })
	}
	set.NewGauge("relay_response_memory_refusals", func() float64 { return float64(responses.Refusals()) })
	return &Report{bodies: bodies, responses: responses, log: l, samples: []metrics.Sample{{Name: totalMemory}, {Name: releasedMemory}}}
}

// Check logs what holds the memory if it has grown by a step. requests is the number of requests under way. It
// measures at most once in checkInterval.
func (r *Report) Check(requests int64, now time.Time) {
	if now.Sub(r.checkedAt) < checkInterval {
		return
	}
	r.checkedAt = now
	metrics.Read(r.samples)
	used := int64(r.samples[0].Value.Uint64() - r.samples[1].Value.Uint64())
	if !r.steps.grew(used) {
		return
	}
	fields := []any{"used_bytes", used, "bodies_bytes", r.bodies.Held(), "unfinished_heads_bytes", r.bodies.HeldHeads()}
	for _, p := range heldmemory.Parts() {
		fields = append(fields, p.String()+"_bytes", r.responses.Held(p))
	}
	fields = append(fields, "refusals", r.responses.Refusals(), "in_flight", requests, "goroutines", runtime.NumGoroutine())
	r.log.Info("Memory use grew.", fields...)
}

// steps decides when a size has grown enough to be logged.
type steps struct {
	logged int64 // the last size that was logged, or a smaller one since
}

// grew reports whether the size is a step larger than when it was logged. A size that has shrunk by two steps is
// logged again when it grows.
func (s *steps) grew(size int64) bool {
	if size < s.logged-2*stepBytes {
		s.logged = size
	}
	if size < s.logged+stepBytes {
		return false
	}
	s.logged = size
	return true
}
