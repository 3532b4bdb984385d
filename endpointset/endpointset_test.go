package endpointset

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/catalog"
)

var testStart = time.Unix(1000, 0)

func msAfterStart(ms int) time.Time { return testStart.Add(time.Duration(ms) * time.Millisecond) }

func endpoints(ids ...string) []catalog.Endpoint {
	var out []catalog.Endpoint
	for _, id := range ids {
		out = append(out, catalog.Endpoint{ID: id, Service: "s", Address: "127.0.0.1:1"})
	}
	return out
}

// usableIDs returns the concatenated IDs of the usable endpoints.
func usableIDs(m *Set) string {
	out := ""
	for _, e := range m.Usable("s") {
		out += e.ID
	}
	return out
}

func TestEndpointSet(t *testing.T) {
	draining := endpoints("a", "b", "c")
	draining[1].Draining = true
	never := time.Time{}
	type step struct {
		list   []catalog.Endpoint
		ms     int
		failed time.Time
		want   string
	}
	cases := []struct {
		name  string
		steps []step
	}{
		{"an announced drain counts at once", []step{{endpoints("a", "b", "c"), 0, never, "abc"}, {draining, 10, never, "ac"}}},
		{"a missing entry counts at once", []step{{endpoints("a", "b", "c"), 0, never, "abc"}, {endpoints("a", "c"), 10, never, "ac"}}},
		{"an entry that lapsed with the store may return", []step{
			{endpoints("a", "b", "c"), 0, never, "abc"},
			{endpoints("a", "c"), 5100, msAfterStart(5000), "abc"},
			{endpoints("a", "b", "c"), 6000, msAfterStart(5000), "abc"},
		}},
		{"an endpoint that does not return is gone", []step{
			{endpoints("a", "b", "c"), 0, never, "abc"},
			{endpoints("a", "c"), 5100, msAfterStart(5000), "abc"},
			{endpoints("a", "c"), 6900, msAfterStart(5000), "abc"},
			{endpoints("a", "c"), 7000, msAfterStart(5000), "ac"},
		}},
		{"an endpoint that leaves soon after the store's return is not kept for longer", []step{
			{endpoints("a", "b", "c"), 0, never, "abc"},
			{endpoints("a", "b", "c"), 5100, msAfterStart(5000), "abc"},
			{endpoints("a", "c"), 6900, msAfterStart(5000), "abc"},
			{endpoints("a", "c"), 7000, msAfterStart(5000), "ac"},
		}},
		{"the store is suspected if most entries are missing at once", []step{
			{endpoints("a", "b", "c"), 0, never, "abc"},
			{endpoints("a"), 10, never, "abc"},
			{endpoints("a"), 9 + int(massExpiryWindow.Milliseconds()), never, "abc"},
			{endpoints("a"), 10 + int(massExpiryWindow.Milliseconds()), never, "a"},
		}},
		{"a draining endpoint is not kept because of the store's return", []step{
			{endpoints("a", "b", "c"), 0, never, "abc"}, {draining, 10, never, "ac"}, {endpoints("a", "c"), 5100, msAfterStart(5000), "ac"},
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			m := New()
			for i, l := range tc.steps {
				m.ApplyList(l.list, msAfterStart(l.ms), l.failed)
				if got := usableIDs(m); got != l.want {
					t.Fatalf("step %d: usable %q, want %q", i, got, l.want)
				}
			}
		})
	}
}

// TestStoreListDoesNotRevokeDrain: an entry that still says ready, a list from an older copy and a
// peer that knows only an earlier incarnation do not revoke a drain.
func TestStoreListDoesNotRevokeDrain(t *testing.T) {
	is := is.New(t)
	m := New()
	listWith := func(born int64) []catalog.Endpoint {
		list := endpoints("a", "b")
		list[1].Born = born
		return list
	}
	m.ApplyList(listWith(1), msAfterStart(0), time.Time{})
	isNew, changes := m.MarkDraining(catalog.Endpoint{ID: "b", Born: 1}, "answer", msAfterStart(10))
	is.True(isNew)
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Source, "answer")
	is.Equal(usableIDs(m), "a")
	m.ApplyList(listWith(1), msAfterStart(20), time.Time{})
	is.Equal(usableIDs(m), "a")
	m.restoredAt = msAfterStart(30)
	m.ApplyList(endpoints("a"), msAfterStart(40), time.Time{})
	m.ApplyList(listWith(1), msAfterStart(50), time.Time{})
	is.Equal(usableIDs(m), "a")
	m.ApplyList(listWith(2), msAfterStart(60), time.Time{})
	is.Equal(usableIDs(m), "ab")
	isNew, _ = m.MarkDraining(catalog.Endpoint{ID: "b", Born: 1}, "g", msAfterStart(70))
	is.True(!isNew)
	is.Equal(usableIDs(m), "ab")
}

