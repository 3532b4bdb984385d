package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"

	"github.com/micarudder/micarudder/internal/etcdjson"
	"github.com/micarudder/micarudder/metastore"
)

// view is what a watch sees at one moment.
type view struct {
	events  []etcdjson.Event // changes of the key from the revision asked for
	header  etcdjson.Header
	epoch   int
	changed <-chan struct{} // closed at the key's next change
}

// look returns the changes of key from the revision next on.
func (s *store) look(key string, next int64) view {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed[key] == nil {
		s.changed[key] = make(chan struct{})
	}
	v := view{header: s.state.header(), epoch: s.epoch, changed: s.changed[key]}
	first := sort.Search(len(s.log), func(i int) bool { return int64(s.log[i].Kv.ModRevision) >= next })
	for _, e := range s.log[first:] {
		if string(e.Kv.Key) == key {
			v.events = append(v.events, e)
		}
	}
	return v
}

// oldest returns the key's oldest change still known.
func (s *store) oldest(key string) []etcdjson.Event {
	events := s.look(key, 0).events
	return events[:min(1, len(events))]
}

// gone returns the revision up to which changes are no longer known.
func (s *store) gone() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.compacted
}

// stream serves one watch until the caller leaves, an outage begins or the
// store is restored.
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
	v := s.store.look(string(req.Create.Key), next)
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
	s.counts.watching(1)
	defer s.counts.watching(-1)
	w.Header().Set("Content-Type", "application/json")
	st.send(etcdjson.WatchResponse{Header: v.header, Created: true})
	if gone := s.store.gone(); next <= gone {
		st.send(etcdjson.WatchResponse{Header: v.header, Canceled: true, CompactRevision: etcdjson.Int64(gone)})
		return
	}
	st.run(r.Context())
}

// run sends changes as they come.
func (st *stream) run(ctx context.Context) {
	for {
		f := st.server.Faults()
		v := st.server.store.look(st.key, st.next)
		if v.epoch != st.epoch || f.Outage == OutageReset || f.Outage == OutageRefuse {
			panic(http.ErrAbortHandler)
		}
		if f.Watch != WatchPaused && f.Outage == OutageNone {
			st.pass(v, f)
		}
		select {
		case <-v.changed:
		case <-ctx.Done():
			return
		}
	}
}

// pass sends the changes of a view, and an old one after them when that fault
// is set.
func (st *stream) pass(v view, f Faults) {
	events := v.events
	st.next = max(st.next, int64(v.header.Revision)+1)
	if f.Watch == WatchOld {
		events = append(events, st.server.store.oldest(st.key)...)
	}
	if len(events) > 0 {
		st.send(etcdjson.WatchResponse{Header: v.header, Events: events})
	}
}

// send writes one frame; a caller that has left is noticed by its context.
func (st *stream) send(res etcdjson.WatchResponse) {
	_ = st.out.Encode(etcdjson.WatchFrame{Result: &res})
	_ = st.flush()
}

// History returns the changes of a key still known, oldest first; a deletion
// has a nil Value.
func (s *Server) History(key string) []metastore.Entry {
	var entries []metastore.Entry
	for _, e := range s.store.look(key, 0).events {
		entry := metastore.Entry{Key: key, Revision: int64(e.Kv.ModRevision)}
		if e.Type != etcdjson.EventDelete {
			entry.Value = append([]byte{}, e.Kv.Value...)
		}
		entries = append(entries, entry)
	}
	return entries
}
