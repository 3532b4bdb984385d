package load

import (
	"crypto/sha256"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"gopkg.in/ini.v1"
	"pgregory.net/rapid"

	"github.com/micarudder/micarudder/prefix"
	"github.com/micarudder/micarudder/routing"
)

const sampleMix = `
[run]
duration = 60s
rate = 40

[flow drafts]
workspace = desk
key = k1
model = rudder-llm
share = 0.6
arrivals = bursts
burst_every = 15s
burst_length = 3s
burst_part = 0.8
prompt = 1k-4k
ticket = true

[flow reconciliations]
workspace = settle
key = k2
model = rudder-llm
share = 0.4
prompt = 4k-32k:9, 128k-1M
sessions = 3
`

func readMix(t testing.TB, text string) (*Mix, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "mix.ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return ReadMix(file)
}

func readWorkspaces(t *testing.T, file string) *ini.File {
	t.Helper()
	f, err := ini.Load(file)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func mustMix(t testing.TB, text string) *Mix {
	t.Helper()
	m, err := readMix(t, text)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func TestMixMistakes(t *testing.T) {
	cases := []struct{ name, from, to, want string }{
		{"shares", "share = 0.6", "share = 0.7", "[run] rate: the shares of the flows add up to 1.100"},
		{"rate", "rate = 40", "rate = NaN", "[run] rate: is not greater than 0"},
		{"range", "1k-4k", "4k-1k", `[flow drafts] prompt: "4k-1k" has a range that is empty or above 1M`},
		{"too long", "128k-1M", "128k-2M", "above 1M"},
		{"weight", "32k:9", "32k:-1", "is not a list of FROM-TO:WEIGHT"},
		{"burst", "burst_length = 3s", "burst_length = 16s", "[flow drafts] burst_length: is longer than burst_every"},
		{"neither ticket nor key", "ticket = true", "repeatable = false", "a non-repeatable request needs a ticket or an idempotency key"},
		{"neither ticket nor key to resubmit with", "ticket = true", "patience = 5s", "same-key needs a ticket or an idempotency key"},
		{"unknown key", "rate = 40", "rate = 40\nspeed = 3", "[run] speed: unknown key"},
		{"no flow", sampleMix, "[run]\nrate = 1\n", "[flow]: there is none"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := readMix(t, strings.Replace(sampleMix, c.from, c.to, 1))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("got %v, want %q in it", err, c.want)
			}
		})
	}
}

func TestScheduleIsDeterministicForASeed(t *testing.T) {
	is := is.New(t)
	m := mustMix(t, sampleMix)
	is.Equal(m.Schedule(7, 1), m.Schedule(7, 1))
	is.True(len(m.Schedule(7, 1)) > 0)
	is.True(m.Schedule(7, 1)[0] != m.Schedule(8, 1)[0])
}

func TestFlowsDrawIndependently(t *testing.T) {
	is := is.New(t)
	m := mustMix(t, sampleMix)
	drafts := func(a Arrival) bool { return a.Flow == "drafts" }
	want := FilterArrivals(m.Schedule(7, 1), drafts)
	delete(m.Flow, "reconciliations")
	is.Equal(m.Schedule(7, 1), want)
}

// The mean rate stays within five standard deviations of a Poisson count, and
// the configured fraction of a bursty flow arrives during its bursts.
func TestScheduleRates(t *testing.T) {
	is := is.New(t)
	m := mustMix(t, sampleMix)
	m.Run.Duration = 20 * time.Minute
	as := FilterArrivals(m.Schedule(3, 1), func(a Arrival) bool { return a.Flow == "drafts" })
	is.True(within(float64(len(as)), 40*0.6*1200, 5*170))
	inBurst := FilterArrivals(as, func(a Arrival) bool { return a.At%(15*time.Second) >= 12*time.Second })
	is.True(within(float64(len(inBurst))/float64(len(as)), 0.8, 0.02))
}

func within(got, want, by float64) bool { return got > want-by && got < want+by }

func TestScheduleProperties(t *testing.T) {
	m := mustMix(t, sampleMix)
	rapid.Check(t, func(t *rapid.T) {
		as := m.Schedule(rapid.Uint64().Draw(t, "seed"), rapid.Float64Range(0, 2).Draw(t, "load"))
		last := time.Duration(0)
		ids := make(map[string]bool)
		for _, a := range as {
			if a.At < last || a.At >= m.Run.Duration {
				t.Fatalf("arrival at %v after %v", a.At, last)
			}
			if ids[a.ID] || a.Prompt == 0 || a.Prompt > MaxTokens || a.Answer == 0 {
				t.Fatalf("bad arrival %+v", a)
			}
			ids[a.ID], last = true, a.At
		}
	})
}

func TestPromptText(t *testing.T) {
	is := is.New(t)
	m := mustMix(t, sampleMix)
	f := m.Flow["reconciliations"]
	one := Arrival{ID: "r-1", Flow: "r", Prompt: 8192, Session: 2}
	two := Arrival{ID: "r-2", Flow: "r", Prompt: 16384, Session: 2}
	other := Arrival{ID: "r-3", Flow: "r", Prompt: 8192, Session: 1}
	is.Equal(prefix.Tokens(len(one.PromptText(f, "a"))), uint64(8192))
	is.Equal(one.PromptText(f, "a"), one.PromptText(f, "a"))
	shared := func(x, y Arrival) int {
		a, b := prefix.Chain("", []byte(x.PromptText(f, "a")), 0), prefix.Chain("", []byte(y.PromptText(f, "a")), 0)
		n := 0
		for n < len(a) && n < len(b) && a[n] == b[n] {
			n++
		}
		return n
	}
	is.Equal(shared(one, two), 4) // half of the shorter prompt's eight blocks
	is.Equal(shared(one, other), 0)
	is.Equal(one.Class(), routing.ClassMedium)
}

// The example mixes use workspaces, keys and models of the example declarations.
func TestReadyMixes(t *testing.T) {
	for name, site := range map[string]string{"bid-desk": "bratislava", "albums": "cardiff"} {
		is := is.New(t)
		m, err := ReadMix("../examples/load/" + name + ".ini")
		is.NoErr(err)
		declared := readWorkspaces(t, "../examples/"+site+"/workspaces.ini")
		for _, f := range m.Flow {
			s := declared.Section("workspace " + f.Workspace)
			is.Equal(s.Key("key-digests").String(), fmt.Sprintf("%x", sha256.Sum256([]byte(f.Key))))
			is.Equal(s.Key("models").String(), f.Model)
		}
		long := FilterArrivals(m.Schedule(1, 100), func(a Arrival) bool { return a.Prompt > 100_000 })
		is.True(len(long) > 0)
	}
}
