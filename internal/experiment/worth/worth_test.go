package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/eventlog"
)

var engines = fleet{endpoints: 2, tokensPerMs: 100, msPerMillionPairs: 0}

// logOf returns log lines with the given bodies, one per second and request.
func logOf(t *testing.T, bodies ...string) []eventlog.Line {
	t.Helper()
	var text strings.Builder
	for i, body := range bodies {
		fmt.Fprintf(&text, "time=2026-01-02T10:00:%02dZ level=info request=r%d %s\n", i, i, body)
	}
	lines, err := eventlog.Read("log", strings.NewReader(text.String()))
	if err != nil {
		t.Fatal(err)
	}
	return lines
}

// TestReasons checks the reason assigned to each outcome in the log.
func TestReasons(t *testing.T) {
	const end = `msg="Request ended." tokens=5000 objective_ms=300 pause_ms=250 ms=1000 `
	for text, want := range map[string]reason{
		end + "outcome=answered first_ms=100 gap_ms=250":     inTime,
		end + "outcome=answered first_ms=301 gap_ms=10":      lateFirst,
		end + "outcome=answered first_ms=100 gap_ms=251":     latePause,
		end + "outcome=refused-busy first_ms=-1 gap_ms=0":    refusedSlots,
		end + "outcome=refused-key first_ms=-1 gap_ms=0":     refusedStarting,
		end + "outcome=not-started first_ms=-1 gap_ms=0":     refusedStarting,
		end + "outcome=refused-full first_ms=-1 gap_ms=0":    refusedSends,
		end + "outcome=broken-off first_ms=100 gap_ms=0":     broken,
		end + "outcome=caller-gone first_ms=-1 gap_ms=0":     notOwed, // after 1 s of 2 s of patience
		end + "outcome=caller-gone first_ms=50 gap_ms=2500":  gaveUp,
		end + "outcome=unknown-key first_ms=-1 gap_ms=0":     notOwed,
		end + "outcome=unknown-route first_ms=-1 gap_ms=0":   otherEnd,
		end + "outcome=may-have-run first_ms=-1 gap_ms=1000": broken,
	} {
		is := is.New(t)
		all := collect(logOf(t, text))
		is.Equal(len(all), 1)
		is.Equal(all[0].why, want)
	}
}

// TestRefusedInTheQueue checks that a refusal is attributed to the queue if the log
// reports that no endpoint was chosen, and that requests without a prompt are left out.
func TestRefusedInTheQueue(t *testing.T) {
	is := is.New(t)
	lines := logOf(t,
		`msg="No endpoint chosen." why=queue parts=3`,
		`msg="Request ended." outcome=refused-full tokens=0 ms=1`,
	)
	lines[1].Fields["request"] = "r0"
	is.Equal(len(collect(lines)), 0)
	lines[1].Fields["tokens"] = "100000"
	all := collect(lines)
	is.Equal(len(all), 1)
	is.Equal(all[0].why, refusedQueue)
	lines[0].Fields["parts"] = "0"
	is.Equal(collect(lines)[0].why, refusedNever)
}

// TestSlowEndpoint checks that a late answer of a slow endpoint is attributed to it.
func TestSlowEndpoint(t *testing.T) {
	is := is.New(t)
	lines := logOf(t,
		`msg="Endpoint chosen." expected_ms=90 pace=4`,
		`msg="Request ended." outcome=answered tokens=5000 objective_ms=300 pause_ms=250 first_ms=400 gap_ms=0 ms=900`,
	)
	lines[1].Fields["request"] = "r0"
	is.Equal(collect(lines)[0].why, lateSlow)
}

// TestRetries checks that worth is owed only for the first attempt, that an answer to a
// retry counts as late, and that holding a request without an answer costs from the first
// millisecond.
func TestRetries(t *testing.T) {
	is := is.New(t)
	lines := logOf(t,
		`msg="Request ended." route=r outcome=refused-full tokens=20000 deadline_ms=10000 objective_ms=1500 pause_ms=500 first_ms=-1 gap_ms=0 ms=500`,
		`msg="Request ended." route=r outcome=answered tokens=20000 deadline_ms=6000 objective_ms=1500 pause_ms=500 first_ms=300 gap_ms=0 ms=900`,
		`msg="Request ended." route=r outcome=answered tokens=20000 deadline_ms=8500 objective_ms=1500 pause_ms=500 first_ms=300 gap_ms=0 ms=900`,
	)
	r := newReport(engines, nil, time.Minute, collect(lines))
	w := r.windows[0]
	is.Equal(w.owed, 4.0)
	is.Equal(w.earned, 2.5)
	is.Equal(w.strict, 2.4)
	is.Equal(w.lost[refusedSends], 2.0)
}

// TestWorthByKind checks that kinds are identified by their pauses and that worth grows
// with the length up to a limit.
func TestWorthByKind(t *testing.T) {
	is := is.New(t)
	v, err := parseKinds([]string{"200:1.4:5000", "800:30:300000"})
	is.NoErr(err)
	is.Equal(v.worthOf(&request{pause: 800 * time.Millisecond, tokens: 300000}), 30.0)
	is.Equal(v.worthOf(&request{pause: 800 * time.Millisecond, tokens: 30_000_000}), 120.0)
	is.Equal(v.worthOf(&request{pause: 500 * time.Millisecond, tokens: 45000}), 4.5)
	for _, text := range []string{"", "200", "200:1", "x:1:1", "200:0:5", "200:1:-5"} {
		_, err := parseKinds([]string{text})
		is.True(err != nil)
	}
}

// TestBound checks that of two prompts that exceed the engine time until their objective
// the one with more worth per engine time is counted, and one due later fits as well.
func TestBound(t *testing.T) {
	is := is.New(t)
	at := time.Unix(0, 0)
	make := func(tokens int, objective time.Duration) *request {
		return &request{at: at, tokens: tokens, objective: objective}
	}
	small, big, patient := make(10_000, time.Second), make(200_000, time.Second), make(100_000, 3*time.Second)
	fits := bound(fleet{endpoints: 2, tokensPerMs: 100, msPerMillionPairs: 0.1}, nil, []*request{small, big, patient})
	is.True(fits[small])
	is.True(!fits[big]) // 4 s of prefill for 2.2 engine seconds until its objective
	is.True(fits[patient])
	is.Equal(len(bound(engines, nil, nil)), 0)
}

// TestReport checks the owed, earned and lost worth by window and by size.
func TestReport(t *testing.T) {
	is := is.New(t)
	lines := logOf(t,
		`msg="Request ended." outcome=answered tokens=5000 objective_ms=300 pause_ms=250 first_ms=100 gap_ms=0 ms=0`,
		`msg="Request ended." outcome=answered tokens=40000 objective_ms=300 pause_ms=0 first_ms=400 gap_ms=0 ms=0`,
	)
	r := newReport(engines, nil, time.Second, collect(lines))
	is.Equal(len(r.windows), 2)
	is.Equal(r.windows[1].second, 1)
	is.Equal(r.windows[1].owed, 4.0)
	is.Equal(r.windows[1].earned, 1.0)
	is.Equal(r.windows[1].lost[lateFirst], 3.0)
	is.Equal(r.sizes[medium].owed, 4.0)
	var out strings.Builder
	is.NoErr(r.text(&out))
	is.True(strings.Contains(out.String(), "20k to 80k"))
	var html strings.Builder
	is.NoErr(r.html(&html))
	is.True(strings.Contains(html.String(), "<svg"))
}
