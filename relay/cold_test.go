package relay

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/catalog"
)

// setCold makes all gateways read a list in which the engines of these data centres are cold, or warm
// again, and in which a cold engine accepts this many requests a second.
func (f *limitFleet) setCold(perSecond float64, coldFor time.Duration, dataCentres ...string) {
	for i, g := range f.gateways {
		c := *g.state.Table().Configuration
		c.Version++
		c.Services = slices.Clone(c.Services)
		c.Services[0].ColdRate = perSecond
		g.state.ApplyConfiguration(&c)
		list := slices.Clone(g.state.Endpoints("s"))
		for n := range list {
			if slices.Contains(dataCentres, list[n].DataCentre) {
				list[n].ColdFor = coldFor
			}
		}
		time.AfterFunc(time.Duration(i)*10*time.Millisecond, func() { g.applyCold(list, time.Now()) })
	}
}

// maxInOneSecond returns the largest number of requests that an engine got in any second since a time.
func (f *limitFleet) maxInOneSecond(engine int, since time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	most := 0
	for i, from := range f.arrivals[addressOf(engine)] {
		if from.Before(since) {
			continue
		}
		n := 0
		for _, at := range f.arrivals[addressOf(engine)][i:] {
			if at.Sub(from) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestColdEnginesAreNotSwamped guards against engines that fall over because they come back cold and empty,
// a whole data centre at once, and all gateways turn to them; and against leaving them idle.
func TestColdEnginesAreNotSwamped(t *testing.T) {
	const rate, load = 2.0, 5 * time.Second
	cases := map[string]struct {
		cold    []string
		engines []int
		minUsed float64 // least used part of what the cold engines accept
	}{
		"one data centre of three": {[]string{"dc1"}, []int{1, 4, 7, 10, 13, 16, 19, 22, 25, 28}, 0},
		"all":                      {[]string{"dc0", "dc1", "dc2"}, engineIndexes(30), 0.95},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newLimitFleetInCells(t, 3, 20, 30)
				f.responseTime = 200 * time.Millisecond
				time.Sleep(2 * time.Second)
				from := time.Now()
				f.setCold(rate, load+time.Second, tc.cold...)
				time.Sleep(250 * time.Millisecond)
				f.sendLoad(t, 150, load, func(n int) int { return n % 20 })
				sent := 0
				for _, e := range tc.engines {
					sent += f.requestsSince(e, from)
					is.True(float64(f.maxInOneSecond(e, from)) <= 1.5*rate+5)
				}
				used := float64(sent) / (rate * float64(len(tc.engines)) * load.Seconds())
				t.Logf("%.2f used, %d refused, at most %v", used, len(f.refusalTimes), f.maxInOneSecond(tc.engines[0], from))
				is.True(used >= tc.minUsed)
				if tc.minUsed == 0 {
					is.Equal(len(f.refusalTimes), 0)
				}
				f.setCold(rate, 0)
				time.Sleep(250 * time.Millisecond)
				from = time.Now()
				f.sendLoad(t, 150, 2*time.Second, func(n int) int { return n % 20 })
				sent = 0
				for _, e := range tc.engines {
					sent += f.requestsSince(e, from)
				}
				is.True(sent >= 300*len(tc.engines)/30*9/10) // they get their share again
			})
		})
	}
}

// TestColdEnginesWithEnoughRateAreUsed guards against callers who wait or are refused while cold engines stand
// idle that may take more requests than their slots let in.
func TestColdEnginesWithEnoughRateAreUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleetInCells(t, 3, 20, 30)
		f.responseTime = 600 * time.Millisecond
		time.Sleep(2 * time.Second)
		rate := float64(sendsPerSlot * f.gateways[0].state.Endpoints("s")[0].Slots)
		from := time.Now()
		f.setCold(rate, 10*time.Second, "dc1")
		time.Sleep(250 * time.Millisecond)
		f.sendLoad(t, 300, 5*time.Second, func(n int) int { return n % 20 })
		sent := 0
		for e := 1; e < 30; e += 3 {
			sent += f.requestsSince(e, from)
			is.True(float64(f.maxInOneSecond(e, from)) <= 1.5*rate+5)
		}
		t.Logf("%d of 1500 requests, %d refused", sent, len(f.refusalTimes))
		is.True(sent >= 400)
	})
}

// TestColdTimeEnds checks that an endpoint counts as warm after its cold time if no list can be read.
func TestColdTimeEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleetInCells(t, 1, 2, 2)
		g := f.gateways[0]
		config := *g.state.Table().Configuration
		config.Version++
		config.Services = slices.Clone(config.Services)
		config.Services[0].ColdRate = 2
		is.True(g.state.ApplyConfiguration(&config))
		list := []catalog.Endpoint{{ID: "e0", Service: "s", Slots: 10, ColdFor: 3 * time.Second}}
		g.applyCold(list, time.Now())
		time.Sleep(2 * time.Second)
		_, cold := g.endpointLimits.Limit("e0")
		is.True(cold)
		time.Sleep(time.Second + 2*broadcastInterval)
		_, cold = g.endpointLimits.Limit("e0")
		is.True(!cold)
	})
}
