package slo_test

import (
	"bytes"
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/micarudder/micarudder/slo"
)

var (
	t0     = time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)
	east   = slo.Target{Workspace: "east", Class: "4k"}
	total  = slo.Target{Workspace: slo.All, Class: slo.All}
	good99 = []slo.Objective{{Indicator: slo.Outcomes, Good: 0.99}}
	window = []slo.Window{{Long: time.Hour, Short: 5 * time.Minute, Rate: 10, Severity: slo.Page}}
)

func outcomes(total, bad float64) slo.Counters {
	return slo.Counters{slo.Outcomes: {east: {Total: total, Bad: bad}}}
}

func sample(minute int, gateways map[string]slo.Counters) slo.Sample {
	return slo.Sample{At: t0.Add(time.Duration(minute) * time.Minute), Gateways: gateways}
}

func singleGateway(minute int, total, bad float64) slo.Sample {
	return sample(minute, map[string]slo.Counters{"a": outcomes(total, bad)})
}

func TestReport(t *testing.T) {
	cases := []struct {
		name        string
		samples     []slo.Sample
		now         int // minutes
		long, short float64
		events      float64
		covered     time.Duration
		firing      slo.Severity
	}{
		{"exactly the budget", []slo.Sample{singleGateway(0, 0, 0), singleGateway(4, 1000, 10)}, 4, 1, 1, 1000, 4 * time.Minute, ""},
		{"counts before the first sample are ignored", []slo.Sample{singleGateway(0, 500, 500), singleGateway(4, 1500, 510)}, 4, 1, 1, 1000, 4 * time.Minute, ""},
		{"fast burn that continues", []slo.Sample{singleGateway(0, 0, 0), singleGateway(55, 1000, 100), singleGateway(60, 1100, 120)}, 60, 120.0 / 11, 20, 1100, time.Hour, slo.Page},
		{"fast burn that is over", []slo.Sample{singleGateway(0, 0, 0), singleGateway(30, 1000, 500), singleGateway(60, 2000, 500)}, 60, 25, 0, 2000, time.Hour, ""},
		{"short burst below the long window's rate", []slo.Sample{singleGateway(0, 0, 0), singleGateway(55, 10000, 0), singleGateway(60, 10100, 50)}, 60, 50.0 / 101, 50, 10100, time.Hour, ""},
		{"events older than the window are ignored", []slo.Sample{singleGateway(0, 0, 0), singleGateway(1, 1000, 1000), singleGateway(61, 2000, 1000)}, 61, 0, 0, 1000, time.Hour, ""},
		{"an increment longer than the window counts in proportion", []slo.Sample{singleGateway(0, 0, 0), singleGateway(100, 1000, 110)}, 100, 11, 11, 600, time.Hour, slo.Page},
		{"a bad event seen before its total", []slo.Sample{singleGateway(0, 100, 0), singleGateway(2, 100, 3), singleGateway(4, 200, 3)}, 4, 0, 0, 100, 4 * time.Minute, ""},
		{"a restarted gateway counts from zero", []slo.Sample{singleGateway(0, 0, 0), singleGateway(2, 1000, 0), singleGateway(4, 100, 2)}, 4, 2.0 / 11, 2.0 / 11, 1100, 4 * time.Minute, ""},
		{"no traffic", []slo.Sample{singleGateway(0, 7, 1), singleGateway(4, 7, 1)}, 4, 0, 0, 0, 4 * time.Minute, ""},
		{"a gateway missing from one sample loses no events", []slo.Sample{singleGateway(0, 0, 0), sample(2, nil), singleGateway(4, 1000, 10)}, 4, 1, 1, 1000, 4 * time.Minute, ""},
		{"gateways are summed", []slo.Sample{
			sample(0, map[string]slo.Counters{"a": outcomes(10, 0), "b": outcomes(900, 900)}),
			sample(4, map[string]slo.Counters{"a": outcomes(510, 5), "b": outcomes(1400, 905)}),
		}, 4, 1, 1, 1000, 4 * time.Minute, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			rows := slo.Report(c.samples, t0.Add(time.Duration(c.now)*time.Minute), good99, window)
			is.Equal(len(rows), 4) // all/all, all/4k, east/all, east/4k
			is.Equal(rows[0].Target, total)
			for _, r := range rows {
				is.Equal(r.Events, c.events)
				is.Equal(r.Burns[0].Covered, c.covered)
				is.True(math.Abs(r.Burns[0].LongBurn-c.long) < 1e-9)
				is.True(math.Abs(r.Burns[0].ShortBurn-c.short) < 1e-9)
				is.Equal(r.Firing(), c.firing)
			}
		})
	}
}

