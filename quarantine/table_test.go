package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var (
	start = time.Unix(1000, 0)
	one   = Fingerprint{1, 1}
)

// crash is a crash of the nth endpoint at a second.
func crash(n int, begun bool, second int) Crash {
	return Crash{Endpoint: IncarnationOf(fmt.Sprint("e", n), 0), Begun: begun, At: start.Add(time.Duration(second) * time.Second)}
}

// TestVerdict: how many endpoints have to crash, and under what circumstances.
func TestVerdict(t *testing.T) {
	cases := []struct {
		name           string
		before, within int
		want           bool
	}{
		{"one crash", 1, 0, false},
		{"two crashes", 2, 0, false},
		{"three before it answered", 3, 0, true},
		{"four while it answered", 0, 4, false},
		{"five while it answered", 0, 5, true},
		{"some of each", 2, 2, false},
		{"five of both kinds", 2, 3, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			table := NewTable()
			for n := range tc.before + tc.within {
				c := crash(n, n >= tc.before, n)
				table.Crashed(one, c, c.At)
				table.Crashed(one, c, c.At) // seen by two streams of the same work
			}
			v := table.Verdict(one, start.Add(10*time.Second))
			is.Equal(v.Quarantined(), tc.want)
			is.Equal(v.Before, tc.before)
			is.Equal(v.Within, tc.within)
			is.True(!table.Verdict(Fingerprint{1, 2}, start).Quarantined()) // another body
		})
	}
}

// TestEndpointThatStartsAgain: another life of the same endpoint is another crash.
func TestEndpointThatStartsAgain(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	for born := range int64(3) {
		at := start.Add(time.Duration(born) * time.Second)
		table.Crashed(one, Crash{Endpoint: IncarnationOf("e", born), At: at}, at)
	}
	is.True(table.Verdict(one, start.Add(3*time.Second)).Quarantined())
}

// TestSameMoment: endpoints that end together, as when somebody stops them all, are one sign
// against what was on them.
func TestSameMoment(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	for n := range 10 {
		c := Crash{Endpoint: Incarnation(n + 1), Begun: n > 0, At: start.Add(time.Duration(n) * time.Millisecond)}
		table.Crashed(one, c, c.At)
	}
	now := start.Add(time.Second)
	is.Equal(table.Verdict(one, now), Verdict{Before: 1})
	for n := range 2 {
		at := now.Add(time.Duration(n) * sameMoment)
		table.Crashed(one, Crash{Endpoint: Incarnation(n + 20), At: at}, at)
	}
	is.True(table.Verdict(one, now.Add(time.Second)).Quarantined())
}

// TestRest: a quarantine ends, and each crash after it makes the next one longer.
func TestRest(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	for n := range 3 {
		table.Crashed(one, crash(n, false, n-3), start)
	}
	newest := start.Add(-time.Second)
	is.Equal(table.Verdict(one, start).Until, newest.Add(firstRest))
	is.True(!table.Verdict(one, newest.Add(firstRest)).Quarantined())
	again := start.Add(firstRest + time.Second)
	table.Crashed(one, Crash{Endpoint: 77, At: again}, again)
	is.Equal(table.Verdict(one, again).Until, again.Add(2*firstRest))
	for n := range 20 {
		again = again.Add(time.Second)
		table.Crashed(one, Crash{Endpoint: Incarnation(100 + n), At: again}, again)
	}
	is.Equal(table.Verdict(one, again).Until, again.Add(longestRest))
}

// TestServed: a request that ended well at as many endpoints as crashed under it is not
// quarantined; one that a single endpoint of another kind ends well again and again is.
func TestServed(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	now := start.Add(5 * time.Second)
	is.True(!table.Served(one, 100, start)) // nothing stood against it
	for n := range 3 {
		table.Crashed(one, crash(n, false, n), start)
		is.Equal(table.Served(one, 100, start), n == 0)
	}
	is.True(table.Verdict(one, now).Quarantined())
	is.True(table.Served(one, 101, now))
	is.True(table.Verdict(one, now).Quarantined())
	is.True(table.Served(one, 102, now))
	is.True(!table.Verdict(one, now).Quarantined())
	table.Crashed(one, crash(4, false, 6), now.Add(time.Second))
	is.True(table.Verdict(one, now).Quarantined())
}

