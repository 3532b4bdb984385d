package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/limits"
)

// enginePicker returns a picker before n engines.
func enginePicker(n int) (*picker, *catalog.Service) {
	s := &catalog.Service{Name: "m", Engine: &catalog.Engine{
		Slots: 16, MemoryTokens: 232000, StepMs: 1, ReadPerMs: 206, PairsPerM: 0.138, ChunkTokens: 2048, Stride: 43,
	}}
	state := NewState()
	var list []catalog.Endpoint
	for i := range n {
		list = append(list, catalog.Endpoint{ID: string(rune('a' + i)), Service: s.Name, Address: "127.0.0.1:1"})
	}
	state.Listed(list, time.Now(), time.Time{})
	return newPicker("g", state, balance.Default(), limits.WindowConfig{}), s
}

// TestPartsAreFreeAgainBeforeTheFirstEvent: the parts of a long prompt count as
// read after their time, so that others may use the endpoints, and taking the
// reading off once more at the first event changes nothing.
func TestPartsAreFreeAgainBeforeTheFirstEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, s := enginePicker(4)
		work := balance.Work{InputTokens: 100000, OutputTokens: 500, LeftMs: 2500, DeadlineMs: 10000, Slack: time.Second}
		at, wait, ok := p.pick(s, work, time.Now())
		is.True(ok)
		is.True(!wait)
		is.True(len(at.loads) > 1)
		is.True(p.book.Load(at.endpoint.ID, time.Now()).ReadMs > 0)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		for _, l := range at.loads {
			load := p.book.Load(l.endpoint, time.Now())
			is.Equal(load.ReadMs, 0.0)
			is.Equal(load.Parts, 0)
		}
		is.Equal(p.book.Load(at.endpoint.ID, time.Now()).Long, 1)
		at.read()
		at.release()
		is.Equal(len(p.book.Own()), 0)
	})
}

// TestReleaseStopsTheTimersOfParts: a request that ends early leaves nothing
// that takes load off later.
func TestReleaseStopsTheTimersOfParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, s := enginePicker(4)
		work := balance.Work{InputTokens: 100000, OutputTokens: 500, LeftMs: 2500, DeadlineMs: 10000, Slack: time.Second}
		first, _, _ := p.pick(s, work, time.Now())
		first.release()
		is.Equal(len(p.book.Own()), 0)
		second, _, _ := p.pick(s, work, time.Now())
		before := p.book.Own()
		is.Equal(len(before), len(second.loads))
		second.release()
		time.Sleep(5 * time.Second)
		synctest.Wait()
		is.Equal(len(p.book.Own()), 0)
	})
}