func TestReportWithoutIncrease(t *testing.T) {
	is := is.New(t)
	is.Equal(len(slo.Report(nil, t0, good99, window)), 0)
	is.Equal(len(slo.Report([]slo.Sample{singleGateway(0, 5, 5)}, t0, good99, window)), 0)
}

// TestReportAddsUp checks, with counters that rise and fall at random as on gateway restarts,
// that the sum over workspaces and classes equals the total and no burn rate is negative.
func TestReportAddsUp(t *testing.T) {
	classes := []string{"4k", "32k"}
	rapid.Check(t, func(t *rapid.T) {
		var samples []slo.Sample
		for m := range rapid.IntRange(2, 6).Draw(t, "samples") {
			c := slo.Counters{slo.Outcomes: {}}
			for _, w := range []string{"east", "west"} {
				for _, cl := range classes {
					n := rapid.IntRange(0, 100).Draw(t, "n")
					c[slo.Outcomes][slo.Target{Workspace: w, Class: cl}] = slo.Tally{Total: float64(n), Bad: float64(rapid.IntRange(0, n).Draw(t, "bad"))}
				}
			}
			samples = append(samples, sample(m, map[string]slo.Counters{"a": c}))
		}
		rows := slo.Report(samples, samples[len(samples)-1].At, good99, window)
		sum := 0.0
		const rounding = 1e-9
		for _, r := range rows {
			if r.Burns[0].LongBurn < 0 || r.Bad > r.Events {
				t.Fatalf("%+v", r)
			}
			if r.Workspace != slo.All && r.Class != slo.All {
				sum += r.Events
			}
		}
		if math.Abs(sum-rows[0].Events) > rounding {
			t.Fatalf("sum over workspaces and classes %v, total %v", sum, rows[0].Events)
		}
	})
}

func TestReadVictoriaMetrics(t *testing.T) {
	is := is.New(t)
	set := metrics.NewSet()
	count := func(name string, n int) { set.GetOrCreateCounter(name).Set(uint64(n)) }
	count(`rudder_requests_total{workspace="east",class="4k",outcome="ok"}`, 90)
	count(`rudder_requests_total{workspace="east",class="4k",outcome="not_run"}`, 7)
	count(`rudder_requests_total{workspace="east",class="4k",outcome="unknown"}`, 3)
	count(`rudder_requests_total{workspace="east",class="4k",outcome="canceled"}`, 50)
	count(`rudder_compared_total{workspace="east",class="4k"}`, 80)
	count(`rudder_slowed_total{workspace="east",class="4k"}`, 4)
	h := set.GetOrCreateHistogram(`rudder_first_token_seconds{workspace="east",class="4k"}`)
	for range 95 {
		h.Update(0.1)
	}
	for range 5 {
		h.Update(3)
	}
	set.GetOrCreateHistogram(`rudder_first_token_seconds{workspace="east",class="odd"}`).Update(1)
	var text bytes.Buffer
	set.WritePrometheus(&text)

	c, err := slo.Read(&text, map[string]time.Duration{"4k": time.Second})
	is.NoErr(err)
	is.Equal(c[slo.Outcomes][east], slo.Tally{Total: 100, Bad: 10})
	is.Equal(c[slo.Slowdown][east], slo.Tally{Total: 80, Bad: 4})
	is.Equal(c[slo.FirstToken], slo.Tallies{east: {Total: 100, Bad: 5}})

	data, err := json.Marshal(c)
	is.NoErr(err)
	var back slo.Counters
	is.NoErr(json.Unmarshal(data, &back))
	is.Equal(back, c)
}

func FuzzRead(f *testing.F) {
	f.Add("rudder_first_token_seconds_bucket{workspace=\"a\",class=\"4k\",vmrange=\"1...2\"} 3\n")
	f.Add("rudder_requests_total{outcome=\"ok\"} NaN\n")
	f.Add("# TYPE rudder_requests_total histogram\nrudder_requests_total_bucket{le=\"1\"} 1\n")
	f.Fuzz(func(t *testing.T, text string) {
		c, err := slo.Read(bytes.NewReader([]byte(text)), map[string]time.Duration{"4k": time.Second})
		if (err == nil) == (c == nil) {
			t.Fatal("want either counters or an error")
		}
		if _, err := json.Marshal(c); err != nil {
			t.Fatal("counters cannot be encoded as JSON:", err)
		}
	})
}
