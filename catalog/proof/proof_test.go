package proof

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_000_000, 0)

// event is something that a gateway learns, and what it makes of it.
type event struct {
	after time.Duration // since the process started
	learn func(*Proofs, time.Time) bool
	want  bool
}

// The things that a gateway learns.
func own(p *Proofs, now time.Time) bool  { return p.RecordOwn(now) }
func peer(p *Proofs, now time.Time) bool { return p.RecordPeer(now.Add(-time.Millisecond)) }

func era(n uint64) func(*Proofs, time.Time) bool {
	return func(p *Proofs, now time.Time) bool { return p.ObserveEra(n, now) }
}

func recorded(n uint64) func(*Proofs, time.Time) bool {
	return func(p *Proofs, now time.Time) bool {
		needed := p.NeedsRecord(now)
		p.RecordSettled(n)
		return needed
	}
}

// unrecorded reports whether the era is to be recorded.
func unrecorded(p *Proofs, _ time.Time) bool { return p.UnrecordedEra() != 0 }

// TestStart guards against a process that has just started and takes a read of an older copy of the store as proof that
// no key was withdrawn, and against one that waits although no writes can be missing.
func TestStart(t *testing.T) {
	for name, tc := range map[string]struct {
		firstStart bool
		events     []event
	}{
		"first start ever":  {true, []event{{0, era(1), false}, {0, own, true}, {time.Second, unrecorded, true}, {time.Second, recorded(1), false}, {2 * time.Second, unrecorded, false}}},
		"store without era": {false, []event{{0, recorded(0), true}, {0, own, true}, {time.Second, recorded(0), false}, {time.Second, unrecorded, false}}},
		"restart of one":    {false, []event{{0, era(4), false}, {0, peer, true}, {time.Second, own, false}, {time.Second, peer, true}}},
		"restart of all, no copy": {false, []event{
			{0, era(4), false}, {0, recorded(4), true}, {time.Millisecond, own, true}, {time.Millisecond, unrecorded, false}}},
		"restart of all, with a copy": {false, []event{
			{0, era(5), false}, {0, recorded(4), true}, {0, own, false}, {window - time.Millisecond, own, false}, {window, own, true}, {window, unrecorded, true}}},
		"restart of all, no record": {false, []event{{0, era(4), false}, {0, recorded(0), true}, {0, own, false}, {window, own, true}, {window, unrecorded, true}}},
		"a copy while it starts": {false, []event{
			{0, era(4), false}, {0, recorded(4), true}, {0, own, true}, {time.Second, era(5), true}, {time.Second, own, false}, {time.Second, recorded(4), false},
			{time.Second + window, own, true}, {time.Second + window, unrecorded, true}}},
		"a second copy at once": {false, []event{
			{0, era(5), false}, {0, recorded(4), true}, {0, own, false}, {time.Second, era(6), true}, {window, own, false}, {window, peer, false}, {time.Second + window, own, true}}},
		"recorded meanwhile":                {false, []event{{0, era(5), false}, {0, recorded(4), true}, {0, own, false}, {time.Second, recorded(5), true}, {time.Second, own, true}}},
		"a later record is for a later era": {false, []event{{0, era(5), false}, {0, recorded(9), true}, {0, own, false}, {window, own, true}, {window, era(9), true}, {window, own, false}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := New(tc.firstStart)
			for i, e := range tc.events {
				if got := e.learn(&p, start.Add(e.after)); got != e.want {
					t.Errorf("event %d: got %v, want %v", i, got, e.want)
				}
			}
			is.True(p.Era() <= 9)
		})
	}
}

// TestUnprovenReads guards against reads of a store that may lack writes that nobody counts as reads, so that all
// gateways read.
func TestUnprovenReads(t *testing.T) {
	is := is.New(t)
	p := New(false)
	p.ObserveEra(1, start)
	is.True(!p.RecordOwn(start))
	sent, ok := p.Unproven()
	is.True(ok)
	is.Equal(sent, start)
}

// TestSuspension guards against proofs from before the host was suspended, which are older than the clock says.
func TestSuspension(t *testing.T) {
	is := is.New(t)
	var p Proofs
	is.True(p.RecordOwn(start))
	p.Drop(start.Add(time.Second))
	is.True(p.Newest().IsZero())
	is.True(!p.RecordOwn(start.Add(time.Second - 1)))
	is.True(!p.RecordUnproven(start))
	is.True(p.RecordOwn(start.Add(time.Second)))
}
