package platform

import (
	"bytes"
	"errors"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/micarudder/micarudder/internal/etcdjson"
)

// maxHistory is the number of changes kept for watches that start in the past.
const maxHistory = 10_000

var errLeaseNotFound = errors.New(etcdjson.MessageLeaseNotFound)

// state is the content of a snapshot.
type state struct {
	cluster  int64
	revision int64
	kvs      map[string]etcdjson.KeyValue
	leases   map[int64]time.Duration // TTL
}

// clone returns an independent copy; values are never modified in place.
func (s state) clone() state {
	s.kvs = maps.Clone(s.kvs)
	s.leases = maps.Clone(s.leases)
	return s
}

// store is the key-value service without its HTTP interface.
type store struct {
	mu        sync.Mutex
	state     state
	timers    map[int64]*time.Timer
	expiries  map[int64]time.Time
	nextLease int64
	history   []etcdjson.Event
	compacted int64                    // revisions up to this one are no longer in history
	changed   map[string]chan struct{} // by watched key; closed at its next change
	epoch     int                      // incremented by each restore, which ends the watches
	snapshot  *state
}

func newStore() *store {
	return &store{
		state:     state{cluster: 1, revision: 1, kvs: map[string]etcdjson.KeyValue{}, leases: map[int64]time.Duration{}},
		timers:    map[int64]*time.Timer{},
		expiries:  map[int64]time.Time{},
		nextLease: 1000,
		compacted: 1,
		changed:   map[string]chan struct{}{},
	}
}

// read answers a range request from the current state, or from the last snapshot if stale is set
// and there is one.
func (s *store) read(req etcdjson.RangeRequest, stale bool) etcdjson.RangeResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stale && s.snapshot != nil {
		return s.snapshot.read(req)
	}
	return s.state.read(req)
}

func (s state) read(req etcdjson.RangeRequest) etcdjson.RangeResponse {
	res := etcdjson.RangeResponse{Header: s.header()}
	for _, key := range s.keys(req) {
		res.Count++
		if req.Limit > 0 && len(res.Kvs) == int(req.Limit) {
			res.More = true
			continue
		}
		kv := s.kvs[key]
		if req.KeysOnly {
			kv.Value = nil
		}
		res.Kvs = append(res.Kvs, kv)
	}
	return res
}