// TestGoodEndsGrowOld: what ended well before the engines were replaced does not speak for a
// request under which the new ones crash.
func TestGoodEndsGrowOld(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	table.Crashed(one, crash(0, false, 0), start)
	for n := range mostCrashes + 3 {
		is.True(table.Served(one, Incarnation(100+n), start))
	}
	is.Equal(table.Verdict(one, start).Good, mostCrashes)
	now := start.Add(2 * goodLife)
	is.True(table.Served(one, 200, now.Add(-2*time.Second)))
	is.True(!table.Served(one, 200, now.Add(-time.Second))) // as good as before
	for n := range 3 {
		table.Crashed(one, crash(10+n, false, int((2*goodLife).Seconds())+n), now)
	}
	is.Equal(table.Verdict(one, now).Good, 1)
	is.True(table.Verdict(one, now.Add(3*time.Second)).Quarantined())
}

// TestStrangeReports: reports of a later release, and ages of any kind, do no harm.
func TestStrangeReports(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	_, fresh := table.Hear([]Report{{Kind: 99, Fingerprint: one, Endpoint: 1}}, false, start)
	is.Equal(fresh, 0)
	for n, age := range []int64{-5, 1<<63 - 1, -1 << 63} {
		table.Hear([]Report{{Kind: Crashed, Fingerprint: one, Endpoint: Incarnation(n + 1), AgeMs: age}}, false, start)
		is.True(!table.records[one].newest().After(start))
	}
}

// TestClear: an operator's word ends a quarantine, also against crashes from before that are
// heard of late; what comes later counts.
func TestClear(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	is.True(!table.Clear(one, start)) // nothing stood against it
	for n := range 3 {
		table.Crashed(one, crash(n, false, n), start)
	}
	now := start.Add(5 * time.Second)
	is.True(table.Clear(one, now))
	is.True(!table.Verdict(one, now).Quarantined())
	table.Hear([]Report{{Fingerprint: one, Endpoint: 9, AgeMs: 3000}}, false, now.Add(time.Second))
	is.Equal(table.Verdict(one, now).Before, 0)
	table.Crashed(one, crash(4, false, 6), now.Add(time.Second))
	is.Equal(table.Verdict(one, now).Before, 1)
}

// TestHearAtOnce: what one message tells counts together.
func TestHearAtOnce(t *testing.T) {
	is := is.New(t)
	var reports []Report
	for n := range 3 {
		reports = append(reports, Report{Kind: Crashed, Fingerprint: one, Endpoint: Incarnation(n + 1), AgeMs: int64(n * 1000)})
	}
	quarantined, fresh := NewTable().Hear(reports, false, start)
	is.Equal(quarantined, []Fingerprint{one})
	is.Equal(fresh, 3)
	quarantined, fresh = NewTable().Hear(append(reports, Report{Kind: Cleared, Fingerprint: one}), false, start)
	is.Equal(len(quarantined), 0)
	is.Equal(fresh, 4)
}

// TestOrderDoesNotMatter: gateways that hear the same reports, in any order and any number of
// times, come to the same verdict.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start.Add(time.Minute)
		reports := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Report {
			return Report{
				Kind:        rapid.SampledFrom([]Kind{Crashed, Crashed, Crashed, Served, Cleared}).Draw(t, "kind"),
				Fingerprint: one, Endpoint: Incarnation(rapid.IntRange(1, 6).Draw(t, "endpoint")), Begun: rapid.Bool().Draw(t, "begun"),
				AgeMs: int64(rapid.IntRange(0, 50).Draw(t, "seconds")) * 1000,
			}
		}), 0, 12).Draw(t, "reports")
		// An endpoint crashes once, at one time.
		seen := make(map[Incarnation]Report)
		for i, r := range reports {
			if first, ok := seen[r.Endpoint]; ok && r.Kind == Crashed {
				reports[i] = first
			} else if r.Kind == Crashed {
				seen[r.Endpoint] = r
			}
		}
		a, b := NewTable(), NewTable()
		for _, r := range reports {
			a.Hear([]Report{r}, false, now)
		}
		order := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 1))
		for range 2 {
			for _, i := range order.Perm(len(reports)) {
				b.Hear([]Report{reports[i]}, true, now)
			}
		}
		if a.Verdict(one, now) != b.Verdict(one, now) {
			t.Fatalf("%+v and %+v", a.Verdict(one, now), b.Verdict(one, now))
		}
	})
}

