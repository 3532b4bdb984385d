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

func TestTellRequest(t *testing.T) {
	is := is.New(t)
	a, err := eventlog.Read("a", strings.NewReader(logA))
	is.NoErr(err)
	b, err := eventlog.Read("b", strings.NewReader(logB))
	is.NoErr(err)
	var got []string
	for _, l := range tellRequest(append(a, b...), "r1") {
		got = append(got, l.Source+" "+l.Fields["msg"]+l.Fields["endpoint"]+l.Fields["outcome"])
	}
	is.Equal(got, []string{
		"a Endpoint changed.i-1", "b Dependency lost.", "b Request ended.refused-full", "a Endpoint chosen.i-1", "a Request ended.may-have-run",
	})
	is.Equal(len(tellRequest(a, "unknown")), 0)
}

func FuzzParseLog(f *testing.F) {
	f.Add(logA)
	f.Fuzz(func(t *testing.T, text string) {
		if lines, err := eventlog.Read("f", strings.NewReader(text)); err == nil {
			tellRequest(lines, "r1")
		}
	})
}
