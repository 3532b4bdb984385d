package balance

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// report is what a peer last reported, as TestLoadOfManyPeers keeps it.
type report struct {
	at         time.Time
	dataCentre string
	loads      map[string]Load
}

// TestLoadOfManyPeers checks that the load of an endpoint is the sum of all valid reports, for random full and
// partial reports of peers that fall silent, come back and change their data centre.
func TestLoadOfManyPeers(t *testing.T) {
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 0))
		tracker, reports, now := NewLoadTracker(), make(map[string]report), time.Unix(1000, 0)
		for range 300 {
			now = now.Add(time.Duration(r.IntN(300)) * time.Millisecond)
			name, dataCentre := fmt.Sprint("g", r.IntN(6)), fmt.Sprint("dc", r.IntN(8)/7)
			loads := make(map[string]Load)
			for range r.IntN(4) {
				loads[fmt.Sprint("e", r.IntN(5))] = Load{PrefillMs: float64(r.IntN(1000)) / 7, Short: r.IntN(3), MemoryTokens: r.IntN(9)}
			}
			old := reports[name]
			if r.IntN(2) == 0 {
				tracker.SetPeerLoad(name, dataCentre, maps.Clone(loads), now)
				reports[name] = report{now, dataCentre, loads}
			} else {
				tracker.UpdatePeerLoad(name, dataCentre, maps.Clone(loads), now)
				merged := make(map[string]Load)
				if now.Sub(old.at) <= peerTTL && old.dataCentre == dataCentre {
					merged = maps.Clone(old.loads)
				}
				maps.Copy(merged, loads)
				reports[name] = report{now, dataCentre, merged}
			}
			if r.IntN(10) == 0 {
				now = now.Add(peerTTL)
			}
			checkLoads(t, tracker, reports, now)
		}
	}
}

func checkLoads(t *testing.T, tracker *LoadTracker, reports map[string]report, now time.Time) {
	t.Helper()
	for i := range 5 {
		id := fmt.Sprint("e", i)
		var all, withoutFirst Load
		for _, p := range reports {
			if now.Sub(p.at) > peerTTL {
				continue
			}
			all = all.plus(p.loads[id])
			if p.dataCentre != "dc0" {
				withoutFirst = withoutFirst.plus(p.loads[id])
			}
		}
		got := []Load{tracker.Load(id, now), tracker.LoadExcluding(id, func(dataCentre string) bool { return dataCentre == "dc0" }, now)}
		for n, want := range []Load{all, withoutFirst} {
			if math.Abs(got[n].PrefillMs-want.PrefillMs) > 1e-6 || got[n].Short != want.Short || got[n].MemoryTokens != want.MemoryTokens {
				t.Fatalf("%s: %+v, want %+v", id, got[n], want)
			}
		}
	}
}

// BenchmarkLoad measures the load of one endpoint, which a choice asks for each of its candidates.
func BenchmarkLoad(b *testing.B) {
	for _, peers := range []int{20, 80, 400} {
		b.Run(fmt.Sprint(peers), func(b *testing.B) {
			tracker, now := NewLoadTracker(), time.Now()
			for i := range peers {
				tracker.SetPeerLoad(fmt.Sprint("g", i), "dc", map[string]Load{fmt.Sprint("e", i%50): {Short: 1}}, now)
			}
			for b.Loop() {
				tracker.Load("e7", now)
			}
		})
	}
}
