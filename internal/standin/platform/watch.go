package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"

	"github.com/micarudder/micarudder/internal/etcdjson"
	"github.com/micarudder/micarudder/metastore"
)

// view is the state of a key as a watch sees it at one time.
type view struct {
	events  []etcdjson.Event // changes of the key from the requested revision on
	header  etcdjson.Header
	epoch   int
	changed <-chan struct{} // closed at the next change of the key
}

// changesSince returns the changes of key from revision next on.
func (s *store) changesSince(key string, next int64) view {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed[key] == nil {
		s.changed[key] = make(chan struct{})
	}
	v := view{header: s.state.header(), epoch: s.epoch, changed: s.changed[key]}
	first := sort.Search(len(s.history), func(i int) bool { return int64(s.history[i].Kv.ModRevision) >= next })
	for _, e := range s.history[first:] {
		if string(e.Kv.Key) == key {
			v.events = append(v.events, e)
		}
	}
	return v
}

// oldestChange returns the oldest change of the key in the history.
func (s *store) oldestChange(key string) []etcdjson.Event {
	events := s.changesSince(key, 0).events
	return events[:min(1, len(events))]
}

// compactedRevision returns the revision up to which changes are no longer in the history.
func (s *store) compactedRevision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.compacted
}

// stream serves one watch until the caller disconnects, an outage begins or the store is restored.
type stream struct {
	server *Server
	key    string
	next   int64
	epoch  int
	out    *json.Encoder
	flush  func() error
}

// serveWatch answers a request to watch.
func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	var req etcdjson.WatchRequest
	if !readBody(w, r, &req) {
		return
	}
	next := int64(req.Create.StartRevision)
	v := s.store.changesSince(string(req.Create.Key), next)
	if next == 0 {
		next = int64(v.header.Revision) + 1
	}
	st := &stream{
		server: s,
		key:    string(req.Create.Key),
		next:   next,
		epoch:  v.epoch,
		out:    json.NewEncoder(w),
		flush:  http.NewResponseController(w).Flush,
	}
	s.counts.addWatching(1)
	defer s.counts.addWatching(-1)
	w.Header().Set("Content-Type", "application/json")
	st.send(etcdjson.WatchResponse{Header: v.header, Created: true})
	if compacted := s.store.compactedRevision(); next <= compacted {
		st.send(etcdjson.WatchResponse{Header: v.header, Canceled: true, CompactRevision: etcdjson.Int64(compacted)})
		return
	}
	st.run(r.Context())
}

// run sends changes as they occur.
func (st *stream) run(ctx context.Context) {
	for {
		f := st.server.Faults()
		v := st.server.store.changesSince(st.key, st.next)
		if v.epoch != st.epoch || f.Outage == OutageReset || f.Outage == OutageRefuse {
			panic(http.ErrAbortHandler)
		}
		if f.Watch != WatchPaused && f.Outage == OutageNone {
			st.forward(v, f)
		}
		select {
		case <-v.changed:
		case <-ctx.Done():
			return
		}
	}
}

// forward sends the changes of a view, followed by an old one with the fault WatchOld.
func (st *stream) forward(v view, f Faults) {
	events := v.events
	st.next = max(st.next, int64(v.header.Revision)+1)
	if f.Watch == WatchOld {
		events = append(events, st.server.store.oldestChange(st.key)...)
	}
	if len(events) > 0 {
		st.send(etcdjson.WatchResponse{Header: v.header, Events: events})
	}
}

// send writes one frame; a disconnected caller is detected by its context.
func (st *stream) send(res etcdjson.WatchResponse) {
	_ = st.out.Encode(etcdjson.WatchFrame{Result: &res})
	_ = st.flush()
}

// History returns the changes of a key in the history, oldest first; a deletion has a nil Value.
func (s *Server) History(key string) []metastore.Entry {
	var entries []metastore.Entry
	for _, e := range s.store.changesSince(key, 0).events {
		entry := metastore.Entry{Key: key, Revision: int64(e.Kv.ModRevision)}
		if e.Type != etcdjson.EventDelete {
			entry.Value = append([]byte{}, e.Kv.Value...)
		}
		entries = append(entries, entry)
	}
	return entries
}
