package metastore

import "time"

// Thresholds for detecting a restored store. A stale response may come from a
// lagging replica, so a restore is assumed only after restoreMinResponses
// consecutive stale responses that span at least restoreMinDuration.
const (
	restoreMinResponses = 3
	restoreMinDuration  = 2 * time.Second
)

// freshness is how the state of a response compares with the states seen
// before.
type freshness int

const (
	current  freshness = iota
	stale              // older than a state seen before; the response must not be used
	restored           // the store was restored; its history restarts at this response
)

// restoreDetector counts consecutive stale responses.
type restoreDetector struct {
	staleCount int
	since      time.Time
}

// recordStale counts one stale response and reports whether a restore is now
// confirmed.
func (s *restoreDetector) recordStale(now time.Time) bool {
	if s.staleCount == 0 {
		s.since = now
	}
	s.staleCount++
	return s.staleCount >= restoreMinResponses && now.Sub(s.since) >= restoreMinDuration
}

// history decides whether responses belong to the store's latest state. It
// relies on three properties of the service: a response is never older than any
// response received before its request was sent; a write that took effect is
// newer than those; and all responses name the same cluster.
type history struct {
	highest int64  // highest revision seen so far
	cluster string // empty before the first response
	epoch   int    // number of restores so far
	restoreDetector
}

// baseline is the known store state at the moment a request is sent.
type baseline struct {
	highest int64
	epoch   int
}

// storeState is what a response reports about the state of the store.
type storeState struct {
	revision int64
	cluster  string
	wrote    bool // revision is that of the change made by the request itself
}

// baseline returns the known store state.
func (h *history) baseline() baseline { return baseline{highest: h.highest, epoch: h.epoch} }

// observe classifies the response to a request that was sent at baseline base.
func (h *history) observe(base baseline, s storeState, now time.Time) freshness {
	if !h.otherCluster(s) && s.revision >= h.minRevision(base, s) {
		h.highest = max(h.highest, s.revision)
		h.cluster = s.cluster
		h.restoreDetector = restoreDetector{}
		return current
	}
	if !h.recordStale(now) {
		return stale
	}
	*h = history{highest: s.revision, cluster: s.cluster, epoch: h.epoch + 1}
	return restored
}

// otherCluster reports whether a response comes from another cluster than
// before, as it does after a restore into a new cluster.
func (h *history) otherCluster(s storeState) bool { return h.cluster != "" && s.cluster != h.cluster }

// minRevision returns the lowest revision that a response may have.
func (h *history) minRevision(base baseline, s storeState) int64 {
	if base.epoch != h.epoch {
		return 0
	}
	if s.wrote {
		return base.highest + 1
	}
	return base.highest
}
