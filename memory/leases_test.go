package memory

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/micarudder/micarudder/result"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func request(group string, epoch, tokens uint64) Request {
	return Request{Group: group, Epoch: epoch, Tokens: tokens, Lease: time.Second}
}

func TestLeaseTable(t *testing.T) {
	const limit = 100
	cases := []struct {
		name string
		do   func(is *is.I, b *LeaseTable)
	}{
		{"grants up to the limit", func(is *is.I, b *LeaseTable) {
			is.True(b.Reserve(request("a", 1, 60), at(0)).Granted)
			is.Equal(b.Reserve(request("b", 1, 41), at(0)).Code, result.MemoryHeld)
			is.True(b.Reserve(Request{Group: "c", Epoch: 1, Tokens: 40, StartUnixMs: -1}, at(0)).Granted)
			is.Equal(b.Reserved(), uint64(100))
		}},
		{"never more than the limit", func(is *is.I, b *LeaseTable) {
			is.Equal(b.Reserve(request("a", 1, 101), at(0)).Code, result.MemoryHeld)
			is.True(b.Reserve(request("b", 1, 100), at(0)).Granted) // a is not kept as a waiting group
		}},
		{"a retried request extends the lease", func(is *is.I, b *LeaseTable) {
			first := b.Reserve(request("a", 1, 60), at(0))
			is.Equal(b.Reserve(request("a", 1, 60), at(500)), first)
			is.True(b.Live("a.1", at(1400)))
			is.Equal(b.Reserved(), uint64(60))
		}},
		{"an expired lease is over before Expire is called", func(is *is.I, b *LeaseTable) {
			b.Reserve(request("a", 1, 60), at(0))
			is.True(!b.Renew("a.1", time.Second, at(1000)))
			is.True(!b.Pin("a.1", at(1000)))
			is.Equal(b.Reserve(request("a", 1, 60), at(1000)).Code, result.LeaseLost)
			is.Equal(b.Reserved(), uint64(60)) // until the endpoint has freed it
			is.Equal(len(b.Expire(at(1000))), 1)
			b.RecordFreed("a.1")
			is.Equal(b.Reserved(), uint64(0))
		}},
		{"a later attempt ends the earlier", func(is *is.I, b *LeaseTable) {
			b.Reserve(request("a", 1, 30), at(0))
			is.True(b.Reserve(request("a", 2, 60), at(1)).Granted)
			is.True(!b.Live("a.1", at(1)))
			is.Equal(b.Reserve(request("a", 1, 1), at(2)).Code, result.LeaseLost)
		}},
		{"released before it was requested", func(is *is.I, b *LeaseTable) {
			is.True(!b.Release("a.1", at(0)))
			is.Equal(b.Reserve(request("a", 1, 60), at(1)).Code, result.LeaseLost)
			is.True(b.Reserve(request("a", 2, 60), at(1)).Granted)
		}},
		{"a late release does not affect the later attempt", func(is *is.I, b *LeaseTable) {
			b.Reserve(request("a", 2, 60), at(0))
			is.True(!b.Release("a.1", at(1)))
			is.True(b.Live("a.2", at(1)))
		}},
		{"a pinned lease outlives its coordinator", func(is *is.I, b *LeaseTable) {
			b.Reserve(request("a", 1, 60), at(0))
			is.True(b.Pin("a.1", at(1)))
			is.True(!b.Pin("a.1", at(2)))
			is.Equal(len(b.Expire(at(100_000))), 0)
			is.True(!b.Release("a.1", at(100_000)))
			b.Unpin("a.1")
			is.Equal(len(b.Expire(at(100_000))), 1)
		}},
		{"the older group is served first", func(is *is.I, b *LeaseTable) {
			b.Reserve(request("x", 1, 60), at(0))
			older := Request{Group: "o", Epoch: 1, Tokens: 80, Lease: time.Second, StartUnixMs: 1}
			younger := Request{Group: "y", Epoch: 1, Tokens: 30, Lease: time.Second, StartUnixMs: 2}
			is.True(!b.Reserve(older, at(1)).Granted)
			is.True(!b.Reserve(younger, at(2)).Granted) // fits now, but not beside the older one
			b.Release("x.1", at(3))
			b.RecordFreed("x.1")
			younger.Epoch, older.Epoch = 2, 2
			is.True(!b.Reserve(younger, at(4)).Granted)
			is.True(b.Reserve(older, at(5)).Granted)
		}},
		{"admitted work goes first", func(is *is.I, b *LeaseTable) {
			r := request("a", 1, 60)
			r.QueuedTokens = 41
			is.True(!b.Reserve(r, at(0)).Granted)
			is.Equal(b.WaitingTokens(at(1)), uint64(60))
			is.Equal(b.WaitingTokens(at(5000)), uint64(0))
			r.Epoch, r.QueuedTokens = 2, 40
			is.True(b.Reserve(r, at(2)).Granted)
			is.Equal(b.WaitingTokens(at(2)), uint64(0))
		}},
		{"a waiting group expires", func(is *is.I, b *LeaseTable) {
			b.Reserve(request("x", 1, 60), at(0))
			b.Reserve(Request{Group: "o", Epoch: 1, Tokens: 80, StartUnixMs: 1}, at(1))
			is.True(b.Reserve(Request{Group: "y", Epoch: 1, Tokens: 30, StartUnixMs: 2}, at(5001)).Granted)
		}},
		{"the duration of a lease is bounded", func(is *is.I, b *LeaseTable) {
			b.Reserve(Request{Group: "a", Epoch: 1, Tokens: 1, Lease: time.Hour}, at(0))
			is.True(!b.Live("a.1", at(10_000)))
		}},
		{"fences expire", func(is *is.I, b *LeaseTable) {
			b.Release("a.1", at(0))
			is.True(b.Reserve(request("a", 1, 1), at(60_000)).Granted)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { c.do(is.New(t), NewLeaseTable(limit, limit)) })
	}
}

// TestLeaseTableNeverOvercommitsOrLeaks checks for messages that arrive in any order, late,
// twice or not at all that the leases never exceed the limit, that an attempt that is over
// is never granted again, and that all memory is free in the end.
func TestLeaseTableNeverOvercommitsOrLeaks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 100
		b, now := NewLeaseTable(limit, limit), start
		over := map[string]bool{}
		group := rapid.SampledFrom([]string{"a", "b", "c"})
		epoch := rapid.Uint64Range(1, 5)
		id := func(t *rapid.T) string { return ReservationID(group.Draw(t, "group"), epoch.Draw(t, "epoch")) }
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				r := Request{
					Group: group.Draw(t, "group"), Epoch: epoch.Draw(t, "epoch"), Tokens: rapid.Uint64Range(1, 110).Draw(t, "tokens"),
					Lease: time.Duration(rapid.IntRange(0, 20_000).Draw(t, "lease")) * time.Millisecond, StartUnixMs: rapid.Int64Range(0, 3).Draw(t, "since"),
				}
				v := b.Reserve(r, now)
				if v.Granted && over[v.Reservation] {
					t.Fatalf("%s was granted after its attempt had ended", v.Reservation)
				}
				if v.Granted != (v.Code == 0) {
					t.Fatalf("granted and code disagree: %+v", v)
				}
			},
			"renew": func(t *rapid.T) {
				if r := id(t); b.Renew(r, time.Second, now) && over[r] {
					t.Fatalf("%s was renewed after its attempt had ended", r)
				}
			},
			"pin":   func(t *rapid.T) { b.Pin(id(t), now) },
			"unpin": func(t *rapid.T) { b.Unpin(id(t)) },
			"release": func(t *rapid.T) {
				if r := id(t); b.Release(r, now) || !b.Known(r) {
					over[r] = true
				}
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"free": func(t *rapid.T) {
				for _, l := range b.Expire(now) {
					over[l.ID] = true
					b.RecordFreed(l.ID)
				}
			},
			"": func(t *rapid.T) {
				if b.Reserved() > limit {
					t.Fatalf("%d tokens reserved, more than the limit", b.Reserved())
				}
			},
		})
		for g := range map[string]bool{"a": true, "b": true, "c": true} {
			for e := uint64(1); e <= 5; e++ {
				b.Unpin(ReservationID(g, e))
			}
		}
		for _, l := range b.Expire(now.Add(time.Hour)) {
			b.RecordFreed(l.ID)
		}
		if b.Reserved() != 0 {
			t.Fatalf("%d tokens still reserved in the end", b.Reserved())
		}
	})
}
