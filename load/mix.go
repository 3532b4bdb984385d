// Package load generates callers' traffic against gateways and checks the
// answers. Arrivals are open-loop: their times are drawn from a seed before the
// run, and every latency is measured from the drawn time, so a delayed request
// never hides the delay of those behind it (coordinated omission). The package
// uses only the callers' protocol and joins its own records with the executors'
// to count requests that were lost, run twice, cut off or damaged.
package load

import (
	"fmt"
	"sort"
	"time"

	"github.com/micarudder/micarudder/settings"
)

// Paths of the completion API that a flow can use.
const (
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
)

// Values of Flow.Arrivals.
const (
	ArrivalsPoisson = "poisson"
	ArrivalsBursts  = "bursts"
)

// Values of Flow.Resubmit.
const (
	ResubmitSameKey = "same-key"
	ResubmitNew     = "new"
)

// Mix is a load mix as read from its INI file.
type Mix struct {
	Run  RunSettings     `section:"run"`
	Flow map[string]Flow `section:"flow *"`
}

// RunSettings holds the settings that all flows share.
type RunSettings struct {
	Duration    time.Duration `key:"duration" default:"60s" min:"1s" max:"1h" help:"time over which requests arrive"`
	Rate        float64       `key:"rate" required:"true" min:"0" max:"10000" help:"requests a second of all flows together at load 1"`
	Warmup      time.Duration `key:"warmup" default:"0s" max:"10m" help:"arrivals of this first part are sent but not measured"`
	Grace       time.Duration `key:"grace" default:"10s" max:"10m" help:"how long past its deadline a request may still end"`
	MaxInFlight int           `key:"max_in_flight" default:"2000" min:"1" max:"20000" help:"requests open at once; an arrival above it is counted as unsent"`
}

// Flow describes one kind of request of one workspace.
type Flow struct {
	Workspace    string        `key:"workspace" required:"true" help:"name in reports"`
	Key          string        `key:"key" required:"true" help:"bearer key"`
	Model        string        `key:"model" required:"true" help:"model of the requests"`
	Path         string        `key:"path" default:"/v1/chat/completions" allowed:"/v1/chat/completions|/v1/completions" help:"path of the completion protocol"`
	Stream       bool          `key:"stream" default:"true" help:"whether answers are streamed"`
	Share        float64       `key:"share" required:"true" min:"0" max:"1" help:"part of the rate"`
	Arrivals     string        `key:"arrivals" default:"poisson" allowed:"poisson|bursts" help:"kind of arrivals"`
	BurstEvery   time.Duration `key:"burst_every" default:"15s" min:"1s" help:"time from burst to burst"`
	BurstLength  time.Duration `key:"burst_length" default:"3s" min:"100ms" help:"length of a burst, at the end of each period"`
	BurstPart    float64       `key:"burst_part" default:"0.8" min:"0" max:"1" help:"part of the requests that arrive in bursts"`
	Prompt       Lengths       `key:"prompt" required:"true" help:"prompt tokens: FROM-TO or FROM-TO:WEIGHT, comma-separated"`
	Answer       Lengths       `key:"answer" default:"16-64" help:"answer tokens, written like prompt"`
	Sessions     int           `key:"sessions" default:"0" min:"0" max:"100000" help:"number of sessions that share a prompt prefix; 0: none is shared"`
	Shared       float64       `key:"shared" default:"0.5" min:"0" max:"0.95" help:"part of the prompt that a session shares"`
	Repeatable   bool          `key:"repeatable" default:"true" help:"whether a request may run more than once"`
	Ticket       bool          `key:"ticket" default:"false" help:"whether a ticket is fetched in advance"`
	Keyed        bool          `key:"idempotency_key" default:"false" help:"whether requests carry an idempotency key"`
	Deadline     time.Duration `key:"deadline" default:"60s" min:"100ms" max:"1h" help:"time a request is allowed"`
	Patience     time.Duration `key:"patience" default:"0s" help:"time without a first token after which the caller submits again; 0s: never"`
	Resubmit     string        `key:"resubmit" default:"same-key" allowed:"same-key|new" help:"how an impatient caller submits again"`
	MaxResubmits int           `key:"max_resubmits" default:"2" min:"0" max:"10" help:"how often an impatient caller submits again"`
	Retries      int           `key:"retries" default:"0" min:"0" max:"10" help:"how often a refused request comes back after Retry-After"`
}

// ReadMix reads a mix file.
func ReadMix(file string) (*Mix, error) {
	m := new(Mix)
	if err := settings.Load(file, m); err != nil {
		return nil, err
	}
	return m, nil
}

// Check implements settings.Checker.
func (m *Mix) Check() []*settings.Mistake {
	var out []*settings.Mistake
	total := 0.0
	for _, name := range m.FlowNames() {
		f := m.Flow[name]
		total += f.Share
		out = append(out, f.check("flow "+name)...)
	}
	if !(m.Run.Rate > 0) {
		out = append(out, mistake("run", "rate", "is not greater than 0", ""))
	}
	if total > 1.0001 {
		out = append(out, mistake("run", "rate", fmt.Sprintf("the shares of the flows add up to %.3f", total), "at most 1"))
	}
	if len(m.Flow) == 0 {
		out = append(out, mistake("flow", "", "there is none", "[flow NAME]"))
	}
	return out
}

// FlowNames returns the names of the flows in alphabetic order.
func (m *Mix) FlowNames() []string {
	names := make([]string, 0, len(m.Flow))
	for n := range m.Flow {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

func (f Flow) check(section string) []*settings.Mistake {
	var out []*settings.Mistake
	if f.Arrivals == ArrivalsBursts && f.BurstLength > f.BurstEvery {
		out = append(out, mistake(section, "burst_length", "is longer than burst_every", ""))
	}
	if f.Patience > 0 && f.Resubmit == ResubmitSameKey && !f.Keyed && !f.Ticket {
		out = append(out, mistake(section, "resubmit", "same-key needs a ticket or an idempotency key to resubmit with", "ticket = true or idempotency_key = true"))
	}
	if !f.Repeatable && !f.Keyed && !f.Ticket {
		out = append(out, mistake(section, "repeatable", "a non-repeatable request needs a ticket or an idempotency key", "ticket = true or idempotency_key = true"))
	}
	return out
}

func mistake(section, key, problem, allowed string) *settings.Mistake {
	return &settings.Mistake{Section: section, Key: key, Problem: problem, Allowed: allowed}
}
