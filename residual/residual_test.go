package residual

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// at returns the time this many milliseconds after the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// watchAll returns n endpoints that this gateway asks first.
func watchAll(n int) []Watched {
	out := make([]Watched, n)
	for i := range out {
		out[i].Endpoint = fmt.Sprint("e", i)
	}
	return out
}

// TestRecord guards against requests of live gateways that count twice, and against residual load that
// stays after its requests have ended.
func TestRecord(t *testing.T) {
	type report struct {
		ms                      int
		reported, before, after int
	}
	for name, c := range map[string]struct {
		reports []report
		ms      int
		want    int
	}{
		"no report":                       {nil, 0, 0},
		"all of them":                     {[]report{{0, 9, 0, 0}}, 0, 9},
		"without those of live gateways":  {[]report{{0, 9, 4, 4}}, 0, 5},
		"fewer than are known":            {[]report{{0, 3, 4, 4}}, 0, 0},
		"live request after the report":   {[]report{{0, 9, 0, 1}}, 0, 9},
		"live request ended meanwhile":    {[]report{{0, 9, 1, 0}}, 0, 9},
		"falls over its lifetime":         {[]report{{0, 9, 0, 0}}, 5000, 6},
		"ends":                            {[]report{{0, 9, 0, 0}}, 15000, 0},
		"a later report is lower":         {[]report{{0, 9, 0, 0}, {400, 5, 0, 0}}, 400, 5},
		"falls to the same end":           {[]report{{0, 9, 0, 0}, {5000, 4, 0, 0}}, 10000, 2},
		"does not grow":                   {[]report{{0, 6, 0, 0}, {400, 12, 0, 0}}, 400, 6},
		"stays zero":                      {[]report{{0, 0, 0, 0}, {400, 8, 0, 0}}, 400, 0},
		"a live request since the report": {[]report{{0, 6, 0, 0}, {400, 5, 2, 2}}, 400, 5},
		"a live request of long ago":      {[]report{{0, 6, 2, 2}, {400, 5, 2, 2}}, 400, 3},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := NewTable(1)
			table.Due(nil, 1, start)
			for _, r := range c.reports {
				got := table.Record("e", Load{r.reported, 1000 * r.reported}, Load{r.before, 1000 * r.before}, Load{r.after, 1000 * r.after}, at(r.ms))
				is.Equal(got, table.Load("e", at(r.ms)))
			}
			is.Equal(table.Load("e", at(c.ms)).Requests, c.want)
		})
	}
}

// TestDue guards against a starting gateway that asks so many endpoints that its processor is busy with
// it, and against endpoints that nobody asks.
func TestDue(t *testing.T) {
	is := is.New(t)
	const endpoints, gateways = 69, 29
	asked := make(map[string]bool)
	for seed := range uint64(gateways) {
		table := NewTable(seed)
		due := table.Due(watchAll(endpoints), endpoints, start)
		is.Equal(len(due), (endpoints+askedShare-1)/askedShare)
		is.Equal(len(table.Due(watchAll(endpoints), endpoints, at(50))), 0) // the bound holds for some time
		for _, id := range due {
			asked[id] = true
		}
		next := table.Due(watchAll(endpoints), endpoints, at(400))
		is.Equal(len(next), len(due))
		for _, w := range watchAll(endpoints) {
			table.Record(w.Endpoint, Load{9, 9000}, Load{}, Load{}, at(400))
		}
		is.Equal(len(table.Due(watchAll(endpoints), endpoints, at(800))), len(due)/2)
		for _, id := range next {
			asked[id] = true
		}
	}
	is.Equal(len(asked), endpoints)
	is.Equal(len(NewTable(1).Due(watchAll(20), 20, start)), minAsked)
}

// TestSilentEndpoints guards against endpoints that do not answer and are asked all the time instead of
// others.
func TestSilentEndpoints(t *testing.T) {
	is := is.New(t)
	table := NewTable(1)
	asked := make(map[string]bool)
	for ms := 0; ms <= 1600; ms += 400 { // no endpoint answers
		for _, id := range table.Due(watchAll(40), 40, at(ms)) {
			asked[id] = true
		}
	}
	is.Equal(len(asked), 40)
}

