package burn_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"github.com/micarudder/micarudder/burn"
	"github.com/micarudder/micarudder/slo"
)

var now = time.Date(2026, 3, 2, 13, 0, 0, 0, time.UTC)

func readConfig(t *testing.T, text string) *slo.Config {
	t.Helper()
	file := filepath.Join(t.TempDir(), "objectives.ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := slo.ReadConfig(file)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// history returns samples of two workspaces over one hour. In the last ten
// minutes the first tokens of one workspace are late.
func history() []slo.Sample {
	var out []slo.Sample
	for m := 0; m <= 60; m += 2 {
		n := float64(m * 100)
		late := max(0, float64(m-50)*30)
		first := slo.Tallies{
			{Workspace: "bid-east", Class: "4k"}:   {Total: n, Bad: late},
			{Workspace: "settlement", Class: "1M"}: {Total: n / 100},
		}
		outcomes := slo.Tallies{
			{Workspace: "bid-east", Class: "4k"}:   {Total: n, Bad: float64(m) / 10},
			{Workspace: "settlement", Class: "1M"}: {Total: n / 100},
		}
		out = append(out, slo.Sample{
			At:       now.Add(time.Duration(m-60) * time.Minute),
			Gateways: map[string]slo.Counters{"http://10.0.0.1:7000/metrics": {slo.FirstToken: first, slo.Outcomes: outcomes}},
		})
	}
	return out
}

func TestReportGolden(t *testing.T) {
	is := is.New(t)
	r := burn.NewReport(history(), now, readConfig(t, ""))
	is.Equal(r.Firing(), slo.Ticket)
	g := goldie.New(t)
	var text, js, page bytes.Buffer
	is.NoErr(r.WriteText(&text))
	is.NoErr(r.WriteJSON(&js))
	is.NoErr(r.WriteHTML(&page))
	g.Assert(t, "report.txt", text.Bytes())
	g.Assert(t, "report.json", js.Bytes())
	is.Equal(strings.Count(page.String(), "<svg"), 2) // the slowdown objective has no events
	for _, reference := range []string{"src=", "@import", "<link", "<script"} {
		is.True(!strings.Contains(page.String(), reference))
	}
}

func TestReportWithoutSamples(t *testing.T) {
	is := is.New(t)
	r := burn.NewReport(nil, now, readConfig(t, ""))
	var text, page bytes.Buffer
	is.NoErr(r.WriteText(&text))
	is.NoErr(r.WriteHTML(&page))
	is.True(strings.Contains(text.String(), "no events yet"))
	is.True(strings.Contains(page.String(), "No events yet"))
}

func TestConfig(t *testing.T) {
	is := is.New(t)
	c := readConfig(t, "[window slow]\nlong = 2h\nshort = 10m\nrate = 2\nseverity = ticket\n[window fast]\nlong = 10m\nshort = 1m\nrate = 10\n")
	is.Equal(c.WindowList()[0], slo.Window{Long: 10 * time.Minute, Short: time.Minute, Rate: 10, Severity: slo.Page})
	file := filepath.Join(t.TempDir(), "objectives.ini")
	is.NoErr(os.WriteFile(file, []byte("[window fast]\nlong = 1m\nshort = 10m\nrate = 10\n"), 0o600))
	_, err := slo.ReadConfig(file)
	is.True(err != nil)
}

func TestSampleErrorNamesUnreachableGateways(t *testing.T) {
	is := is.New(t)
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("rudder_requests_total{workspace=\"a\",class=\"4k\",outcome=\"ok\"} 3\n"))
	}))
	defer up.Close()
	down := httptest.NewServer(http.NotFoundHandler())
	defer down.Close()
	s := burn.Sampler{Client: up.Client(), URLs: []string{up.URL, down.URL}}
	got, err := s.Sample(context.Background())
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), down.URL))
	is.True(!strings.Contains(err.Error(), up.URL))
	is.Equal(len(got.Gateways), 1)
	is.Equal(got.Gateways[up.URL][slo.Outcomes][slo.Target{Workspace: "a", Class: "4k"}], slo.Tally{Total: 3})
}

func TestHistory(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "history")
	none, err := burn.ReadHistory(file)
	is.NoErr(err)
	is.Equal(len(none), 0)
	is.NoErr(burn.WriteHistory(file, history()))
	got, err := burn.ReadHistory(file)
	is.NoErr(err)
	is.Equal(got, history())
	is.NoErr(os.WriteFile(file, []byte("{\"at\":"), 0o600))
	_, err = burn.ReadHistory(file)
	is.True(err != nil && strings.Contains(err.Error(), "line 1"))
}

func TestPruneKeepsWindowBaseline(t *testing.T) {
	is := is.New(t)
	windows := []slo.Window{{Long: 10 * time.Minute, Short: time.Minute}}
	kept := burn.Prune(history(), now, windows)
	is.Equal(kept[0].At, now.Add(-10*time.Minute))
	is.Equal(burn.NewReport(kept, now, readConfig(t, "")).Rows[0].Events, 1010.0)
	is.Equal(len(burn.Prune(nil, now, windows)), 0)
}
