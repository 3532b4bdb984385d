package engine

import (
	"net/http"
	"strconv"
	"time"

	"github.com/micarudder/micarudder/engine"
)

const (
	// maxEvents is the capacity of the log; older events are dropped.
	maxEvents = 8192
	// maxEventsPerResponse is the maximum number of events in one response.
	maxEventsPerResponse = 1024
)

// eventLog stores cache events until they are due. Sequence numbers start at the time of its
// creation in microseconds, so that they never decrease across a restart.
type eventLog struct {
	delay time.Duration
	gap   uint64
	first uint64
	seq   uint64
	list  []dueEvent
}

type dueEvent struct {
	engine.CacheEvent
	due time.Time
}

func newEventLog(c Config) *eventLog {
	start := uint64(time.Now().UnixMicro())
	return &eventLog{delay: c.EventDelay, gap: c.EventGap, first: start, seq: start}
}

// add appends an event; a lost event leaves a gap in the sequence numbers.
func (l *eventLog) add(block uint64, evicted, lost bool, now time.Time) {
	l.seq++
	if lost || l.gap > 0 && (l.seq-l.first)%l.gap == 0 {
		return
	}
	if len(l.list) >= maxEvents {
		l.list = append(l.list[:0], l.list[maxEvents/2:]...)
	}
	ev := engine.CacheEvent{Sequence: l.seq, Block: block, Evicted: evicted}
	l.list = append(l.list, dueEvent{ev, now.Add(l.delay)})
}

// after returns the due events with sequence numbers above seq.
func (l *eventLog) after(seq uint64, now time.Time) []engine.CacheEvent {
	out := []engine.CacheEvent{}
	for _, e := range l.list {
		if e.due.After(now) || len(out) == maxEventsPerResponse {
			break
		}
		if e.Sequence > seq {
			out = append(out, e.CacheEvent)
		}
	}
	return out
}

// recordCacheEvent records that a block entered or left the cache.
func (s *Server) recordCacheEvent(block uint64, evicted bool) {
	s.events.add(block, evicted, s.faults.DropCacheEvents, time.Now())
}

func (s *Server) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		badRequest("bad sequence number").write(w)
		return
	}
	s.mu.Lock()
	events := s.events.after(after, time.Now())
	s.mu.Unlock()
	writeJSON(w, engine.CacheEventsBody{Events: events})
}
