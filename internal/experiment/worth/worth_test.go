package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/eventlog"
)

var engines = fleet{endpoints: 2, readPerMs: 100, pairsPerM: 0}

// logOf returns log lines in which each request takes a second.
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

// TestReasons: each end is told by the reason that costs its worth.
func TestReasons(t *testing.T) {
	const end = `msg="Request ended." tokens=5000 objective_ms=300 pause_ms=250 ms=1000 `
	for text, want := range map[string]reason{
		end + "outcome=answered first_ms=100 gap_ms=250":     inTime,
		end + "outcome=answered first_ms=301 gap_ms=10":      lateFirst,
		end + "outcome=answered first_ms=100 gap_ms=251":     latePause,
		end + "outcome=refused-busy first_ms=-1 gap_ms=0":    refusedSlots,
		end + "outcome=refused-key first_ms=-1 gap_ms=0":     refusedOther,
		end + "outcome=broken-off first_ms=100 gap_ms=0":     broken,
		end + "outcome=caller-gone first_ms=-1 gap_ms=0":     gaveUp,
		end + "outcome=unknown-route first_ms=-1 gap_ms=0":   otherEnd,
		end + "outcome=may-have-run first_ms=-1 gap_ms=1000": broken,
	} {
		is := is.New(t)
		all := collect(logOf(t, text))
		is.Equal(len(all), 1)
		is.Equal(all[0].why, want)
	}
}

// TestRefusedInTheQueue: a refusal is put down to the queue when the log says that
// no endpoint was chosen, and requests without a prompt are left out.
func TestRefusedInTheQueue(t *testing.T) {
	is := is.New(t)
	lines := logOf(t,
		`msg="No endpoint chosen." why=queue`,
		`msg="Request ended." outcome=refused-full tokens=0 ms=1`,
	)
	lines[1].Fields["request"] = "r0"
	is.Equal(len(collect(lines)), 0)
	lines[1].Fields["tokens"] = "100000"
	all := collect(lines)
	is.Equal(len(all), 1)
	is.Equal(all[0].why, refusedQueue)
}

// TestBound: of two prompts that fill the engines until they are due, the one that
// brings more for its time is counted; one that is due later fits beside it.
func TestBound(t *testing.T) {
	is := is.New(t)
	at := time.Unix(0, 0)
	make := func(tokens int, objective time.Duration) *request {
		return &request{at: at, tokens: tokens, objective: objective}
	}
	small, big, patient := make(10_000, time.Second), make(200_000, time.Second), make(100_000, 3*time.Second)
	fits := bound(fleet{endpoints: 2, readPerMs: 100, pairsPerM: 0.1}, []*request{small, big, patient})
	is.True(fits[small])
	is.True(!fits[big]) // 4 s of reading for 2.2 engine seconds until it is due
	is.True(fits[patient])
	is.Equal(len(bound(engines, nil)), 0)
}

// TestReport: windows and sizes hold what was owed, earned and lost.
func TestReport(t *testing.T) {
	is := is.New(t)
	lines := logOf(t,
		`msg="Request ended." outcome=answered tokens=5000 objective_ms=300 pause_ms=250 first_ms=100 gap_ms=0 ms=0`,
		`msg="Request ended." outcome=answered tokens=40000 objective_ms=300 pause_ms=0 first_ms=400 gap_ms=0 ms=0`,
	)
	r := newReport(engines, time.Second, collect(lines))
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