// TestBounded: any number of requests that were on endpoints that crashed takes bounded
// memory, and does not push out one that is quarantined.
func TestBounded(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	for n := range 3 {
		table.Crashed(one, crash(n, false, n-3), start)
	}
	for n := range 2 * MostRequests {
		now := start.Add(time.Duration(n) * time.Millisecond)
		table.Crashed(Fingerprint{uint64(n + 2), 1}, Crash{Endpoint: 1, At: now}, now)
	}
	is.True(table.Len() <= MostRequests)
	is.True(len(table.heads) <= MostRequests)
	is.True(table.Verdict(one, start.Add(time.Minute)).Quarantined())
	is.True(table.MayKnow(one.Head))
	// What is old goes as soon as something new comes.
	late := start.Add(longestRest)
	table.Tell(OwnCell, true, false, late) // nothing is news by then
	table.Crashed(Fingerprint{1, 9}, Crash{Endpoint: 1, At: late}, late)
	is.Equal(table.Len(), 1)
	is.True(table.MayKnow(1))
	is.True(!table.MayKnow(2))
}

// TestTell: who tells whom, and for how long.
func TestTell(t *testing.T) {
	is := is.New(t)
	count := func(table *Table, a Audience, speaks bool) int { return len(table.Tell(a, speaks, false, start)) }
	saw, heardNear, heardFar := NewTable(), NewTable(), NewTable()
	saw.Crashed(one, crash(1, false, 0), start)
	reports := saw.Tell(OwnCell, false, false, start)
	_, fresh := heardNear.Hear(reports, false, start)
	is.Equal(fresh, 1)
	_, fresh = heardNear.Hear(reports, false, start)
	is.Equal(fresh, 0)
	heardFar.Hear(reports, true, start)

	is.Equal(count(saw, OwnCell, false), 1)
	is.Equal(count(saw, OtherCells, false), 0) // that is for those who speak
	is.Equal(count(saw, OtherCells, true), 1)
	is.Equal(count(heardNear, OwnCell, true), 0) // all have heard it
	is.Equal(count(heardNear, OtherCells, true), 1)
	is.Equal(count(heardFar, OwnCell, false), 0)
	is.Equal(count(heardFar, OwnCell, true), 1)
	is.Equal(count(heardFar, OtherCells, true), 0) // it does not go round

	for range urgentTellings {
		is.Equal(len(saw.Tell(OwnCell, false, true, start)), 1)
	}
	is.Equal(len(saw.Tell(OwnCell, false, true, start)), 0)
	is.Equal(len(saw.Tell(OwnCell, false, false, start.Add(newsLife))), 1)
	is.Equal(len(saw.Tell(OwnCell, false, false, start.Add(newsLife+time.Millisecond))), 0)
}

// TestRepeat: one that has heard nothing so far comes to the same verdict by what is
// repeated; many quarantined requests are repeated in turn, and none is left out.
func TestRepeat(t *testing.T) {
	is := is.New(t)
	table, other := NewTable(), NewTable()
	is.Equal(len(table.Repeat(start)), 0)
	const many = 60
	for f := range many {
		for n := range 3 {
			table.Crashed(Fingerprint{uint64(f), 1}, crash(n, false, n-3), start)
		}
	}
	table.Crashed(Fingerprint{many, 1}, crash(0, false, 0), start) // not quarantined
	for range 3*many/MostReports + 1 {
		reports := table.Repeat(start)
		is.True(len(reports) <= MostReports)
		other.Hear(reports, true, start)
	}
	is.Equal(other.Len(), many)
	for f := range many {
		is.True(other.Verdict(Fingerprint{uint64(f), 1}, start).Quarantined())
	}
	quarantined, _ := NewTable().Hear(table.Repeat(start), false, start)
	is.True(len(quarantined) > 0)
}

// TestRecall: what was kept decides as before, and is no news.
func TestRecall(t *testing.T) {
	is := is.New(t)
	before, after := NewTable(), NewTable()
	for n := range 3 {
		before.Crashed(one, crash(n, false, n), start)
	}
	now := start.Add(time.Minute)
	after.Recall(before.Entry(one), now)
	is.Equal(after.Verdict(one, now), before.Verdict(one, now))
	is.Equal(len(after.Tell(OwnCell, true, false, now)), 0)
	is.Equal(len(before.Entry(Fingerprint{5, 5}).Crashes), 0)
}
