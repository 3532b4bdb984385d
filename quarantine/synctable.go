package quarantine

import (
	"sync"
	"sync/atomic"
	"time"
)

// SyncTable is a Table that is safe for concurrent use.
type SyncTable struct {
	// count is the number of records; while it is zero, the check of a request costs nothing.
	count atomic.Int64
	mu    sync.Mutex
	table *Table
}

// NewSyncTable returns an empty table. spread should differ between gateways.
func NewSyncTable(spread uint64) *SyncTable {
	t := NewTable()
	t.spread = spread
	return &SyncTable{table: t}
}

// Change runs do on the table under the lock.
func (s *SyncTable) Change(do func(t *Table)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	do(s.table)
	s.count.Store(int64(s.table.Len()))
}

// Len returns the number of records.
func (s *SyncTable) Len() int { return int(s.count.Load()) }

// Verdict returns the assessment of a request or a part.
func (s *SyncTable) Verdict(f Fingerprint, now time.Time) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Verdict(f, now)
}

// Entry returns the entry to store for a request or part; ok is false if it is not quarantined.
func (s *SyncTable) Entry(f Fingerprint, now time.Time) (e Entry, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Entry(f), s.table.Verdict(f, now).Quarantined()
}

// Quarantined returns the requests and parts that are quarantined at now.
func (s *SyncTable) Quarantined(now time.Time) []Fingerprint {
	if s.Len() == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Quarantined(now)
}

// Refusal is why a request must not be sent.
type Refusal struct {
	Fingerprint Fingerprint // of the request, or of a part of its prompt
	Verdict     Verdict
	Until       time.Time // when it may be sent
}

// known returns the fingerprints of a request that may have records.
func (s *SyncTable) known(subjects *Subjects) []Fingerprint {
	if s.Len() == 0 {
		return nil
	}
	var out []Fingerprint
	s.mu.Lock()
	for _, f := range subjects.Parts() {
		if s.table.mayContainPart(f) {
			out = append(out, f)
		}
	}
	request := s.table.MayContain(subjects.Request.Head())
	s.mu.Unlock()
	if request {
		out = append(out, subjects.Fingerprint()) // without the lock, as it reads the body
	}
	return out
}

// Check returns why a request must not be sent now; ok is set if it may.
func (s *SyncTable) Check(subjects *Subjects, requestID string, now time.Time) (r Refusal, ok bool) {
	return s.check(subjects, requestID, now, false)
}

// Admit is Check right before the request is sent. If a part of its prompt is on probation, others wait for
// it until it is known to be harmless, for probeInterval at most.
func (s *SyncTable) Admit(subjects *Subjects, requestID string, now time.Time) (r Refusal, ok bool) {
	return s.check(subjects, requestID, now, true)
}

func (s *SyncTable) check(subjects *Subjects, requestID string, now time.Time, sent bool) (r Refusal, ok bool) {
	known := s.known(subjects)
	if len(known) == 0 {
		return Refusal{}, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var probes []Fingerprint
	for _, f := range known {
		v := s.table.Verdict(f, now)
		if v.Quarantined() {
			return Refusal{f, v, v.Until}, false
		}
		if !v.Probation {
			continue
		}
		if until, ok := s.table.MayProbe(f, requestID, now); !ok {
			return Refusal{f, v, until}, false
		}
		probes = append(probes, f)
	}
	if sent {
		for _, f := range probes {
			s.table.Probe(f, requestID, now)
		}
	}
	return Refusal{}, true
}

// Counted is what a crash under a request, or its success, changed.
type Counted struct {
	New                  bool          // whether anything was not known before
	Quarantined, Cleared []Fingerprint // the requests and parts whose verdict changed
	Request              Verdict       // of the request
	// Part is the part of its prompt under which most endpoints crashed, and PartVerdict its verdict; the
	// zero Part if it has none.
	Part        Fingerprint
	PartVerdict Verdict
}

// RecordCrash records that an endpoint crashed while it was running a request of this gateway.
func (s *SyncTable) RecordCrash(subjects *Subjects, c Crash, now time.Time) Counted {
	all := subjects.All()
	return s.record(all, now, func(t *Table) bool {
		for _, f := range all {
			t.RecordCrash(f, c, now)
		}
		return true
	})
}

// RecordSuccess records that an endpoint completed a request of this gateway.
func (s *SyncTable) RecordSuccess(subjects *Subjects, endpoint Incarnation, address Address, now time.Time) Counted {
	known := s.known(subjects)
	if len(known) == 0 {
		return Counted{}
	}
	return s.record(known, now, func(t *Table) bool {
		isNew := false
		for _, f := range known {
			isNew = t.RecordSuccess(f, endpoint, address, now) || isNew
		}
		return isNew
	})
}

// record runs do, which records an event under a request with the given fingerprints.
func (s *SyncTable) record(all []Fingerprint, now time.Time, do func(t *Table) bool) Counted {
	var out Counted
	s.Change(func(t *Table) {
		before := t.Quarantined(now)
		if out.New = do(t); !out.New {
			return
		}
		out.Quarantined, out.Cleared = difference(before, t.Quarantined(now))
		for _, f := range all {
			v := t.Verdict(f, now)
			if !f.IsPart() {
				out.Request = v
			} else if out.Part == (Fingerprint{}) || v.crashes() > out.PartVerdict.crashes() {
				out.Part, out.PartVerdict = f, v
			}
		}
	})
	return out
}

// crashes returns the number of crashes that count.
func (v Verdict) crashes() int { return v.CrashesBefore + v.CrashesWithin }
