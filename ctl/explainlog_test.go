package ctl

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/eventlog"
)

const (
	logA = `10.1 a time=2026-12-02T10:00:00Z level=info msg="Endpoint changed." endpoint=i-1 change=draining
time=2026-12-02T10:00:00Z level=info msg="Endpoint changed." endpoint=i-2 change=new
time=2026-12-02T09:59:00Z level=info msg="Dependency lost." dependency=store
time=2026-12-02T10:00:02Z level=info msg="Endpoint chosen." request=r1 endpoint=i-1
a line of another program
time=2026-12-02T10:00:02Z level=info msg="Endpoint chosen." request=r2 endpoint=i-2
time=2026-12-02T10:00:05Z level=info msg="Request ended." request=r1 outcome=may-have-run tried="[i-1 i-3]"
time=2026-12-02T10:00:06Z level=info msg="Endpoint changed." endpoint=i-1 change=gone
`
	logB = `time=2026-12-02T10:00:03Z level=info msg="Endpoint suspect." endpoint=i-1
time=2026-12-02T10:00:01Z level=info msg="Request ended." request=r1 outcome=refused-full
time=2026-12-02T10:00:00Z level=info msg="Dependency lost." dependency=store
`
)

func TestRequestLines(t *testing.T) {
	is := is.New(t)
	a, err := eventlog.Read("a", strings.NewReader(logA))
	is.NoErr(err)
	b, err := eventlog.Read("b", strings.NewReader(logB))
	is.NoErr(err)
	var got []string
	for _, l := range requestLines(append(a, b...), "r1") {
		got = append(got, l.Source+" "+l.Fields["msg"]+l.Fields["endpoint"]+l.Fields["outcome"])
	}
	is.Equal(got, []string{
		"a Endpoint changed.i-1", "b Dependency lost.", "b Request ended.refused-full", "a Endpoint chosen.i-1", "a Request ended.may-have-run",
	})
	is.Equal(len(requestLines(a, "unknown")), 0)
}

// TestRequestLinesOfQuarantinedRequest checks that for a quarantined request the crashes and the
// quarantine of other requests with the same fingerprint are shown, from the logs of all gateways.
func TestRequestLinesOfQuarantinedRequest(t *testing.T) {
	is := is.New(t)
	a, err := eventlog.Read("a", strings.NewReader(`time=2026-12-02T10:00:05Z level=info msg="Not sent: quarantined." request=r1 fingerprint=f1
time=2026-12-02T10:00:01Z level=info msg="Exchange broke." request=r3 fingerprint=f2 endpoint=i-9
`))
	is.NoErr(err)
	b, err := eventlog.Read("b", strings.NewReader(`time=2026-12-02T09:00:01Z level=info msg="Exchange broke." request=r2 fingerprint=f1 endpoint=i-1
time=2026-12-02T09:00:02Z level=warn msg="Request quarantined." request=r2 fingerprint=f1
time=2026-12-02T09:00:03Z level=info msg="Not sent: quarantined." request=r4 fingerprint=f1
time=2026-12-02T09:00:04Z level=info msg="Request ended." request=r5 fingerprint=""
`))
	is.NoErr(err)
	var got []string
	for _, l := range requestLines(append(a, b...), "r1") {
		got = append(got, l.Fields["msg"]+l.Fields["request"])
	}
	is.Equal(got, []string{"Exchange broke.r2", "Request quarantined.r2", "Not sent: quarantined.r1"})
}

func FuzzParseLog(f *testing.F) {
	f.Add(logA)
	f.Fuzz(func(t *testing.T, text string) {
		if lines, err := eventlog.Read("f", strings.NewReader(text)); err == nil {
			requestLines(lines, "r1")
		}
	})
}
