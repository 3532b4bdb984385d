package routing

import (
	"math"
	"time"
)

// Config holds the default policy's settings; the zero value of a field
// selects its default.
type Config struct {
	// FreshFor is how long after the last word of an agent a gateway without
	// a connection to it still sends work there.
	FreshFor time.Duration
	// DistancePenalty is added for an endpoint in another data centre.
	DistancePenalty time.Duration
	// LanePenalty is the part of what long work could cost a short request
	// that is added for an endpoint in the lane for long work.
	LanePenalty float64
	// HarmPenalty is the part of what a request's prefill costs the running
	// ones that is added to its own score.
	HarmPenalty float64
	// SpillAfter is the wait, in lengths of its own prefill, that a long
	// request takes for the lane over an endpoint outside it.
	SpillAfter float64
	// BatchSlowdown is the share by which each running request slows decode.
	BatchSlowdown float64
	// DecodeHorizon bounds the answer tokens that count in the score.
	DecodeHorizon uint64
	// SpreadWork is the part of the request's own prefill, and SpreadAge the
	// part of the reports' mean age, within which scores count as about equal.
	SpreadWork float64
	SpreadAge  float64
	// NoLanes lets long work go anywhere.
	NoLanes bool
}

// Defaults of Config.
const (
	DefaultFreshFor        = 1500 * time.Millisecond
	DefaultDistancePenalty = 2 * time.Millisecond
	DefaultLanePenalty     = 0.5
	DefaultHarmPenalty     = 0.5
	DefaultSpillAfter      = 5
	DefaultBatchSlowdown   = 0.01
	DefaultDecodeHorizon   = 12
	DefaultSpreadWork      = 0.02
	DefaultSpreadAge       = 0.1
)

func (c Config) withDefaults() Config {
	if c.FreshFor == 0 {
		c.FreshFor = DefaultFreshFor
	}
	if c.DistancePenalty == 0 {
		c.DistancePenalty = DefaultDistancePenalty
	}
	if c.LanePenalty == 0 {
		c.LanePenalty = DefaultLanePenalty
	}
	if c.HarmPenalty == 0 {
		c.HarmPenalty = DefaultHarmPenalty
	}
	if c.SpillAfter == 0 {
		c.SpillAfter = DefaultSpillAfter
	}
	if c.BatchSlowdown == 0 {
		c.BatchSlowdown = DefaultBatchSlowdown
	}
	if c.DecodeHorizon == 0 {
		c.DecodeHorizon = DefaultDecodeHorizon
	}
	if c.SpreadWork == 0 {
		c.SpreadWork = DefaultSpreadWork
	}
	if c.SpreadAge == 0 {
		c.SpreadAge = DefaultSpreadAge
	}
	return c
}

// Default returns the product's policy: filter, score, pick.
func Default() Policy { return New(Config{}) }

// NoLanes returns the default policy without the lane for long work.
func NoLanes() Policy { return New(Config{NoLanes: true}) }

// New returns the filter, score and pick policy with the given settings. The
// policy keeps no state and is safe for concurrent use.
func New(cfg Config) Policy {
	cfg = cfg.withDefaults()
	if cfg.NoLanes {
		cfg.LanePenalty = 0
	}
	return &policy{cfg}
}

type policy struct{ cfg Config }

// job is one request at one candidate.
type job struct {
	req   *Request
	class Class
	cand  *Candidate
	slow  float64 // factor by which the candidate exceeds its own predictions

	cost     Cost
	uncached uint64        // prompt tokens to prefill there
	prefill  time.Duration // predicted for them
	chunk    float64       // prefill that one step carries, nanoseconds
	long     bool          // work for the lane, counted by the uncached tokens
}

// at turns the job to a candidate.
func (j *job) at(c *Candidate) {
	j.cand = c
	j.slow = 1
	if c.Slowness > 0 {
		j.slow = c.Slowness
	}
}

// Choose implements Policy.
func (p *policy) Choose(req Request, view []Candidate, r func(n int) int, trace bool) Decision {
	if len(view) == 0 {
		return Decision{Index: -1, Reason: FilterNone}
	}
	c := choice{cfg: &p.cfg, view: view, noise: noise(r(math.MaxInt32))}
	c.job.req = &req
	c.job.class = ClassOf(req.PromptTokens)
	c.scale = p.cfg.spread(&req, view)
	if trace {
		c.scores = make([]Score, len(view))
	}
	for i := range view {
		c.consider(i)
	}
	return c.decide()
}

// choice is the state of one call of Choose.
type choice struct {
	cfg     *Config
	view    []Candidate
	noise   noise
	scale   float64 // of the noise
	job     job
	lane    best     // of the candidates that pass every filter
	outside best     // of the candidates that only the lane filter removed
	deepest filterID // furthest filter that rejected a candidate
	scores  []Score  // only when tracing
}

// consider filters and scores one candidate. Without a trace it passes over
// one that is already worse than the lane's best by what is known of it; long
// work leaves the lane only for what is better.
func (c *choice) consider(at int) {
	j := &c.job
	j.at(&c.view[at])
	spread := -c.scale * c.noise.next()
	known := c.cfg.known(j)
	if c.scores == nil && c.lane.excludes(known+spread) {
		return
	}
	if f := rejectedBy(j, c.cfg.FreshFor); f != passed {
		c.deepest = max(c.deepest, f)
		c.trace(at, Score{Filtered: f.String()})
		return
	}
	j.estimate()
	score := known + c.cfg.work(j)
	into, s := &c.lane, Score{Kept: true}
	if !c.cfg.NoLanes && outsideLane(j) {
		into, s = &c.outside, Score{Filtered: FilterLane}
	}
	into.add(at, score, spread, j.prefill)
	if c.scores != nil {
		s.Total = (score + spread) / float64(time.Millisecond)
		s.Parts = c.cfg.parts(j, spread)
		c.trace(at, s)
	}
}

func (c *choice) trace(at int, s Score) {
	if c.scores == nil {
		return
	}
	s.Endpoint = c.view[at].Endpoint
	c.scores[at] = s
}

// decide takes the best candidate in the lane, or the best of the others when
// none is in the lane or the lane is too late.
func (c *choice) decide() Decision {
	from, reason := &c.lane, ReasonBest
	if !c.lane.found {
		from, reason = &c.outside, ReasonNoLane
	} else if c.outside.found && c.spills() {
		from, reason = &c.outside, ReasonLaneLate
	}
	if !from.found {
		return Decision{Index: -1, Reason: c.deepest.String(), Scores: c.scores}
	}
	return Decision{Index: from.index, Reason: reason, Scores: c.scores}
}

// spills reports whether the lane is later than the others by more than the
// request's own length allows, or too late for its deadline.
func (c *choice) spills() bool {
	over := c.lane.score - c.outside.score
	if over > c.cfg.SpillAfter*float64(c.lane.work) {
		return true
	}
	late := float64(c.job.req.Remaining)
	return late > 0 && c.lane.score > late && c.outside.score <= late
}

// estimate fills in what depends on the candidate's prefix cache.
func (j *job) estimate() {
	var cached uint64
	if j.cand.Cached != nil && len(j.req.Prefix) > 0 {
		cached = uint64(j.cand.Cached(j.req.Prefix)) * blockTokens
	}
	cached = min(cached, j.req.PromptTokens)
	j.cost = j.cand.Cost.OrDefault()
	j.uncached = j.req.PromptTokens - cached
	j.prefill = j.cost.Prefill(j.req.PromptTokens, cached)
	j.chunk = float64(j.cost.Prefill(ChunkTokens, 0))
	j.long = ClassOf(j.uncached) >= laneClass
}
