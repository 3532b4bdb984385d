// Package membership decides, from ranked evidence, which endpoints a gateway
// may send new work to. It is pure: events and the time come in, verdicts come
// out, and nothing else happens.
//
// The evidence, strongest first:
//
//  1. The accepted declaration: an endpoint or host declared as leaving gets
//     no new work, whatever else is known.
//  2. The agent's own word, the last report of its current incarnation.
//  3. The agent's connection: an agent that cannot be heard is not believed
//     to be alive for longer than Config.Grace.
//  4. The platform's list of hosts. It lags, so it never makes an endpoint
//     usable, and a new incarnation outranks it for Config.ListLag.
package membership

import (
	"time"

	"github.com/micarudder/micarudder/rudderv1"
)

// Config holds the bounds of the decision.
type Config struct {
	// StaleAfter is how old the last report of an open connection may be; an
	// agent reports at least every heartbeat, so a longer silence means that
	// it is frozen.
	StaleAfter time.Duration
	// Grace is how long an agent whose connection was lost is still tried when
	// nothing better serves the same pool.
	Grace time.Duration
	// SilenceGrace replaces Grace while no agent at all is connected: then the
	// fault is probably on this side.
	SilenceGrace time.Duration
	// ListLag is the longest time by which the platform's list is late.
	ListLag time.Duration
	// CutOffAfter is how long this process must have heard nobody before it
	// calls itself cut off.
	CutOffAfter time.Duration
	Flap        FlapConfig
}

// Default returns the bounds used when nothing else is set.
func Default() Config {
	return Config{
		StaleAfter:   15 * time.Second,
		Grace:        2 * time.Second,
		SilenceGrace: 30 * time.Second,
		ListLag:      time.Minute,
		CutOffAfter:  3 * time.Second,
		Flap:         FlapConfig{Suppress: 2.5, Reuse: 1, Max: 6, HalfLife: 10 * time.Second},
	}
}

// State is the verdict's word for an endpoint.
type State int

// The states of an endpoint.
const (
	Unheard      State = iota // its agent has never been heard
	Starting                  // its agent does not accept work yet
	Serving                   // it takes work
	Damped                    // it serves, but was lost too often of late
	Silent                    // its agent was lost a moment ago, or is frozen
	EndpointLost              // its agent lives, the endpoint does not answer
	Leaving                   // it gets no new work
	Gone                      // its agent is lost
)

// States lists all states.
var States = [...]State{Unheard, Starting, Serving, Damped, Silent, EndpointLost, Leaving, Gone}

// String returns the state's name.
func (s State) String() string {
	return [...]string{"unheard", "starting", "serving", "damped", "silent", "endpoint-lost", "leaving", "gone"}[s]
}

// Use says whether new work may go to an endpoint.
type Use int

// The uses of an endpoint.
const (
	Never      Use = iota // no new work
	LastResort            // only when nothing better serves the same pool
	Normal                // like any other
)

// String returns the use's name.
func (u Use) String() string { return [...]string{"never", "last-resort", "normal"}[u] }

// Evidence names what decided a verdict.
type Evidence int

// The kinds of evidence.
const (
	ByNothing Evidence = iota
	ByDeclaration
	ByAgent
	ByConnection
	ByList
	ByFlapping
)

// String returns the evidence's name.
func (e Evidence) String() string {
	return [...]string{"nothing", "declaration", "agent", "connection", "list", "flapping"}[e]
}

// Verdict is what is believed of one endpoint at one moment.
type Verdict struct {
	State    State
	Use      Use
	Evidence Evidence
	// Promoted: a last resort that is used because nothing better serves one
	// of its pools.
	Promoted bool
}

// String returns the state, with the evidence for it when it is not "serving".
func (v Verdict) String() string {
	if v.State == Serving || v.Evidence == ByNothing {
		return v.State.String()
	}
	return v.State.String() + " (" + v.Evidence.String() + ")"
}

// Usable reports whether new work may go to the endpoint now.
func (v Verdict) Usable() bool { return v.Use == Normal || v.Promoted }

// member is what is known of one endpoint.
type member struct {
	decl        Declaration
	pools       []string
	connected   bool
	lostAt      time.Time // when the connection was lost
	heard       time.Time // when the last report came
	incarnation string
	previous    string    // the incarnation before the current one
	firstHeard  time.Time // when the incarnation was first heard
	agentMS     int64
	state       rudderv1.AgentState
	flap        flap
}

// listing is the platform's word about one host.
type listing struct {
	leaving bool
	since   time.Time // when the list first said so
}

// View is one gateway's knowledge of its endpoints. It is not safe for
// concurrent use.
type View struct {
	cfg     Config
	members map[string]*member
	hosts   map[string]listing
	listed  bool // a list was read
	silence time.Time
	outside time.Time // when anybody but an agent was last heard
}

// NewView returns a view that knows nothing.
func NewView(cfg Config) *View {
	return &View{cfg: cfg, members: make(map[string]*member), hosts: make(map[string]listing)}
}