// TestDueAgain checks which endpoints are asked again, and that the second gateway of an endpoint leaves
// it to the first one while that one tells it the reports.
func TestDueAgain(t *testing.T) {
	for name, c := range map[string]struct {
		second   bool
		requests int // in the report; -1: there was none
		ms       int
		want     bool
	}{
		"without report":                    {false, -1, 0, true},
		"second without report, at first":   {true, -1, 0, false},
		"second without report":             {true, -1, 200, true},
		"without report, after the start":   {false, -1, 5000, false},
		"without residual load":             {false, 0, 400, false},
		"soon after a report":               {false, 3, 399, false},
		"with residual load":                {false, 3, 400, true},
		"second with residual load":         {true, 3, 400, false},
		"second if the first does not tell": {true, 3, 600, true},
		"with residual load, after a while": {false, 3, 8000, true},
		"when it must have ended":           {false, 3, 15000, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := NewTable(1)
			table.Due(nil, 1, start)
			if c.requests >= 0 {
				table.SetReports(map[string]Report{"e": {Requests: c.requests}}, false, start)
			}
			is.Equal(len(table.Due([]Watched{{"e", c.second}}, 1, at(c.ms))) == 1, c.want)
		})
	}
}

// TestUnknown checks how long the load of an endpoint counts as not known.
func TestUnknown(t *testing.T) {
	listed := []string{"a", "b"}
	for name, c := range map[string]struct {
		do   func(table *Table)
		ms   int
		want bool
	}{
		"at the start":     {func(*Table) {}, 0, true},
		"after a second":   {func(t *Table) { hear(t, false, true, "a") }, 1000, false},
		"just before":      {func(t *Table) { hear(t, false, true, "a") }, 999, true},
		"alone":            {func(*Table) {}, 4999, true},
		"alone for long":   {func(*Table) {}, 5000, false},
		"after a report":   {func(t *Table) { t.Record("e", Load{}, Load{}, Load{}, start) }, 0, false},
		"told by a peer":   {func(t *Table) { t.SetReports(map[string]Report{"e": {}}, false, start) }, 0, false},
		"about another":    {func(t *Table) { t.SetReports(map[string]Report{"f": {}}, false, start) }, 0, true},
		"list not read":    {func(t *Table) { t.SetListed(nil) }, 0, true},
		"all heard":        {func(t *Table) { hear(t, true, false, "a", "b"); t.SetListed(listed) }, 0, false},
		"one not heard":    {func(t *Table) { hear(t, true, false, "a"); t.SetListed(listed) }, 0, true},
		"not completely":   {func(t *Table) { hear(t, false, false, "a", "b"); t.SetListed(listed) }, 0, true},
		"they start, too":  {func(t *Table) { hear(t, true, true, "a", "b"); t.SetListed(listed) }, 0, true},
		"complete earlier": {func(t *Table) { hear(t, true, false, listed...); hear(t, false, false, "a"); t.SetListed(listed) }, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := NewTable(1)
			table.Due(nil, 1, start)
			c.do(table)
			is.Equal(table.Unknown("e", at(c.ms)), c.want)
		})
	}
}

// hear records a message of each gateway.
func hear(t *Table, complete, starting bool, names ...string) {
	for _, name := range names {
		t.PeerMessage(Message{Name: name, Incarnation: 1, Complete: complete, Starting: starting}, start)
	}
}