// TestDrainReceivedBeforeListIsRead: a drain update that arrives before the list was read takes
// effect with the list.
func TestDrainReceivedBeforeListIsRead(t *testing.T) {
	is := is.New(t)
	m := New()
	isNew, changes := m.MarkDraining(catalog.Endpoint{ID: "b"}, "g", msAfterStart(0))
	is.True(isNew)
	is.Equal(len(changes), 0)
	m.ApplyList(endpoints("a", "b"), msAfterStart(10), time.Time{})
	is.Equal(usableIDs(m), "a")
}

// TestEndpointsFromAnOlderCopy: in the older copy a draining endpoint is not yet marked as such, a
// departed one is still listed, and a running one is missing.
func TestEndpointsFromAnOlderCopy(t *testing.T) {
	draining := endpoints("a", "b", "c")
	draining[1].Draining = true
	restarted := endpoints("a", "b", "c")
	restarted[1].Born = 2
	first := endpoints("a", "b", "c")
	first[1].Born = 1
	type step struct {
		list []catalog.Endpoint
		ms   int
		want string
	}
	const restored = 5000
	cases := []struct {
		name  string
		steps []step
	}{
		{"a draining endpoint stays out", []step{{draining, 0, "ac"}, {endpoints("a", "b", "c"), 5100, "ac"}, {endpoints("a", "b", "c"), 60_000, "ac"}}},
		{"a drained endpoint that left stays out", []step{
			{endpoints("a", "b", "c"), 0, "abc"}, {draining, 1000, "ac"}, {endpoints("a", "c"), 2000, "ac"}, {endpoints("a", "b", "c"), 5100, "ac"}, {endpoints("a", "b", "c"), 60_000, "ac"},
		}},
		{"an endpoint whose entry disappeared is out until it outlives missed heartbeats", []step{
			{endpoints("a", "b", "c"), 0, "abc"}, {endpoints("a", "c"), 2000, "ac"}, {endpoints("a", "b", "c"), 5100, "ac"}, {endpoints("a", "b", "c"), 10_900, "ac"},
			{endpoints("a", "b", "c"), 11_000, "abc"},
		}},
		{"a missing entry is written again", []step{
			{endpoints("a", "b", "c"), 0, "abc"}, {endpoints("a", "c"), 5100, "abc"}, {endpoints("a", "b", "c"), 6800, "abc"},
		}},
		{"an endpoint whose entry is not written again is gone", []step{
			{endpoints("a", "b", "c"), 0, "abc"}, {endpoints("a", "c"), 5100, "abc"}, {endpoints("a", "c"), 7000, "ac"},
		}},
		{"a restarted endpoint is used", []step{
			{first, 0, "abc"}, {endpoints("a", "c"), 2000, "ac"}, {restarted, 5100, "abc"},
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			m := New()
			for i, l := range tc.steps {
				if l.ms >= restored {
					m.restoredAt = msAfterStart(restored)
				}
				m.ApplyList(l.list, msAfterStart(l.ms), time.Time{})
				if got := usableIDs(m); got != l.want {
					t.Errorf("step %d: %s, want %s", i, got, l.want)
				}
			}
		})
	}
}

// TestReturnWithoutARestore: an endpoint whose entry disappeared and returns is used at once if the
// store was not restored.
func TestReturnWithoutARestore(t *testing.T) {
	is := is.New(t)
	m := New()
	m.ApplyList(endpoints("a", "b"), msAfterStart(0), time.Time{})
	m.ApplyList(endpoints("a"), msAfterStart(1000), time.Time{})
	is.Equal(usableIDs(m), "a")
	m.ApplyList(endpoints("a", "b"), msAfterStart(2000), time.Time{})
	is.Equal(usableIDs(m), "ab")
}
