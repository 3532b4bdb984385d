package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/routing"
)

var epoch = time.Unix(1_000_000, 0)

// prior assumes 1 ms per 1,000 prompt tokens and 1 ms per response token.
var prior = routing.Cost{PrefillPerToken: time.Microsecond, DecodePerToken: time.Millisecond}

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// item returns an item with the given prompt and response lengths; arrived and deadline are
// in ms after epoch.
func item(id, workspace string, prompt, output uint64, arrived, deadline int) Item {
	return Item{
		ID: id, Workspace: workspace, Class: routing.ClassOf(prompt),
		PromptTokens: prompt, OutputTokens: output, MemoryTokens: prompt + output,
		Arrived: at(arrived), Deadline: at(deadline),
	}
}

// capacityWith returns the capacity of an endpoint with the given free tokens out of
// 400,000.
func capacityWith(free uint64) Capacity {
	return Capacity{FreeTokens: free, MemoryTokens: 400_000, MaxRunning: 64}
}

func TestOrder(t *testing.T) {
	cases := []struct {
		name  string
		items []Item
		want  []string
	}{
		{"earliest deadline first", []Item{item("b", "w", 100, 1, 0, 900), item("a", "w", 100, 1, 1, 500)}, []string{"a", "b"}},
		{"short before long", []Item{item("long", "w", 90_000, 1, 0, 5000), item("short", "w", 100, 1, 1, 9000)}, []string{"short", "long"}},
		{"workspaces take turns", []Item{
			item("a1", "a", 100, 1, 0, 900), item("a2", "a", 100, 1, 0, 901), item("b1", "b", 100, 1, 1, 990), item("b2", "b", 100, 1, 1, 991),
		}, []string{"a1", "b1", "a2", "b2"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			q := New(Config{Prior: prior})
			for _, it := range tc.items {
				is.True(q.Offer(it, capacityWith(400_000), at(1)).Admitted)
			}
			var got []string
			for it, ok := q.Next(capacityWith(400_000), at(2)); ok; it, ok = q.Next(capacityWith(400_000), at(2)) {
				got = append(got, it.ID)
			}
			is.Equal(got, tc.want)
		})
	}
}

func TestRefusal(t *testing.T) {
	cases := []struct {
		name string
		it   Item
		want result.Code // 0: admitted
	}{
		{"in time", item("x", "b", 1_000, 10, 0, 100), 0},
		{"deadline too short for the item itself", item("x", "b", 200_000, 10, 0, 100), result.DeadlineTooNear},
		{"would make its own workspace's items late", item("x", "a", 30_000, 10, 0, 150), result.Overloaded},
		{"in time beside another workspace's items", item("x", "b", 30_000, 10, 0, 150), 0},
		{"larger than the endpoint's memory", item("x", "b", 400_000, 10, 0, 9e6), result.MemoryHeld},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			q := New(Config{Prior: prior})
			for i := range 10 { // 200 ms of work for workspace a
				is.True(q.Offer(item(string(rune('0'+i)), "a", 20_000, 1, 0, 225-i), capacityWith(400_000), at(0)).Admitted)
			}
			v := q.Offer(tc.it, capacityWith(400_000), at(0))
			is.Equal(v.Code, tc.want)
			is.Equal(v.Admitted, tc.want == 0)
			is.Equal(v.RetryAfter > 0, tc.want != 0)
		})
	}
}

// TestMemoryBackfill has a large item wait for memory that a run frees at 1,000 ms;
// 149,990 tokens more than it needs will be free then.
func TestMemoryBackfill(t *testing.T) {
	cases := []struct {
		name   string
		now    int // ms
		tokens uint64
		output uint64 // ms
		want   bool   // whether the small item starts before the large one
	}{
		{"ends before the memory is free", 300, 160_000, 100, true},
		{"takes memory that the large item needs", 300, 160_000, 2_000, false},
		{"leaves enough memory", 300, 140_000, 2_000, true},
		{"large item not urgent yet", 820, 160_000, 30, true},
		{"large item urgent", 900, 160_000, 30, false},
		{"large item urgent, leaves enough memory", 900, 140_000, 2_000, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			q := New(Config{Prior: prior})
			is.True(q.Offer(item("first", "w", 200_000, 800, 0, 60_000), capacityWith(400_000), at(0)).Admitted)
			_, ok := q.Next(capacityWith(400_000), at(0))
			is.True(ok)
			q.Prefilled("first", at(200))
			is.True(q.Offer(item("large", "w", 250_000, 10, 201, 1_400), capacityWith(199_200), at(201)).Admitted)
			small := item("small", "w", 10, tc.output, tc.now, 60_000)
			small.MemoryTokens = tc.tokens
			is.True(q.Offer(small, capacityWith(199_200), at(tc.now)).Admitted)
			_, ok = q.Next(capacityWith(199_200), at(tc.now))
			is.Equal(ok, tc.want)
		})
	}
}

