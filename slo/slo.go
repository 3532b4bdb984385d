// Package slo computes how fast workspaces burn their error budgets, over
// several windows and for several objectives, from counters sampled at the
// gateways. It is pure: samples, objectives and the time are arguments.
package slo

import (
	"encoding/json"
	"sort"
	"time"
)

// Indicator names what an objective is about.
type Indicator string

// The indicators.
const (
	FirstToken Indicator = "first-token" // the first token came within the goal of its class
	Slowdown   Indicator = "slowdown"    // a short request was not slowed down beyond the goal
	Outcomes   Indicator = "outcomes"    // the request got its whole answer
)

// All stands in a Target for every workspace or every class together.
const All = "all"

// Target is what a burn rate is computed for.
type Target struct {
	Workspace string `json:"workspace"`
	Class     string `json:"class"` // 4k, 32k, 128k, 1M or all
}

// Tally counts events of one indicator since a gateway started.
type Tally struct {
	Total float64 `json:"total"`
	Bad   float64 `json:"bad"`
}

// Counters are one gateway's tallies by indicator and target.
type Counters map[Indicator]Tallies

// Tallies are tallies by target. Their JSON form is a list of entries.
type Tallies map[Target]Tally

// entry is one tally with its target, as written in JSON.
type entry struct {
	Target
	Tally
}

// MarshalJSON implements json.Marshaler; entries are ordered.
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

// Sample is what the gateways that answered counted at one moment.
type Sample struct {
	At       time.Time           `json:"at"`
	Gateways map[string]Counters `json:"gateways"`
}

// Window is a pair of windows and the burn rate at which both together call
// for attention: the long one says that it matters, the short one that it is
// still going on.
type Window struct {
	Long     time.Duration `json:"long_ns"`
	Short    time.Duration `json:"short_ns"`
	Rate     float64       `json:"rate"`
	Severity Severity      `json:"severity"`
}

// Severity says how soon somebody has to act.
type Severity string

// The severities.
const (
	Page   Severity = "page"
	Ticket Severity = "ticket"
)

// Objective is the part of an indicator's events that has to be good.
type Objective struct {
	Indicator Indicator `json:"indicator"`
	Good      float64   `json:"good"` // from 0 to below 1
}

func (t *Tally) add(o Tally) {
	t.Total += o.Total
	t.Bad += o.Bad
}

// since returns the increase from an earlier tally of the same gateway. A
// counter that went back belongs to a gateway that has restarted and counted
// from zero. A gateway's counters are not read at one moment, so that a bad
// event can show before its total; it is then counted with the total.
func (t Tally) since(old Tally) Tally {
	if t.Total < old.Total || t.Bad < old.Bad {
		return t
	}
	d := Tally{Total: t.Total - old.Total, Bad: t.Bad - old.Bad}
	d.Bad = min(d.Bad, d.Total)
	return d
}

func (t Tally) times(f float64) Tally { return Tally{Total: t.Total * f, Bad: t.Bad * f} }

func sortWindows(ws []Window) {
	sort.Slice(ws, func(i, j int) bool { return ws[i].Long < ws[j].Long })
}
