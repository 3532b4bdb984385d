package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/rudderv1"
)

const (
	serving      = rudderv1.AgentState_AGENT_STATE_SERVING
	draining     = rudderv1.AgentState_AGENT_STATE_LEAVING
	starting     = rudderv1.AgentState_AGENT_STATE_STARTING
	endpointLost = rudderv1.AgentState_AGENT_STATE_ENDPOINT_LOST
)

// step is one event and the seconds since the one before.
type step struct {
	after float64
	ev    Event
}

func report(inc string, ms int64, s rudderv1.AgentState) AgentReported {
	return AgentReported{Endpoint: "a", Incarnation: inc, AgentMS: ms, State: s, Models: []string{"m"}}
}

// reportOther is a report of endpoint b, which keeps one agent connected while a is lost.
func reportOther(ms int64) AgentReported {
	return AgentReported{Endpoint: "b", Incarnation: "b1", AgentMS: ms, State: serving, Models: []string{"m"}}
}

func declared(aDraining bool) EndpointsDeclared {
	return EndpointsDeclared{[]Declaration{{Endpoint: "a", Host: "ha", Draining: aDraining}, {Endpoint: "b", Host: "hb"}}}
}

func listed(aDraining bool) HostsListed {
	return HostsListed{[]ListedHost{{Name: "ha", Draining: aDraining}, {Name: "hb"}}}
}

var evidence = []struct {
	name  string
	steps []step
	wait  float64 // seconds after the last step
	want  string  // state, use and evidence of a
}{
	{"never reported", nil, 0, "unheard never nothing"},
	{"serving", []step{{0, report("1", 1, serving)}}, 1, "serving normal agent"},
	{"starting", []step{{0, report("1", 1, starting)}}, 1, "starting never agent"},
	{"endpoint lost", []step{{0, report("1", 1, endpointLost)}}, 1, "endpoint-lost never agent"},
	{"agent drains", []step{{0, report("1", 1, serving)}, {1, report("1", 2, draining)}}, 0, "leaving never agent"},
	{"agent no longer draining", []step{{0, report("1", 1, draining)}, {1, report("1", 2, serving)}}, 0, "serving normal agent"},
	{"late report of the same incarnation", []step{{0, report("1", 9, draining)}, {1, report("1", 2, serving)}}, 0, "leaving never agent"},
	{"late report of the previous incarnation", []step{{0, report("1", 1, serving)}, {1, report("2", 1, draining)}, {1, report("1", 50, serving)}}, 0, "leaving never agent"},
	{"draining, then disconnected", []step{{0, report("1", 1, draining)}, {1, ConnectionLost{"a"}}}, 0, "leaving never agent"},
	{"draining, then a new incarnation", []step{{0, report("1", 1, draining)}, {1, ConnectionLost{"a"}}, {1, report("2", 1, serving)}}, 0, "serving normal agent"},
	{"refused an order", []step{{0, report("1", 1, serving)}, {1, OrderRefused{"a"}}}, 0, "leaving never agent"},
	{"disconnected within the grace period", []step{{0, report("1", 1, serving)}, {1, ConnectionLost{"a"}}}, 1, "silent last-resort connection"},
	{"disconnected beyond the grace period", []step{{0, report("1", 1, serving)}, {1, ConnectionLost{"a"}}, {2, reportOther(2)}}, 1, "gone never connection"},
	{"disconnected while starting", []step{{0, report("1", 1, starting)}, {1, ConnectionLost{"a"}}}, 0, "gone never connection"},
	{"connected without reports", []step{{0, report("1", 1, serving)}, {14, reportOther(9)}}, 2, "silent last-resort connection"},
	{"heartbeat without changes", []step{{0, report("1", 1, serving)}, {14, AgentReported{Endpoint: "a", AgentMS: 14}}}, 2, "serving normal agent"},
	{"heartbeat before the first report", []step{{0, AgentReported{Endpoint: "a", AgentMS: 14}}}, 0, "unheard never nothing"},
	{"declared as draining", []step{{0, report("1", 1, serving)}, {0, declared(true)}}, 0, "leaving never declaration"},
	{"no longer declared as draining", []step{{0, report("1", 1, serving)}, {0, declared(true)}, {0, declared(false)}}, 0, "serving normal agent"},
	{"declared as draining before the first report", []step{{0, declared(true)}}, 0, "leaving never declaration"},
	{"listed as draining", []step{{0, report("1", 1, serving)}, {1, listed(true)}}, 0, "leaving never list"},
	{"listed as live again", []step{{0, report("1", 1, serving)}, {1, listed(true)}, {1, listed(false)}}, 0, "serving normal agent"},
	{"listed as live does not outrank the agent's report", []step{{0, report("1", 1, draining)}, {1, listed(false)}}, 0, "leaving never agent"},
	{"first report after the list", []step{{0, listed(true)}, {1, report("1", 1, serving)}}, 0, "leaving never list"},
	{"restarted after the list", []step{{0, report("1", 1, serving)}, {1, listed(true)}, {1, ConnectionLost{"a"}}, {1, report("2", 1, serving)}}, 1, "serving normal agent"},
	{"restarted, but still listed as draining after the lag", []step{{0, report("1", 1, serving)}, {1, listed(true)}, {1, ConnectionLost{"a"}}, {1, report("2", 1, serving)}, {55, report("2", 9, serving)}}, 6, "leaving never list"},
	{"not listed, but connected", []step{{0, report("1", 1, serving)}, {1, HostsListed{[]ListedHost{{Name: "hb"}}}}}, 0, "serving normal agent"},
	{"not listed and disconnected", []step{{0, report("1", 1, serving)}, {1, HostsListed{[]ListedHost{{Name: "hb"}}}}, {1, ConnectionLost{"a"}}}, 0, "gone never list"},
	{"an empty list is ignored", []step{{0, report("1", 1, serving)}, {1, HostsListed{}}, {1, ConnectionLost{"a"}}}, 0, "silent last-resort connection"},
	{"listed as draining, then not listed, agent still connected", []step{{0, report("1", 1, serving)}, {1, listed(true)}, {1, HostsListed{[]ListedHost{{Name: "hb"}}}}}, 0, "serving normal agent"},
}

