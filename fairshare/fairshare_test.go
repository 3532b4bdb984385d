package fairshare

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// TestLevel: the level depends on the share of all gateways' use that a workspace has, compared with
// an equal share of each workspace that is active.
func TestLevel(t *testing.T) {
	for name, c := range map[string]struct {
		local map[string]time.Duration
		peer  map[string]float64
		want  map[string]int
	}{
		"nobody":           {nil, nil, map[string]int{"a": WithinShare}},
		"alone":            {map[string]time.Duration{"a": time.Minute}, nil, map[string]int{"a": WithinShare}},
		"equal":            {map[string]time.Duration{"a": time.Second, "b": time.Second}, nil, map[string]int{"a": WithinShare, "b": WithinShare}},
		"above":            {map[string]time.Duration{"a": 1500 * time.Millisecond, "b": 500 * time.Millisecond}, nil, map[string]int{"a": AboveShare, "b": WithinShare}},
		"far above":        {map[string]time.Duration{"a": 7 * time.Second, "b": time.Second, "c": time.Second}, nil, map[string]int{"a": FarAboveShare, "b": WithinShare, "new": WithinShare}},
		"at other gateway": {map[string]time.Duration{"a": time.Second}, map[string]float64{"a": 6000, "b": 1000, "c": 1000}, map[string]int{"a": FarAboveShare, "b": WithinShare}},
		"balanced by peer": {map[string]time.Duration{"a": time.Second}, map[string]float64{"b": 1000}, map[string]int{"a": WithinShare, "b": WithinShare}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := New()
			for workspace, cost := range c.local {
				l.Charge(workspace, cost, start)
			}
			l.SetPeer("p", c.peer, start)
			for workspace, want := range c.want {
				is.Equal(l.Level(workspace, at(1)), want)
			}
		})
	}
}

// TestDecay: use loses half of its weight in five seconds, so that a surge is not held against a
// workspace for long, and a record is dropped once it is negligible.
func TestDecay(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Charge("a", 8*time.Second, start)
	is.Equal(l.Local(at(5000)), map[string]float64{"a": 4000})
	is.Equal(l.Local(at(10_000)), map[string]float64{"a": 2000})
	l.Charge("b", 2*time.Second, at(10_000))
	l.Charge("a", 200*time.Millisecond, at(10_000))
	is.Equal(l.Level("a", at(10_000)), AboveShare)
	is.Equal(l.Level("a", at(60_000)), WithinShare)
	is.Equal(l.Local(at(200_000)), map[string]float64(nil))
	is.Equal(len(l.active), 0)
}

// TestIdleWorkspacesGetNoShare: the due share is computed among the workspaces that used anything in
// the last five seconds. Otherwise the use of others would seem excessive.
func TestIdleWorkspacesGetNoShare(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Charge("idle", time.Millisecond, start)
	l.Charge("a", time.Second, at(4000))
	is.Equal(l.Level("a", at(5000)), AboveShare)
	is.Equal(l.Level("a", at(5001+int(sumInterval.Milliseconds()))), WithinShare)
}

// TestReportsExpire: the report of a gateway that died is dropped after two seconds, and reports that
// cannot be right are ignored.
func TestReportsExpire(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Charge("a", time.Second, start)
	l.SetPeer("p", map[string]float64{"a": 9000, "b": 1000}, start)
	is.Equal(l.Level("a", at(2000)), AboveShare)
	l.Charge("b", 2*time.Second, at(2000))
	is.Equal(l.Level("a", at(2001)), WithinShare)
	for _, ms := range []float64{-1, math.NaN(), math.Inf(1)} {
		l.SetPeer("q", map[string]float64{"a": ms}, at(2001))
		is.Equal(len(l.peers), 0)
	}
}

// TestOldReports: use that is reported 500 ms late delays the level by that time and changes nothing
// else.
func TestOldReports(t *testing.T) {
	is := is.New(t)
	here, there := New(), New()
	levelAt := -1
	for ms := 0; ms < 3000; ms += 50 {
		there.Charge("surge", 500*time.Millisecond, at(ms))
		here.Charge("calm", 100*time.Millisecond, at(ms))
		if ms%250 == 0 {
			report := there.Local(at(ms))
			report["calm"] = 0
			if ms >= 500 {
				here.SetPeer("there", report, at(ms))
			}
		}
		if levelAt < 0 && here.Level("surge", at(ms)) > WithinShare {
			levelAt = ms
		}
		is.Equal(here.Level("calm", at(ms)), WithinShare)
	}
	is.Equal(levelAt, 500)
}
