// Package slo computes how fast workspaces burn their error budgets, over
// several windows and for several objectives, from counters sampled at the
// gateways. The computation has no side effects: samples, objectives and the
// time are arguments.
package slo

import (
	"encoding/json"
	"sort"
	"time"
)

// Indicator names a service level indicator.
type Indicator string

// The indicators.
const (
	FirstToken Indicator = "first-token" // the first token came within the goal of its class
	Slowdown   Indicator = "slowdown"    // a short request was not slowed down beyond the goal
	Outcomes   Indicator = "outcomes"    // the request received its complete response
)

// All stands in a Target for all workspaces or all classes together.
const All = "all"

// Target is the workspace and class that a burn rate is computed for.
type Target struct {
	Workspace string `json:"workspace"`
	Class     string `json:"class"` // 4k, 32k, 128k, 1M or all
}

// Tally counts the events of one indicator, since a gateway's start or over a period.
type Tally struct {
	Total float64 `json:"total"`
	Bad   float64 `json:"bad"`
}

// Counters are one gateway's tallies by indicator and target.
type Counters map[Indicator]Tallies

// Tallies are tallies by target. Their JSON form is a list of entries, ordered by target.
type Tallies map[Target]Tally

// entry is the JSON form of one tally with its target.
type entry struct {
	Target
	Tally
}

// MarshalJSON implements json.Marshaler.
func (ts Tallies) MarshalJSON() ([]byte, error) {
	list := make([]entry, 0, len(ts))
	for t, v := range ts {
		list = append(list, entry{t, v})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].less(list[j].Target) })
	return json.Marshal(list)
}

// UnmarshalJSON implements json.Unmarshaler.
func (ts *Tallies) UnmarshalJSON(b []byte) error {
	var list []entry
	if err := json.Unmarshal(b, &list); err != nil {
		return err
	}
	*ts = make(Tallies, len(list))
	for _, e := range list {
		(*ts)[e.Target] = e.Tally
	}
	return nil
}

// Sample holds the counters of the gateways that responded, taken at one time.
type Sample struct {
	At       time.Time           `json:"at"`
	Gateways map[string]Counters `json:"gateways"`
}

// Window is a pair of windows and the burn rate at or above which, in both of
// them, an alert fires: the long window shows that the burn is significant, the
// short one that it still continues.
type Window struct {
	Long     time.Duration `json:"long_ns"`
	Short    time.Duration `json:"short_ns"`
	Rate     float64       `json:"rate"`
	Severity Severity      `json:"severity"`
}

// Severity is the urgency of an alert.
type Severity string

// The severities, the most urgent first.
const (
	Page   Severity = "page"
	Ticket Severity = "ticket"
)

// Objective is the fraction of an indicator's events that must be good.
type Objective struct {
	Indicator Indicator `json:"indicator"`
	Good      float64   `json:"good"` // in [0, 1)
}

// add adds o to t.
func (t *Tally) add(o Tally) {
	t.Total += o.Total
	t.Bad += o.Bad
}

// increaseSince returns the increase since an earlier tally of the same gateway. A
// counter that decreased belongs to a gateway that restarted and counts from zero
// again. A gateway's counters are not read atomically, so a bad event can be seen
// before its total; the increase of Bad is therefore limited to that of Total.
func (t Tally) increaseSince(old Tally) Tally {
	if t.Total < old.Total || t.Bad < old.Bad {
		return t
	}
	d := Tally{Total: t.Total - old.Total, Bad: t.Bad - old.Bad}
	d.Bad = min(d.Bad, d.Total)
	return d
}

// scale returns t multiplied by f.
func (t Tally) scale(f float64) Tally { return Tally{Total: t.Total * f, Bad: t.Bad * f} }

// sortWindows sorts by the long window, shortest first.
func sortWindows(ws []Window) {
	sort.Slice(ws, func(i, j int) bool { return ws[i].Long < ws[j].Long })
}