// TestSilentPeer checks when the load of a gateway that falls silent counts. Its engines would look free
// if it did not, and full if it still counted after the gateway has come back.
func TestSilentPeer(t *testing.T) {
	old := map[string]Load{"e": {4, 4000}, "f": {}}
	for name, c := range map[string]struct {
		leaving bool
		then    func(table *Table)
		ms      int
		want    int
	}{
		"silent":          {false, func(*Table) {}, 0, 4},
		"silent for long": {false, func(*Table) {}, 7500, 2},
		"shut down":       {true, func(*Table) {}, 0, 0},
		"comes back":      {false, func(t *Table) { t.PeerMessage(Message{Name: "p", Incarnation: 1}, at(100)) }, 100, 0},
		"comes back after a report": {false, func(t *Table) {
			t.Record("e", Load{6, 6000}, Load{}, Load{}, at(100))
			t.PeerMessage(Message{Name: "p", Incarnation: 1}, at(200))
		}, 200, 0},
		"comes back after a peer's": {false, func(t *Table) {
			t.SetReports(map[string]Report{"e": {3, 3000, 50}}, false, at(100))
			t.PeerMessage(Message{Name: "p", Incarnation: 1}, at(200))
		}, 200, 0},
		"replaced by another process":    {false, func(t *Table) { t.PeerMessage(Message{Name: "p", Incarnation: 2, Starting: true}, at(100)) }, 100, 4},
		"the endpoint reports less":      {false, func(t *Table) { t.Record("e", Load{1, 1000}, Load{}, Load{}, at(100)) }, 100, 1},
		"the endpoint reports more":      {false, func(t *Table) { t.Record("e", Load{9, 9000}, Load{}, Load{}, at(100)) }, 100, 4},
		"a peer's report includes it":    {false, func(t *Table) { t.SetReports(map[string]Report{"e": {3, 3000, 50}}, false, at(100)) }, 100, 3},
		"a peer's report is from before": {false, func(t *Table) { t.SetReports(map[string]Report{"e": {3, 3000, 150}}, false, at(100)) }, 100, 4},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := NewTable(1)
			table.Due(nil, 1, at(-6000)) // not at the start of the process
			table.PeerMessage(Message{Name: "p", Incarnation: 1, Leaving: c.leaving, Complete: true}, at(-1500))
			table.PeerSilent("p", old, start)
			c.then(table)
			got := table.Load("e", at(c.ms))
			is.Equal(got.Requests, c.want)
			is.True(table.Load("f", at(c.ms)).isZero())
		})
	}
}

// TestLoadOfLiveGateways guards against load of live gateways that counts as residual load, because the
// gateway that received the report had not heard from them.
func TestLoadOfLiveGateways(t *testing.T) {
	live := Message{Name: "p", Incarnation: 1, Complete: true, Loads: map[string]Load{"e": {4, 4000}}}
	record := func(t *Table) { t.Record("e", Load{9, 9000}, Load{}, Load{}, start) }
	starting, other := live, live
	starting.Starting, other.Incarnation = true, 2
	for name, c := range map[string]struct {
		begun int // ms
		do    func(t *Table)
		want  int
	}{
		"not heard":                   {0, func(t *Table) { record(t) }, 9},
		"heard after the report":      {0, func(t *Table) { record(t); t.PeerMessage(live, start) }, 5},
		"heard twice":                 {0, func(t *Table) { record(t); t.PeerMessage(live, start); t.PeerMessage(live, start) }, 5},
		"heard from its next process": {0, func(t *Table) { record(t); t.PeerMessage(live, start); t.PeerMessage(other, start) }, 1},
		"started after the report":    {0, func(t *Table) { record(t); t.PeerMessage(starting, start) }, 9},
		"heard before the report":     {0, func(t *Table) { t.PeerMessage(live, start); record(t) }, 9},
		"told by one that starts": {0, func(t *Table) {
			t.SetReports(map[string]Report{"e": {9, 0, 0}}, true, start)
			t.PeerMessage(live, start)
		}, 5},
		"told by one that knows all": {0, func(t *Table) {
			t.SetReports(map[string]Report{"e": {9, 0, 0}}, false, start)
			t.PeerMessage(live, start)
		}, 9},
		"told one that has run for long": {-6000, func(t *Table) { t.SetReports(map[string]Report{"e": {9, 0, 0}}, true, start) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := NewTable(1)
			table.Due(nil, 1, at(c.begun))
			c.do(table)
			is.Equal(table.Load("e", start).Requests, c.want)
		})
	}
}

