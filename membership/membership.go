// Package membership decides which endpoints a gateway may send new work to. It
// does no I/O and reads no clock: callers pass in events and the time, and get
// verdicts.
//
// A verdict rests on these kinds of evidence, the strongest first:
//
//  1. The accepted declaration: an endpoint or host declared as draining gets
//     no new work, whatever else is known.
//  2. The last report of the agent's current incarnation.
//  3. The connection to the agent: a disconnected agent is assumed to be alive
//     for at most Config.Grace.
//  4. The platform's list of hosts. It lags, so it never makes an endpoint
//     usable, and a new incarnation takes precedence over it for Config.ListLag.
package membership

import (
	"time"

	"github.com/micarudder/micarudder/rudderv1"
)

// Config holds the time limits of the decision.
type Config struct {
	// StaleAfter is the maximum age of the last report on an open connection. An
	// agent reports at least once per heartbeat interval, so a connected agent
	// that reports nothing for longer is frozen.
	StaleAfter time.Duration
	// Grace is how long an agent whose connection was lost may still get work
	// if no other endpoint serves the same pool.
	Grace time.Duration
	// NoAgentGrace replaces Grace while no agent at all is connected: the fault
	// is then probably in this process or its network.
	NoAgentGrace time.Duration
	// ListLag is the maximum delay of the platform's list of hosts.
	ListLag time.Duration
	// CutOffAfter is how long no agent must have been connected before this
	// process may be considered cut off; see View.CutOff.
	CutOffAfter time.Duration
	Flap        FlapConfig
}

// Default returns the default configuration.
func Default() Config {
	return Config{
		StaleAfter:   15 * time.Second,
		Grace:        2 * time.Second,
		NoAgentGrace: 30 * time.Second,
		ListLag:      time.Minute,
		CutOffAfter:  3 * time.Second,
		Flap:         FlapConfig{Suppress: 2.5, Reuse: 1, Max: 6, HalfLife: 10 * time.Second},
	}
}

// State is the state of an endpoint as seen by a gateway.
type State int

// The states of an endpoint.
const (
	NeverReported State = iota // its agent has never reported
	Starting                   // its agent does not accept work yet
	Serving                    // it accepts work
	Damped                     // it accepts work, but was lost too often recently
	Silent                     // its agent lost its connection recently, or is frozen
	EndpointLost               // its agent is running, but the endpoint does not answer
	Draining                   // it gets no new work
	Gone                       // its agent is disconnected and no longer tried
)

// States lists all states.
var States = [...]State{NeverReported, Starting, Serving, Damped, Silent, EndpointLost, Draining, Gone}

// String returns the state's name.
func (s State) String() string {
	return [...]string{"unheard", "starting", "serving", "damped", "silent", "endpoint-lost", "leaving", "gone"}[s]
}

// Use tells whether new work may go to an endpoint.
type Use int

// The uses of an endpoint.
const (
	Never      Use = iota // no new work
	LastResort            // only if no Normal endpoint serves one of its pools
	Normal                // without restriction
)

// String returns the use's name.
func (u Use) String() string { return [...]string{"never", "last-resort", "normal"}[u] }

// Evidence is the kind of evidence that decided a verdict.
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

// String returns the name of the evidence.
func (e Evidence) String() string {
	return [...]string{"nothing", "declaration", "agent", "connection", "list", "flapping"}[e]
}

// Verdict is the assessment of one endpoint at one point in time.
type Verdict struct {
	State    State
	Use      Use
	Evidence Evidence
	// Promoted is set on a LastResort endpoint that may be used because no
	// Normal endpoint serves one of its pools.
	Promoted bool
}

// String returns the state, followed by the evidence unless the state is serving
// or there is no evidence.
func (v Verdict) String() string {
	if v.State == Serving || v.Evidence == ByNothing {
		return v.State.String()
	}
	return v.State.String() + " (" + v.Evidence.String() + ")"
}

// Usable reports whether new work may go to the endpoint now.
func (v Verdict) Usable() bool { return v.Use == Normal || v.Promoted }

// member is the state kept for one endpoint. Its pools are its service, or the
// models that it serves.
type member struct {
	decl           Declaration
	pools          []string
	connected      bool
	disconnectedAt time.Time // when the connection was lost
	lastReport     time.Time // when the last report arrived
	incarnation    string
	previous       string    // the incarnation before the current one
	firstReport    time.Time // when the current incarnation first reported
	agentClockMS   int64
	state          rudderv1.AgentState
	flap           flap
}

// listing is the platform's list entry for one host.
type listing struct {
	draining bool
	since    time.Time // when the list first had this value of draining
}

// View is one gateway's view of its endpoints. It is not safe for concurrent use.
type View struct {
	cfg              Config
	members          map[string]*member
	hosts            map[string]listing
	listed           bool      // at least one non-empty list was read
	noAgentSince     time.Time // since when no agent is connected; zero while one is
	lastOtherContact time.Time // last message from a peer gateway or the platform
}

// NewView returns a view without endpoints.
func NewView(cfg Config) *View {
	return &View{cfg: cfg, members: make(map[string]*member), hosts: make(map[string]listing)}
}