func TestEvidence(t *testing.T) {
	for _, c := range evidence {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(0, 0)
			v := NewView(Default())
			v.Apply(declared(false), now)
			v.Apply(reportOther(1), now)
			for _, s := range c.steps {
				now = now.Add(time.Duration(s.after * float64(time.Second)))
				v.Apply(s.ev, now)
			}
			now = now.Add(time.Duration(c.wait * float64(time.Second)))
			got := v.Verdicts([]string{"a"}, now)[0]
			is.Equal(fmt.Sprint(got.State, " ", got.Use, " ", got.Evidence), c.want)
		})
	}
}

// TestFlappingIsDamped checks that after three losses in a short time an endpoint
// gets work only if no other one serves its model, and is normal again later.
func TestFlappingIsDamped(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	v := NewView(Default())
	v.Apply(declared(false), now)
	for i := range 3 {
		v.Apply(report(fmt.Sprint(i), 1, serving), now)
		is.Equal(v.Verdicts([]string{"a"}, now)[0].State, Serving)
		v.Apply(ConnectionLost{"a"}, now.Add(time.Second))
		now = now.Add(1200 * time.Millisecond)
	}
	v.Apply(report("4", 1, serving), now)
	withoutOther := v.Verdicts([]string{"a"}, now)[0]
	is.Equal(withoutOther.State, Damped)
	is.True(withoutOther.Usable()) // nothing else serves the model
	v.Apply(reportOther(2), now)
	withOther := v.Verdicts([]string{"a", "b"}, now)
	is.True(!withOther[0].Usable())
	is.True(withOther[1].Usable())
	now = now.Add(20 * time.Second)
	v.Apply(report("4", 2, serving), now)
	is.Equal(v.Verdicts([]string{"a"}, now)[0].State, Serving)
}

// TestPlannedRestartsAreNotDamped checks that the loss of an agent that reported
// draining adds no penalty.
func TestPlannedRestartsAreNotDamped(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	v := NewView(Default())
	v.Apply(declared(false), now)
	for i := range 10 {
		now = now.Add(time.Second)
		v.Apply(report(fmt.Sprint(i), 1, serving), now)
		v.Apply(report(fmt.Sprint(i), 2, draining), now)
		v.Apply(ConnectionLost{"a"}, now)
	}
	v.Apply(report("x", 1, serving), now)
	is.Equal(v.Verdicts([]string{"a"}, now)[0].State, Serving)
}

// fleet returns a view of n serving endpoints, two per host and twenty per rack.
func fleet(n int, now time.Time) (*View, []string) {
	v := NewView(Default())
	var ev EndpointsDeclared
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("e", i))
		ev.Endpoints = append(ev.Endpoints, Declaration{Endpoint: names[i], Host: fmt.Sprint("h", i/2)})
	}
	v.Apply(ev, now)
	for _, name := range names {
		v.Apply(AgentReported{Endpoint: name, Incarnation: name, AgentMS: 1, State: serving, Models: []string{"m"}}, now)
	}
	return v, names
}

func usable(v *View, names []string, now time.Time) int {
	n := 0
	for _, x := range v.Verdicts(names, now) {
		if x.Usable() {
			n++
		}
	}
	return n
}

// TestLossOfRackAndFleet checks that the endpoints of a lost rack are unusable at
// once while others serve, that all remain usable for NoAgentGrace when every agent
// is lost, and that the process is cut off only if peers and platform are silent too.
func TestLossOfRackAndFleet(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	v, names := fleet(60, now)
	for _, name := range names[:20] {
		v.Apply(ConnectionLost{name}, now)
	}
	is.Equal(usable(v, names, now), 40)
	for _, name := range names[20:] {
		v.Apply(ConnectionLost{name}, now)
	}
	now = now.Add(10 * time.Second)
	is.Equal(usable(v, names, now), 60) // all agents disconnected: the fault may be on this side
	is.True(v.CutOff(now))
	v.Apply(ExternalContact{}, now)
	is.True(!v.CutOff(now)) // a peer or the platform can be reached: the agents are lost
	is.Equal(usable(v, names, now.Add(21*time.Second)), 0)
	v.Apply(AgentReported{Endpoint: "e0", Incarnation: "new", AgentMS: 1, State: serving, Models: []string{"m"}}, now)
	is.Equal(usable(v, names, now), 1)
}

// TestMassRestart checks that after a restart of all agents every endpoint is
// usable again as soon as its agent reports.
func TestMassRestart(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	v, names := fleet(60, now)
	for round := range 2 {
		for _, name := range names {
			v.Apply(ConnectionLost{name}, now)
			now = now.Add(10 * time.Millisecond)
			v.Apply(AgentReported{Endpoint: name, Incarnation: fmt.Sprint(name, round), AgentMS: 1, State: serving, Models: []string{"m"}}, now)
		}
		is.Equal(usable(v, names, now), 60)
	}
}

func TestCutOffNeedsAgentsBefore(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	v := NewView(Default())
	v.Apply(declared(false), now)
	is.True(!v.CutOff(now.Add(time.Hour))) // no agent has ever reported
}

func BenchmarkVerdicts2900(b *testing.B) {
	now := time.Unix(0, 0)
	v, names := fleet(2900, now)
	for b.Loop() {
		v.Verdicts(names, now)
	}
}