// TestPrefillPreemption offers an item while long work of workspace b prefills for 200 ms.
func TestPrefillPreemption(t *testing.T) {
	cases := []struct {
		name string
		next Item
		now  int
		want bool
	}{
		{"short preempts", item("next", "a", 1_000, 1, 0, 60_000), 10, true},
		{"short of the same workspace preempts", item("next", "b", 1_000, 1, 0, 60_000), 10, true},
		{"long waits for a longer class with less prefill left", item("next", "a", 120_000, 1, 0, 60_000), 150, false},
		{"long preempts a longer class with more prefill left", item("next", "a", 120_000, 1, 0, 60_000), 10, true},
		{"long waits for its own class", item("next", "a", 200_000, 1, 0, 60_000), 10, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			q := New(Config{Prior: prior})
			is.True(q.Offer(item("long", "b", 200_000, 1, 0, 60_000), capacityWith(400_000), at(0)).Admitted)
			_, ok := q.Next(capacityWith(210_000), at(0))
			is.True(ok)
			is.True(q.Offer(tc.next, capacityWith(210_000), at(tc.now)).Admitted)
			_, ok = q.Next(capacityWith(210_000), at(tc.now))
			is.Equal(ok, tc.want)
		})
	}
}

// TestLongPrefillKeepsShare has a workspace offer short work continuously while long work
// of 4 s prefills. The long work must get half of the time beside another workspace's
// short work, and a tenth beside its own workspace's.
func TestLongPrefillKeepsShare(t *testing.T) {
	cases := []struct {
		workspace   string
		least, most int // ms until the long work has had its 4 s
	}{
		{"b", 5_000, 14_000},
		{"a", 25_000, 45_000},
	}
	for _, tc := range cases {
		t.Run(tc.workspace, func(t *testing.T) {
			is := is.New(t)
			slow := routing.Cost{PrefillPerToken: 20 * time.Microsecond, DecodePerToken: time.Millisecond}
			q := New(Config{Prior: slow}).(*queue)
			is.True(q.Offer(item("long", tc.workspace, 200_000, 1, 0, 600_000), capacityWith(400_000), at(0)).Admitted)
			q.Next(capacityWith(210_000), at(0))
			ms := 0
			for ; q.running["long"].remainingPrefill() > 0; ms += 80 {
				it := item("short", "a", 4_000, 1, ms, 600_000)
				q.Offer(it, capacityWith(210_000), at(ms))
				if _, ok := q.Next(capacityWith(210_000), at(ms)); ok {
					q.Prefilled("short", at(ms+80))
					q.Done(it, 0, 80*time.Millisecond, 0, 0)
				}
				q.Remove("short")
			}
			t.Log(ms)
			is.True(ms >= tc.least && ms <= tc.most)
		})
	}
}

func TestQueueBounds(t *testing.T) {
	is := is.New(t)
	q := New(Config{Prior: prior, MaxQueued: 8})
	full := Capacity{MemoryTokens: 400_000, MaxRunning: 1, Running: 1}
	admitted := map[string]int{}
	for i := range 10 {
		for _, w := range []string{"a", "b"} {
			if q.Offer(item(w+string(rune('0'+i)), w, 10, 1, 0, 9_000), full, at(0)).Admitted {
				admitted[w]++
			}
		}
	}
	is.Equal(admitted, map[string]int{"a": 3, "b": 3}) // each takes at most half of what is left
	is.True(q.Remove("a0"))
	is.True(!q.Remove("a0"))
	is.Equal(q.Load(at(1)).Queued, 5)
	is.Equal(len(q.Expire(at(8_999))), 0)
	is.Equal(len(q.Expire(at(9_000))), 5)
	is.Equal(q.Load(at(9_000)).Queued, 0)
}

func TestEnginePriority(t *testing.T) {
	is := is.New(t)
	short, urgent, long := item("", "", 10, 1, 0, 1), item("", "", 10, 1, 0, 1), item("", "", 90_000, 1, 0, 1)
	short.Priority, long.Priority = 99, 0
	is.True(EnginePriority(urgent) < EnginePriority(short))
	is.True(EnginePriority(short) < EnginePriority(long))
}
