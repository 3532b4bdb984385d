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

// memoryStore is an in-memory store with one key. Reads fail with readErr and
// writes with writeErr, if set.
type memoryStore struct {
	metastore.Store
	entry    metastore.Entry
	readErr  error
	writeErr error
	writes   int
}

func (m *memoryStore) Get(context.Context, string) (metastore.Entry, error) {
	if m.readErr != nil {
		return metastore.Entry{}, m.readErr
	}
	if m.entry.Revision == 0 {
		return metastore.Entry{}, metastore.ErrNotFound
	}
	return m.entry, nil
}

func (m *memoryStore) CompareAndSwap(_ context.Context, key string, expect int64, value []byte, _ metastore.LeaseID) (metastore.Entry, error) {
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

// put stores the document at a new revision.
func (m *memoryStore) put(t *testing.T, d *rudderv1.Document) {
	t.Helper()
	value, err := document.Encode(d)
	if err != nil {
		t.Fatal(err)
	}
	m.entry = metastore.Entry{Value: value, Revision: m.entry.Revision + 1}
}

// newPlan returns a plan over base whose only declaration is a service.
func newPlan(t *testing.T, base *rudderv1.Document, service string) *Plan {
	t.Helper()
	p, err := Make(base, &rudderv1.Document{Services: []*rudderv1.Service{{Name: service}}}, Options{Operator: "jana"})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

var acceptedAt = time.Unix(1_772_000_000, 0)

// TestRetriedConfirm: retrying Confirm recognises the first plan as superseded while the
// history records it. Once it does not, a retry is harmless and reports an unknown outcome.
func TestRetriedConfirm(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := new(memoryStore)
	first := newPlan(t, nil, "first")
	r, err := Confirm(ctx, store, first, acceptedAt)
	is.NoErr(err)
	is.Equal(*r, Receipt{Code: result.OK, PlanID: first.ID, Generation: 1, Current: 1})
	for i := range document.HistoryLen {
		base, _, err := Accepted(ctx, store)
		is.NoErr(err)
		_, err = Confirm(ctx, store, newPlan(t, base, fmt.Sprint("s", i)), acceptedAt)
		is.NoErr(err)
		writes := store.writes
		r, err := Confirm(ctx, store, first, acceptedAt)
		is.NoErr(err)
		is.Equal(*r, Receipt{Code: result.PlanSuperseded, PlanID: first.ID, Generation: 1, Current: uint64(i + 2)})
		is.Equal(store.writes, writes)
	}
	base, _, err := Accepted(ctx, store)
	is.NoErr(err)
	is.Equal(len(base.History), document.HistoryLen)
	is.Equal(base.Operator, "jana")
	is.Equal(base.AcceptedUnixMs, acceptedAt.UnixMilli())
	_, err = Confirm(ctx, store, newPlan(t, base, "last"), acceptedAt)
	is.NoErr(err)
	_, err = Confirm(ctx, store, first, acceptedAt)
	var stale *StaleError
	is.True(errors.As(err, &stale))
	is.Equal(stale.Known(), result.MayHaveRun) // the history no longer records the plan
}

func TestConfirmFaults(t *testing.T) {
	base := &rudderv1.Document{Generation: 7, PlanId: "p7", History: []string{"p6"}}
	cases := []struct {
		name   string
		store  func(t *testing.T, m *memoryStore)
		want   result.Code
		writes int
	}{
		{"accepted", func(*testing.T, *memoryStore) {}, 0, 1},
		{"unreadable", func(_ *testing.T, m *memoryStore) { m.readErr = metastore.ErrUnavailable }, result.PlanUnknown, 0},
		{"damaged value", func(_ *testing.T, m *memoryStore) { m.entry.Value = []byte{0xff} }, result.PlanUnknown, 0},
		{"unavailable before sending", func(_ *testing.T, m *memoryStore) { m.writeErr = metastore.ErrUnavailable }, result.PlatformAway, 1},
		{"too large", func(_ *testing.T, m *memoryStore) { m.writeErr = metastore.ErrTooLarge }, result.DocumentTooBig, 1},
		{"response lost", func(_ *testing.T, m *memoryStore) { m.writeErr = metastore.ErrUnknown }, result.PlanUnknown, 1},
		{"deadline", func(_ *testing.T, m *memoryStore) { m.writeErr = context.DeadlineExceeded }, result.PlanUnknown, 1},
		{"base at a new revision", func(_ *testing.T, m *memoryStore) { m.writeErr = metastore.ErrConflict }, result.PlanUnknown, 1},
		{"store restored", func(t *testing.T, m *memoryStore) {
			m.put(t, &rudderv1.Document{Generation: 6, PlanId: "p6"})
		}, result.GenerationBack, 0},
		{"store emptied", func(_ *testing.T, m *memoryStore) { m.entry = metastore.Entry{} }, result.GenerationBack, 0},
		{"other history of the same length", func(t *testing.T, m *memoryStore) {
			m.put(t, &rudderv1.Document{Generation: 7, PlanId: "other"})
		}, result.PlanStale, 0},
		{"other plan", func(t *testing.T, m *memoryStore) {
			m.put(t, &rudderv1.Document{Generation: 8, PlanId: "other", History: []string{"p7"}})
		}, result.PlanStale, 0},
		{"other plan long ago", func(t *testing.T, m *memoryStore) {
			m.put(t, &rudderv1.Document{Generation: 10, PlanId: "p10", History: []string{"p9", "other", "p7"}})
		}, result.PlanStale, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := new(memoryStore)
			m.put(t, base)
			c.store(t, m)
			_, err := Confirm(context.Background(), m, newPlan(t, base, "x"), acceptedAt)
			is.Equal(codeOf(err), c.want)
			is.Equal(m.writes, c.writes)
		})
	}
}

// TestStaleNamesTheDifference: a StaleError lists what the accepted plan changed and
// the sections that both plans changed differently.
func TestStaleNamesTheDifference(t *testing.T) {
	is := is.New(t)
	store := new(memoryStore)
	base := testDocument()
	store.put(t, base)
	mine, theirs := testDocument(), testDocument()
	mine.Models[0].Version = "2"
	mine.Workspaces[0].Weight = 5
	theirs.Models[0].Version = "3"
	theirs.Hosts[1].Leaving = true
	a, err := Make(base, theirs, Options{})
	is.NoErr(err)
	b, err := Make(base, mine, Options{})
	is.NoErr(err)
	_, err = Confirm(context.Background(), store, a, acceptedAt)
	is.NoErr(err)
	_, err = Confirm(context.Background(), store, b, acceptedAt)
	var stale *StaleError
	is.True(errors.As(err, &stale))
	is.Equal(stale.Current, uint64(4))
	is.Equal(stale.Theirs, []Change{
		{Action: Alter, Section: "model m", Fields: []Field{{Key: "version", From: "1", To: "3"}}},
		{Action: Alter, Section: "host h1", Fields: []Field{{Key: "leaving", To: "true"}}},
	})
	is.Equal(stale.Conflicts, []string{"model m"})
}
