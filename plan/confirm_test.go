package plan

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/document"
	"github.com/micarudder/micarudder/metastore"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

// memory is a store with one key; writes end with the given error.
type memory struct {
	metastore.Store
	entry    metastore.Entry
	readErr  error
	writeErr error
	writes   int
}

func (m *memory) Get(context.Context, string) (metastore.Entry, error) {
	if m.readErr != nil {
		return metastore.Entry{}, m.readErr
	}
	if m.entry.Revision == 0 {
		return metastore.Entry{}, metastore.ErrNotFound
	}
	return m.entry, nil
}

func (m *memory) CompareAndSwap(_ context.Context, key string, expect int64, value []byte, _ metastore.LeaseID) (metastore.Entry, error) {
	m.writes++
	if m.writeErr != nil {
		return m.entry, m.writeErr
	}
	if expect != m.entry.Revision {
		return m.entry, metastore.ErrConflict
	}
	m.entry = metastore.Entry{Key: key, Value: value, Revision: expect + 1}
	return m.entry, nil
}

func (m *memory) put(t *testing.T, d *rudderv1.Document) {
	t.Helper()
	value, err := document.Encode(d)
	if err != nil {
		t.Fatal(err)
	}
	m.entry = metastore.Entry{Value: value, Revision: m.entry.Revision + 1}
}

func newPlan(t *testing.T, base *rudderv1.Document, service string) *Plan {
	t.Helper()
	p, err := Make(base, &rudderv1.Document{Services: []*rudderv1.Service{{Name: service}}}, Options{Operator: "jana"})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

var when = time.Unix(1_772_000_000, 0)

// TestRepeatedConfirm: the first plan stays recognised over many later ones,
// and once it is out of the history a repeat is still harmless.
func TestRepeatedConfirm(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := new(memory)
	first := newPlan(t, nil, "first")
	r, err := Confirm(ctx, store, first, when)
	is.NoErr(err)
	is.Equal(*r, Receipt{Code: result.OK, PlanID: first.ID, Generation: 1, Current: 1})
	for i := range document.HistoryLen {
		base, _, err := Accepted(ctx, store)
		is.NoErr(err)
		_, err = Confirm(ctx, store, newPlan(t, base, fmt.Sprint("s", i)), when)
		is.NoErr(err)
		writes := store.writes
		r, err := Confirm(ctx, store, first, when)
		is.NoErr(err)
		is.Equal(*r, Receipt{Code: result.PlanSuperseded, PlanID: first.ID, Generation: 1, Current: uint64(i + 2)})
		is.Equal(store.writes, writes)
	}
	base, _, err := Accepted(ctx, store)
	is.NoErr(err)
	is.Equal(len(base.History), document.HistoryLen)
	is.Equal(base.Operator, "jana")
	is.Equal(base.AcceptedUnixMs, when.UnixMilli())
	_, err = Confirm(ctx, store, newPlan(t, base, "last"), when)
	is.NoErr(err)
	_, err = Confirm(ctx, store, first, when)
	var stale *StaleError
	is.True(errors.As(err, &stale))
	is.Equal(stale.Known(), result.MayHaveRun) // no longer recorded, and said so
}

func TestConfirmFaults(t *testing.T) {
	base := &rudderv1.Document{Generation: 7, PlanId: "p7", History: []string{"p6"}}
	cases := []struct {
		name   string
		store  func(t *testing.T, m *memory)
		want   result.Code
		writes int
	}{
		{"accepted", func(*testing.T, *memory) {}, 0, 1},
		{"unreadable", func(_ *testing.T, m *memory) { m.readErr = metastore.ErrUnavailable }, result.PlanUnknown, 0},
		{"damaged value", func(_ *testing.T, m *memory) { m.entry.Value = []byte{0xff} }, result.PlanUnknown, 0},
		{"refused before sending", func(_ *testing.T, m *memory) { m.writeErr = metastore.ErrUnavailable }, result.PlatformAway, 1},
		{"too large", func(_ *testing.T, m *memory) { m.writeErr = metastore.ErrTooLarge }, result.DocumentTooBig, 1},
		{"answer lost", func(_ *testing.T, m *memory) { m.writeErr = metastore.ErrUnknown }, result.PlanUnknown, 1},
		{"deadline", func(_ *testing.T, m *memory) { m.writeErr = context.DeadlineExceeded }, result.PlanUnknown, 1},
		{"base written anew", func(_ *testing.T, m *memory) { m.writeErr = metastore.ErrConflict }, result.PlanUnknown, 1},
		{"store restored", func(t *testing.T, m *memory) {
			m.put(t, &rudderv1.Document{Generation: 6, PlanId: "p6"})
		}, result.GenerationBack, 0},
		{"store emptied", func(_ *testing.T, m *memory) { m.entry = metastore.Entry{} }, result.GenerationBack, 0},
		{"other history of the same length", func(t *testing.T, m *memory) {
			m.put(t, &rudderv1.Document{Generation: 7, PlanId: "other"})
		}, result.PlanStale, 0},
		{"other plan", func(t *testing.T, m *memory) {
			m.put(t, &rudderv1.Document{Generation: 8, PlanId: "other", History: []string{"p7"}})
		}, result.PlanStale, 0},
		{"other plan long ago", func(t *testing.T, m *memory) {
			m.put(t, &rudderv1.Document{Generation: 10, PlanId: "p10", History: []string{"p9", "other", "p7"}})
		}, result.PlanStale, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := new(memory)
			m.put(t, base)
			c.store(t, m)
			_, err := Confirm(context.Background(), m, newPlan(t, base, "x"), when)
			is.Equal(codeOf(err), c.want)
			is.Equal(m.writes, c.writes)
		})
	}
}

// TestStaleNamesTheDifference: the loser learns what the winner changed and
// where both meant different things.
func TestStaleNamesTheDifference(t *testing.T) {
	is := is.New(t)
	store := new(memory)
	base := fleet()
	store.put(t, base)
	mine, theirs := fleet(), fleet()
	mine.Models[0].Version = "2"
	mine.Workspaces[0].Weight = 5
	theirs.Models[0].Version = "3"
	theirs.Hosts[1].Leaving = true
	a, err := Make(base, theirs, Options{})
	is.NoErr(err)
	b, err := Make(base, mine, Options{})
	is.NoErr(err)
	_, err = Confirm(context.Background(), store, a, when)
	is.NoErr(err)
	_, err = Confirm(context.Background(), store, b, when)
	var stale *StaleError
	is.True(errors.As(err, &stale))
	is.Equal(stale.Current, uint64(4))
	is.Equal(stale.Theirs, []Change{
		{Action: Alter, Section: "model m", Fields: []Field{{Key: "version", From: "1", To: "3"}}},
		{Action: Alter, Section: "host h1", Fields: []Field{{Key: "leaving", To: "true"}}},
	})
	is.Equal(stale.Clashes, []string{"model m"})
}
