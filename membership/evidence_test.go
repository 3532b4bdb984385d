package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/rudderv1"
)

const (
	serving  = rudderv1.AgentState_AGENT_STATE_SERVING
	leaving  = rudderv1.AgentState_AGENT_STATE_LEAVING
	starting = rudderv1.AgentState_AGENT_STATE_STARTING
	lostEnd  = rudderv1.AgentState_AGENT_STATE_ENDPOINT_LOST
)

// step is one piece of evidence some seconds after the one before.
type step struct {
	after float64
	ev    Event
}

func say(inc string, ms int64, s rudderv1.AgentState) Reported {
	return Reported{Endpoint: "a", Incarnation: inc, AgentMS: ms, State: s, Models: []string{"m"}}
}

// other keeps a second endpoint alive, so that not all agents are silent.
func other(ms int64) Reported {
	return Reported{Endpoint: "b", Incarnation: "b1", AgentMS: ms, State: serving, Models: []string{"m"}}
}

func declared(leaves bool) Declared {
	return Declared{[]Declaration{{Endpoint: "a", Host: "ha", Leaving: leaves}, {Endpoint: "b", Host: "hb"}}}
}

func listed(a bool) Listed {
	return Listed{[]ListedHost{{Name: "ha", Leaving: a}, {Name: "hb"}}}
}

var evidence = []struct {
	name  string
	steps []step
	wait  float64 // seconds after the last step
	want  string  // state, use and evidence of a
}{
	{"never heard", nil, 0, "unheard never nothing"},
	{"serving", []step{{0, say("1", 1, serving)}}, 1, "serving normal agent"},
	{"starting", []step{{0, say("1", 1, starting)}}, 1, "starting never agent"},
	{"endpoint lost", []step{{0, say("1", 1, lostEnd)}}, 1, "endpoint-lost never agent"},
	{"agent leaves", []step{{0, say("1", 1, serving)}, {1, say("1", 2, leaving)}}, 0, "leaving never agent"},
	{"agent stays after all", []step{{0, say("1", 1, leaving)}, {1, say("1", 2, serving)}}, 0, "serving normal agent"},
	{"late report of the same incarnation", []step{{0, say("1", 9, leaving)}, {1, say("1", 2, serving)}}, 0, "leaving never agent"},
	{"late report of the one before", []step{{0, say("1", 1, serving)}, {1, say("2", 1, leaving)}, {1, say("1", 50, serving)}}, 0, "leaving never agent"},
	{"left, then lost", []step{{0, say("1", 1, leaving)}, {1, Lost{"a"}}}, 0, "leaving never agent"},
	{"left, then a new incarnation", []step{{0, say("1", 1, leaving)}, {1, Lost{"a"}}, {1, say("2", 1, serving)}}, 0, "serving normal agent"},
	{"refused an order", []step{{0, say("1", 1, serving)}, {1, Refused{"a"}}}, 0, "leaving never agent"},
	{"lost a moment ago", []step{{0, say("1", 1, serving)}, {1, Lost{"a"}}}, 1, "silent last-resort connection"},
	{"lost for long", []step{{0, say("1", 1, serving)}, {1, Lost{"a"}}, {2, other(2)}}, 1, "gone never connection"},
	{"lost while starting", []step{{0, say("1", 1, starting)}, {1, Lost{"a"}}}, 0, "gone never connection"},
	{"connected but mute", []step{{0, say("1", 1, serving)}, {14, other(9)}}, 2, "silent last-resort connection"},
	{"heartbeat without news", []step{{0, say("1", 1, serving)}, {14, Reported{Endpoint: "a", AgentMS: 14}}}, 2, "serving normal agent"},
	{"heartbeat before any news", []step{{0, Reported{Endpoint: "a", AgentMS: 14}}}, 0, "unheard never nothing"},
	{"declared as leaving", []step{{0, say("1", 1, serving)}, {0, declared(true)}}, 0, "leaving never declaration"},
	{"declared as staying again", []step{{0, say("1", 1, serving)}, {0, declared(true)}, {0, declared(false)}}, 0, "serving normal agent"},
	{"declared, before the first word", []step{{0, declared(true)}}, 0, "leaving never declaration"},
	{"listed as leaving", []step{{0, say("1", 1, serving)}, {1, listed(true)}}, 0, "leaving never list"},
	{"listed as live again", []step{{0, say("1", 1, serving)}, {1, listed(true)}, {1, listed(false)}}, 0, "serving normal agent"},
	{"listed as live says nothing for it", []step{{0, say("1", 1, leaving)}, {1, listed(false)}}, 0, "leaving never agent"},
	{"first word after the list", []step{{0, listed(true)}, {1, say("1", 1, serving)}}, 0, "leaving never list"},
	{"restarted after the list", []step{{0, say("1", 1, serving)}, {1, listed(true)}, {1, Lost{"a"}}, {1, say("2", 1, serving)}}, 1, "serving normal agent"},
	{"restarted, but the list stays with it", []step{{0, say("1", 1, serving)}, {1, listed(true)}, {1, Lost{"a"}}, {1, say("2", 1, serving)}, {55, say("2", 9, serving)}}, 6, "leaving never list"},
	{"not listed, but connected", []step{{0, say("1", 1, serving)}, {1, Listed{[]ListedHost{{Name: "hb"}}}}}, 0, "serving normal agent"},
	{"not listed and lost", []step{{0, say("1", 1, serving)}, {1, Listed{[]ListedHost{{Name: "hb"}}}}, {1, Lost{"a"}}}, 0, "gone never list"},
	{"an empty list is not believed", []step{{0, say("1", 1, serving)}, {1, Listed{}}, {1, Lost{"a"}}}, 0, "silent last-resort connection"},
	{"list says leaving, host gone from it, agent still there", []step{{0, say("1", 1, serving)}, {1, listed(true)}, {1, Listed{[]ListedHost{{Name: "hb"}}}}}, 0, "serving normal agent"},
}

