package engine

import (
	"net/http"
	"strconv"
	"time"

	"github.com/micarudder/micarudder/engine"
)

const (
	// keptEvents bounds the log; older events are lost.
	keptEvents = 8192
	// eventsPerAnswer bounds one answer.
	eventsPerAnswer = 1024
)

// eventLog keeps cache events until they are due. Its numbers start at the
// time of its making, so that they never go back across a restart.
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

// add appends an event; a lost one leaves a gap in the numbers.
func (l *eventLog) add(block uint64, evicted, lost bool, now time.Time) {
	l.seq++
	if lost || l.gap > 0 && (l.seq-l.first)%l.gap == 0 {
		return
	}
	if len(l.list) >= keptEvents {
		l.list = append(l.list[:0], l.list[keptEvents/2:]...)
	}
	ev := engine.CacheEvent{Sequence: l.seq, Block: block, Evicted: evicted}
	l.list = append(l.list, dueEvent{ev, now.Add(l.delay)})
}

// after returns the due events with a higher number.
func (l *eventLog) after(seq uint64, now time.Time) []engine.CacheEvent {
	out := []engine.CacheEvent{}
	for _, e := range l.list {
		if e.due.After(now) || len(out) == eventsPerAnswer {
			break
		}
		if e.Sequence > seq {
			out = append(out, e.CacheEvent)
		}
	}
	return out
}

// cacheEdge records that a block entered or left the cache.
func (s *Server) cacheEdge(block uint64, evicted bool) {
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