// TestUpdates checks which reports are sent: each at once, and again in complete messages for a while.
func TestUpdates(t *testing.T) {
	is := is.New(t)
	table := NewTable(1)
	table.Due(nil, 1, start)
	table.SetReports(map[string]Report{"f": {Requests: 1}}, false, start) // its receiver repeats it
	is.Equal(len(table.Updates(true, start)), 0)
	table.Record("e", Load{8, 800}, Load{}, Load{}, start)
	is.Equal(table.Updates(false, at(3)), map[string]Report{"e": {8, 800, 3}})
	is.Equal(len(table.Updates(false, at(4))), 0)
	is.Equal(len(table.Updates(true, at(200))), 1)
	is.Equal(len(table.Updates(true, at(1000))), 0)
}

// TestNewestReport guards against a late message with an older report.
func TestNewestReport(t *testing.T) {
	is := is.New(t)
	table := NewTable(1)
	table.SetReports(map[string]Report{"e": {5, 0, 10}}, false, at(400))
	table.SetReports(map[string]Report{"e": {9, 0, 300}}, false, at(400))
	is.Equal(table.Load("e", at(400)).Requests, 5)
	table.SetReports(map[string]Report{"e": {-1, -1, -1}}, false, at(800))
	is.Equal(table.Load("e", at(800)).Requests, 0)
}

// TestExpire guards against state that grows with endpoints and gateways that are gone.
func TestExpire(t *testing.T) {
	is := is.New(t)
	table := NewTable(1)
	table.Due(nil, 1, start)
	for i := range 100 {
		name := fmt.Sprint(i)
		table.PeerMessage(Message{Name: name, Incarnation: 1, Complete: true}, start)
		table.PeerSilent(name, map[string]Load{name: {1, 1}}, start)
		table.SetReports(map[string]Report{"r" + name: {Requests: 1}}, false, start)
	}
	is.True(table.Active(at(5000)))
	table.Due(nil, 1, at(20000))
	is.Equal(len(table.endpoints)+len(table.peers)+len(table.silent), 0)
	is.True(!table.Active(at(20000)))
}

// TestNilTable checks that nothing counts while the setting is off.
func TestNilTable(t *testing.T) {
	is := is.New(t)
	var table *Table
	table.SetReports(map[string]Report{"e": {Requests: 1}}, false, start)
	table.PeerMessage(Message{Name: "p", Incarnation: 1, Complete: true}, start)
	table.PeerSilent("p", map[string]Load{"e": {1, 1}}, start)
	table.Forget("e")
	is.True(table.Load("e", start).isZero())
	is.True(!table.Unknown("e", start) && !table.Active(start) && !table.Starting(start) && !table.Replaces("p", 2))
	is.Equal(table.Updates(true, start), nil)
}

// TestLateMessageKeepsStatement guards against a message that arrives after a later one and revokes what
// the gateway has said since, so that the load of a gateway that shut down counted as residual.
func TestLateMessageKeepsStatement(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := NewTable(1)
	table.PeerMessage(Message{Name: "b", Incarnation: 1, Leaving: true}, now)
	table.PeerMessage(Message{Name: "b", Incarnation: 1, Starting: true, Complete: true, Late: true}, now)
	is.Equal(table.peers["b"].starting, false)
	is.True(table.peers["b"].complete)
	table.PeerSilent("b", map[string]Load{"e": {Requests: 3}}, now)
	is.Equal(table.Load("e", now), Load{})
}

// TestForgetsProcesses guards against records of gateway processes that are kept for ever, by a table that
// asks for no reports any more and by one whose gateways restart often.
func TestForgetsProcesses(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := NewTable(1)
	for n := range 100 {
		now = now.Add(MaxLifetime)
		name := fmt.Sprint("left-", n)
		table.PeerMessage(Message{Name: name, Incarnation: 1, Complete: true}, now)
		table.PeerMessage(Message{Name: name, Incarnation: 1, Leaving: true}, now)
		table.PeerMessage(Message{Name: "restarts", Incarnation: uint64(n + 1), Complete: true}, now)
		table.PeerSilent("restarts", map[string]Load{"e": {Requests: 3}}, now)
	}
	is.True(len(table.peers) <= 3)
	is.True(len(table.silent) <= 3)
}