// keys returns the requested keys in order. Requests for a single key, the most frequent ones, need
// no search.
func (s state) keys(req etcdjson.RangeRequest) []string {
	if len(req.RangeEnd) == 0 {
		if _, ok := s.kvs[string(req.Key)]; !ok {
			return nil
		}
		return []string{string(req.Key)}
	}
	var keys []string
	for key := range s.kvs {
		if inRange([]byte(key), req.Key, req.RangeEnd) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

func (s state) header() etcdjson.Header {
	return etcdjson.Header{
		ClusterID: strconv.FormatInt(s.cluster, 10),
		Revision:  etcdjson.Int64(s.revision),
	}
}

// inRange reports whether key is in [start, end); an end of one zero byte means no upper bound.
func inRange(key, start, end []byte) bool {
	if bytes.Compare(key, start) < 0 {
		return false
	}
	return bytes.Equal(end, []byte{0}) || bytes.Compare(key, end) < 0
}

// txn runs a transaction atomically; after an error nothing was written.
func (s *store) txn(req etcdjson.TxnRequest) (etcdjson.TxnResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	succeeded := s.compareAll(req.Compare)
	ops := req.Failure
	if succeeded {
		ops = req.Success
	}
	if err := s.checkLeases(ops); err != nil {
		return etcdjson.TxnResponse{}, err
	}
	res := etcdjson.TxnResponse{Succeeded: succeeded}
	for _, op := range ops {
		res.Responses = append(res.Responses, s.apply(op))
	}
	res.Header = s.state.header()
	return res, nil
}

// compareAll reports whether all comparisons succeed.
func (s *store) compareAll(compares []etcdjson.Compare) bool {
	for _, c := range compares {
		if s.state.kvs[string(c.Key)].ModRevision != c.ModRevision {
			return false
		}
	}
	return true
}

// checkLeases returns an error for a put with an unknown lease, before anything is written.
func (s *store) checkLeases(ops []etcdjson.RequestOp) error {
	for _, op := range ops {
		if op.Put == nil || op.Put.Lease == 0 {
			continue
		}
		if _, ok := s.state.leases[int64(op.Put.Lease)]; !ok {
			return errLeaseNotFound
		}
	}
	return nil
}

// apply executes one operation.
func (s *store) apply(op etcdjson.RequestOp) etcdjson.ResponseOp {
	switch {
	case op.Put != nil:
		s.put(*op.Put)
		return etcdjson.ResponseOp{Put: &etcdjson.PutResponse{Header: s.state.header()}}
	case op.DeleteRange != nil:
		deleted := s.remove(string(op.DeleteRange.Key))
		return etcdjson.ResponseOp{DeleteRange: &etcdjson.DeleteRangeResponse{Header: s.state.header(), Deleted: deleted}}
	case op.Range != nil:
		res := s.state.read(*op.Range)
		return etcdjson.ResponseOp{Range: &res}
	default:
		return etcdjson.ResponseOp{}
	}
}

func (s *store) put(req etcdjson.PutRequest) {
	s.state.revision++
	kv := s.state.kvs[string(req.Key)]
	if kv.Version == 0 {
		kv.CreateRevision = etcdjson.Int64(s.state.revision)
	}
	kv.Key = req.Key
	kv.Value = req.Value
	kv.Lease = req.Lease
	kv.ModRevision = etcdjson.Int64(s.state.revision)
	kv.Version++
	s.state.kvs[string(req.Key)] = kv
	s.append(etcdjson.Event{Kv: kv})
}

// remove deletes a key and returns the number of deleted keys.
func (s *store) remove(key string) etcdjson.Int64 {
	if _, ok := s.state.kvs[key]; !ok {
		return 0
	}
	s.state.revision++
	delete(s.state.kvs, key)
	kv := etcdjson.KeyValue{Key: []byte(key), ModRevision: etcdjson.Int64(s.state.revision)}
	s.append(etcdjson.Event{Type: etcdjson.EventDelete, Kv: kv})
	return 1
}

// append adds a change to the history and wakes the watches.
func (s *store) append(e etcdjson.Event) {
	s.history = append(s.history, e)
	if len(s.history) > maxHistory {
		s.compacted = int64(s.history[0].Kv.ModRevision)
		s.history = s.history[1:]
	}
	s.wake(string(e.Kv.Key))
}

// wake wakes the watches of a key.
func (s *store) wake(key string) {
	if c, ok := s.changed[key]; ok {
		close(c)
		delete(s.changed, key)
	}
}

// wakeAll wakes all watches.
func (s *store) wakeAll() {
	for key := range s.changed {
		s.wake(key)
	}
}

// notify is wakeAll with locking.
func (s *store) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wakeAll()
}

// takeSnapshot saves a copy of the state.
func (s *store) takeSnapshot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.state.clone()
	s.snapshot = &c
}

// restore resets the state to the last snapshot, as after a loss: watches end, and leases restart
// with their full TTL. With newCluster the cluster gets a new id. It reports whether there was a
// snapshot.
func (s *store) restore(newCluster bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.snapshot == nil {
		return false
	}
	cluster := s.state.cluster
	s.state = s.snapshot.clone()
	s.state.cluster = cluster
	if newCluster {
		s.state.cluster++
	}
	s.history = nil
	s.compacted = s.state.revision
	s.epoch++
	for id := range s.timers {
		s.stopTimer(id)
	}
	for id, ttl := range s.state.leases {
		s.startTimer(id, ttl)
	}
	s.wakeAll()
	return true
}
