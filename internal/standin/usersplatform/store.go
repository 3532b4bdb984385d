// Package usersplatform simulates the users' platform as the adapter sees it: a store with leases
// and injected failures, and workers that record in a ledger what they ran. It serves tests and the
// fault soak; it does not model the speed of an engine.
package usersplatform

import (
	"encoding/json"
	"maps"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Failure is a failure mode of the store.
type Failure int

// Failure modes.
const (
	NoFailure Failure = iota
	Busy              // every call gets 503
	Silent            // no call is answered
	Slow              // every response is delayed by slowDelay
)

// slowDelay is the delay of every response of a slow store.
const slowDelay = 400 * time.Millisecond

// Store is the platform's key-value store.
type Store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	leases   map[uint64]time.Time
	failure  Failure
	calls    int
	era      uint64 // incremented when the store is restored from an older copy
	// writes holds what the operator and the workers wrote, the newest last.
	writes []write
}

// write is the write or deletion of one key.
type write struct {
	key   string
	value []byte // nil: deleted
}

// Snapshot is the contents of a store at some time.
type Snapshot struct {
	revision uint64
	items    map[string]item
	leases   map[uint64]time.Time
	writes   int // number of writes until then
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: make(map[string]item), leases: make(map[uint64]time.Time), era: 1}
}

// RecordSettledEra writes what gateways that ran before have recorded: that the store has all writes of its era.
func (s *Store) RecordSettledEra() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put("micarudder/settled-era", strconv.AppendUint(nil, s.era, 10), 0)
}

// Snapshot returns a snapshot of the store.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{s.revision, maps.Clone(s.items), maps.Clone(s.leases), len(s.writes)}
}

// Restore resets the store to an older snapshot: later writes and leases are lost, and revisions
// are assigned again.
func (s *Store) Restore(c Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.items, s.leases = c.revision, maps.Clone(c.items), maps.Clone(c.leases)
	s.era++
}

// Replay repeats what the operator and the workers wrote since the snapshot: the values, or with
// removed the deletions. Only the newest write of each key counts.
func (s *Store) Replay(since Snapshot, removed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := make(map[string][]byte)
	for _, w := range s.writes[since.writes:] {
		newest[w.key] = w.value
	}
	for key, value := range newest {
		switch {
		case value != nil && !removed:
			s.put(key, value, 0)
		case value == nil && removed:
			s.revision++
			delete(s.items, key)
		}
	}
}

// SetFailure sets the failure mode of the store.
func (s *Store) SetFailure(t Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failure = t
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a value as the operator or a worker does, in any failure mode.
func (s *Store) Put(key string, value any) {
	p, err := json.Marshal(value)
	if err != nil {
		panic(err) // the caller's types always encode
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes = append(s.writes, write{key, p})
	s.put(key, p, 0)
}

// Delete deletes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes = append(s.writes, write{key: key})
	s.revision++
	delete(s.items, key)
}

func (s *Store) put(key string, value []byte, lease uint64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	s.items[key] = item{key, value, s.revision, created, lease}
}

// ServeHTTP answers the calls to the store.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	failure := s.failure
	s.mu.Unlock()
	switch failure {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Silent:
		<-r.Context().Done()
		return
	case Slow:
		time.Sleep(slowDelay)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	status, answer := s.call(r)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *Store) call(r *http.Request) (int, any) {
	switch {
	case r.URL.Path == "/kv-key":
		it, ok := s.items[r.URL.Query().Get("key")]
		if !ok {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, it
	case r.URL.Path == "/kv-range":
		return http.StatusOK, map[string]any{"items": s.list(r.URL.Query().Get("pathPrefix")), "hasMore": false, "currentRev": s.revision}
	case r.URL.Path == "/kv-txn":
		return s.commit(r)
	case r.URL.Path == "/kv-lease":
		var in struct {
			TTLMs int64 `json:"ttlMs"`
		}
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			return http.StatusBadRequest, nil
		}
		s.revision++
		s.leases[s.revision] = time.Now().Add(time.Duration(in.TTLMs) * time.Millisecond)
		return http.StatusOK, map[string]any{"lease": s.revision, "ttlMs": in.TTLMs}
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, "/kv-keep/"), 10, 64)
		if _, ok := s.leases[id]; !ok {
			return http.StatusNotFound, nil
		}
		s.leases[id] = time.Now().Add(renewedTTL)
		return http.StatusOK, map[string]any{"ttlMs": renewedTTL.Milliseconds()}
	}
	return http.StatusNotFound, nil
}

// renewedTTL is the lifetime of a renewed lease.
const renewedTTL = 12 * time.Second

func (s *Store) list(prefix string) []item {
	out := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, it)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

func (s *Store) commit(r *http.Request) (int, any) {
	var in struct {
		Conditions []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expectedRevision"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		return http.StatusBadRequest, nil
	}
	for _, c := range in.Conditions {
		if s.items[c.Key].Revision != c.Revision {
			return http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[c.Key]}}
		}
	}
	for _, p := range in.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return http.StatusNotFound, nil
		}
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range in.Remove {
		s.revision++
		delete(s.items, key)
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}

// expire removes expired leases with their keys.
func (s *Store) expire(now time.Time) {
	for id, end := range s.leases {
		if now.Before(end) {
			continue
		}
		delete(s.leases, id)
		for key, it := range s.items {
			if it.Lease == id {
				s.revision++
				delete(s.items, key)
			}
		}
	}
}
