package metastore

import "time"

// An older answer may come from a replica that lags; only several in a row,
// over some time, mean that the store was restored.
const (
	restoreReplies = 3
	restoreAfter   = 2 * time.Second
)

// verdict is what history says about one answer.
type verdict int

const (
	current  verdict = iota
	old              // older than one seen before; not to be used
	restored         // the store's history starts anew at this answer
)

// suspicion counts the older answers in a row.
type suspicion struct {
	older int
	since time.Time
}

// confirm counts one more and reports whether they are enough.
func (s *suspicion) confirm(now time.Time) bool {
	if s.older == 0 {
		s.since = now
	}
	s.older++
	return s.older >= restoreReplies && now.Sub(s.since) >= restoreAfter
}

// history decides whether answers belong to the store's latest state. It
// relies on three properties of the service: an answer to a request is never
// older than an answer received before the request was sent, a write that took
// effect is newer than it, and all answers name the same cluster.
type history struct {
	high    int64  // highest revision seen
	cluster string // empty until the first answer
	epoch   int    // counts the restores
	suspicion
}

// mark is what was known when a request was sent.
type mark struct {
	high  int64
	epoch int
}

// answer is what an answer says about the store's state.
type answer struct {
	revision int64
	cluster  string
	wrote    bool // the revision is that of the request's own change
}

// mark returns what is known now.
func (h *history) mark() mark { return mark{high: h.high, epoch: h.epoch} }

// observe judges the answer to a request that was sent at m.
func (h *history) observe(m mark, a answer, now time.Time) verdict {
	if !h.foreign(a) && a.revision >= h.lowest(m, a) {
		h.high = max(h.high, a.revision)
		h.cluster = a.cluster
		h.suspicion = suspicion{}
		return current
	}
	if !h.confirm(now) {
		return old
	}
	*h = history{high: a.revision, cluster: a.cluster, epoch: h.epoch + 1}
	return restored
}

// foreign reports whether an answer comes from another cluster, as a restored
// one is.
func (h *history) foreign(a answer) bool { return h.cluster != "" && a.cluster != h.cluster }

// lowest returns the lowest revision that an answer may have.
func (h *history) lowest(m mark, a answer) int64 {
	if m.epoch != h.epoch {
		return 0
	}
	if a.wrote {
		return m.high + 1
	}
	return m.high
}