func TestEvidence(t *testing.T) {
	for _, c := range evidence {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(0, 0)
			v := NewView(Default())
			v.Apply(declared(false), now)
			v.Apply(other(1), now)
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

// TestFlappingIsDamped: after three losses in a short time an endpoint gets
// work only when nothing else serves its model, and normal work again later.
func TestFlappingIsDamped(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	v := NewView(Default())
	v.Apply(declared(false), now)
	for i := range 3 {
		v.Apply(say(fmt.Sprint(i), 1, serving), now)
		is.Equal(v.Verdicts([]string{"a"}, now)[0].State, Serving)
		v.Apply(Lost{"a"}, now.Add(time.Second))
		now = now.Add(1200 * time.Millisecond)
	}
	v.Apply(say("4", 1, serving), now)
	alone := v.Verdicts([]string{"a"}, now)[0]
	is.Equal(alone.State, Damped)
	is.True(alone.Usable()) // nothing else serves the model
	v.Apply(other(2), now)
	both := v.Verdicts([]string{"a", "b"}, now)
	is.True(!both[0].Usable())
	is.True(both[1].Usable())
	now = now.Add(20 * time.Second)
	v.Apply(say("4", 2, serving), now)
	is.Equal(v.Verdicts([]string{"a"}, now)[0].State, Serving)
}

// TestPlannedRestartsAreNotDamped: an agent that said it leaves is not
// charged for going.
func TestPlannedRestartsAreNotDamped(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	v := NewView(Default())
	v.Apply(declared(false), now)
	for i := range 10 {
		now = now.Add(time.Second)
		v.Apply(say(fmt.Sprint(i), 1, serving), now)
		v.Apply(say(fmt.Sprint(i), 2, leaving), now)
		v.Apply(Lost{"a"}, now)
	}
	v.Apply(say("x", 1, serving), now)
	is.Equal(v.Verdicts([]string{"a"}, now)[0].State, Serving)
}

// fleet is n endpoints, two to a host and ten hosts to a rack.
func fleet(n int, now time.Time) (*View, []string) {
	v := NewView(Default())
	var ev Declared
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("e", i))
		ev.Endpoints = append(ev.Endpoints, Declaration{Endpoint: names[i], Host: fmt.Sprint("h", i/2)})
	}
	v.Apply(ev, now)
	for _, name := range names {
		v.Apply(Reported{Endpoint: name, Incarnation: name, AgentMS: 1, State: serving, Models: []string{"m"}}, now)
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

// TestLossOfMany: a lost rack is dropped at once and never tried while others
// serve; when everything is silent, everything is still tried for a while,
// and only silence on all sides means that this process is cut off.
func TestLossOfMany(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	v, names := fleet(60, now)
	for _, name := range names[:20] {
		v.Apply(Lost{name}, now)
	}
	is.Equal(usable(v, names, now), 40)
	for _, name := range names[20:] {
		v.Apply(Lost{name}, now)
	}
	now = now.Add(10 * time.Second)
	is.Equal(usable(v, names, now), 60) // silence of everything is not death of everything
	is.True(v.CutOff(now))
	v.Apply(Outside{}, now)
	is.True(!v.CutOff(now)) // a peer or the platform is heard: the agents are lost
	is.Equal(usable(v, names, now.Add(21*time.Second)), 0)
	v.Apply(Reported{Endpoint: "e0", Incarnation: "new", AgentMS: 1, State: serving, Models: []string{"m"}}, now)
	is.Equal(usable(v, names, now), 1)
}

// TestMassRestart: after a restart of everything, everything serves again
// as soon as it reports.
func TestMassRestart(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	v, names := fleet(60, now)
	for round := range 2 {
		for _, name := range names {
			v.Apply(Lost{name}, now)
			now = now.Add(10 * time.Millisecond)
			v.Apply(Reported{Endpoint: name, Incarnation: fmt.Sprint(name, round), AgentMS: 1, State: serving, Models: []string{"m"}}, now)
		}
		is.Equal(usable(v, names, now), 60)
	}
}

func TestCutOffNeedsAgentsBefore(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	v := NewView(Default())
	v.Apply(declared(false), now)
	is.True(!v.CutOff(now.Add(time.Hour))) // a fleet that never was
}

func BenchmarkVerdicts2900(b *testing.B) {
	now := time.Unix(0, 0)
	v, names := fleet(2900, now)
	for b.Loop() {
		v.Verdicts(names, now)
	}
}
