package routing

import (
	"math"
	"time"
)

// Config holds the parameters of the default policy. A zero field selects its
// default.
type Config struct {
	// MaxSilence bounds the time since the last message from an agent within
	// which a gateway without a connection to that agent still sends work to
	// its endpoint.
	MaxSilence time.Duration
	// DistancePenalty is added to the score of an endpoint in another data
	// centre.
	DistancePenalty time.Duration
	// LaneWeight is the fraction of the largest delay that long work could
	// cause to a short request that is added to the score of an endpoint in the
	// long lane.
	LaneWeight float64
	// ImposedInterferenceWeight is the fraction of the delay that a request's
	// prefill causes to the running requests that is added to its score.
	ImposedInterferenceWeight float64
	// SpillFactor is how much later the long lane may be than an endpoint
	// outside it before a long request leaves the lane, as a multiple of the
	// request's own prefill time.
	SpillFactor float64
	// BatchSlowdown is the fraction by which each running request slows decode.
	BatchSlowdown float64
	// DecodeHorizon bounds the number of response tokens that count in the score.
	DecodeHorizon uint64
	// NoisePrefillShare and NoiseAgeShare set the scale of the noise added to
	// scores, the difference within which scores count as about equal: a
	// fraction of the request's own prefill time and a fraction of the mean age
	// of the reports.
	NoisePrefillShare float64
	NoiseAgeShare     float64
	// NoLanes allows long work on any endpoint.
	NoLanes bool
}

// Default values of the fields of Config.
const (
	DefaultMaxSilence                = 1500 * time.Millisecond
	DefaultDistancePenalty           = 2 * time.Millisecond
	DefaultLaneWeight                = 0.5
	DefaultImposedInterferenceWeight = 0.5
	DefaultSpillFactor               = 5
	DefaultBatchSlowdown             = 0.01
	DefaultDecodeHorizon             = 12
	DefaultNoisePrefillShare         = 0.02
	DefaultNoiseAgeShare             = 0.1
)

func (c Config) withDefaults() Config {
	if c.MaxSilence == 0 {
		c.MaxSilence = DefaultMaxSilence
	}
	if c.DistancePenalty == 0 {
		c.DistancePenalty = DefaultDistancePenalty
	}
	if c.LaneWeight == 0 {
		c.LaneWeight = DefaultLaneWeight
	}
	if c.ImposedInterferenceWeight == 0 {
		c.ImposedInterferenceWeight = DefaultImposedInterferenceWeight
	}
	if c.SpillFactor == 0 {
		c.SpillFactor = DefaultSpillFactor
	}
	if c.BatchSlowdown == 0 {
		c.BatchSlowdown = DefaultBatchSlowdown
	}
	if c.DecodeHorizon == 0 {
		c.DecodeHorizon = DefaultDecodeHorizon
	}
	if c.NoisePrefillShare == 0 {
		c.NoisePrefillShare = DefaultNoisePrefillShare
	}
	if c.NoiseAgeShare == 0 {
		c.NoiseAgeShare = DefaultNoiseAgeShare
	}
	return c
}

// Default returns the filter, score and pick policy with its default
// parameters.
func Default() Policy { return New(Config{}) }

// NoLanes returns the default policy without a lane for long work.
func NoLanes() Policy { return New(Config{NoLanes: true}) }

// New returns the filter, score and pick policy with the given parameters. The
// policy is stateless and safe for concurrent use.
func New(cfg Config) Policy {
	cfg = cfg.withDefaults()
	if cfg.NoLanes {
		cfg.LaneWeight = 0
	}
	return &policy{cfg}
}

type policy struct{ cfg Config }

// evaluation holds the values that the filters and the score of one request on
// one candidate are based on.
type evaluation struct {
	req      *Request
	class    Class
	cand     *Candidate
	slowdown float64 // ratio of the candidate's actual to its predicted run time

	cost     Cost
	uncached uint64        // prompt tokens that the candidate has to prefill
	prefill  time.Duration // predicted time for the uncached tokens
	chunk    float64       // prefill time of one chunk, in nanoseconds
	long     bool          // the uncached tokens make the request long work
}

// setCandidate sets the candidate to evaluate.
func (e *evaluation) setCandidate(c *Candidate) {
	e.cand = c
	e.slowdown = 1
	if c.SlowdownFactor > 0 {
		e.slowdown = c.SlowdownFactor
	}
}

// Choose implements Policy.
func (p *policy) Choose(req Request, view []Candidate, r func(n int) int, trace bool) Decision {
	if len(view) == 0 {
		return Decision{Index: -1, Reason: FilterNone}
	}
	c := selection{cfg: &p.cfg, view: view, noise: noiseSource(r(math.MaxInt32))}
	c.eval.req = &req
	c.eval.class = ClassOf(req.PromptTokens)
	c.noiseScale = p.cfg.noiseScale(&req, view)
	if trace {
		c.scores = make([]Score, len(view))
	}
	for i := range view {
		c.evaluate(i)
	}
	return c.decide()
}

// selection holds the state of one call of Choose.
type selection struct {
	cfg        *Config
	view       []Candidate
	noise      noiseSource
	noiseScale float64 // in nanoseconds
	eval       evaluation
	inLane     bestCandidate // among the candidates that pass every filter
	offLane    bestCandidate // among the candidates rejected by the lane filter only
	furthest   filterID      // last filter in their order that rejected a candidate
	scores     []Score       // only set when tracing
}

// evaluate filters and scores one candidate. Unless tracing, it skips a
// candidate whose lower bound, the base score with noise, is not better than the
// best candidate in the lane. Such a candidate cannot win outside the lane
// either, because long work leaves the lane only for a better score.
func (c *selection) evaluate(index int) {
	e := &c.eval
	e.setCandidate(&c.view[index])
	noise := -c.noiseScale * c.noise.next()
	base := c.cfg.baseScore(e)
	if c.scores == nil && c.inLane.beats(base+noise) {
		return
	}
	if f := rejectedBy(e, c.cfg.MaxSilence); f != passed {
		c.furthest = max(c.furthest, f)
		c.record(index, Score{Filtered: f.String()})
		return
	}
	e.estimate()
	score := base + c.cfg.requestScore(e)
	target, s := &c.inLane, Score{Kept: true}
	if !c.cfg.NoLanes && outsideLane(e) {
		target, s = &c.offLane, Score{Filtered: FilterLane}
	}
	target.offer(index, score, noise, e.prefill)
	if c.scores != nil {
		s.Total = (score + noise) / float64(time.Millisecond)
		s.Parts = c.cfg.parts(e, noise)
		c.record(index, s)
	}
}

// record stores the score of a candidate when tracing.
func (c *selection) record(index int, s Score) {
	if c.scores == nil {
		return
	}
	s.Endpoint = c.view[index].Endpoint
	c.scores[index] = s
}

// decide returns the best candidate in the lane. It returns the best one
// outside the lane if the lane has none or would answer too late.
func (c *selection) decide() Decision {
	chosen, reason := &c.inLane, ReasonBest
	if !c.inLane.found {
		chosen, reason = &c.offLane, ReasonNoLane
	} else if c.offLane.found && c.spills() {
		chosen, reason = &c.offLane, ReasonLaneLate
	}
	if !chosen.found {
		return Decision{Index: -1, Reason: c.furthest.String(), Scores: c.scores}
	}
	return Decision{Index: chosen.index, Reason: reason, Scores: c.scores}
}

// spills reports whether a long request leaves the lane: because the best
// candidate in the lane is later than the best one outside it by more than
// SpillFactor times the request's prefill time, or because only the one outside
// can meet the deadline.
func (c *selection) spills() bool {
	excess := c.inLane.score - c.offLane.score
	if excess > c.cfg.SpillFactor*float64(c.inLane.prefill) {
		return true
	}
	remaining := float64(c.eval.req.Remaining)
	return remaining > 0 && c.inLane.score > remaining && c.offLane.score <= remaining
}

// estimate sets the fields that depend on the candidate's prefix cache.
func (e *evaluation) estimate() {
	var cached uint64
	if e.cand.Cached != nil && len(e.req.Prefix) > 0 {
		cached = uint64(e.cand.Cached(e.req.Prefix)) * blockTokens
	}
	cached = min(cached, e.req.PromptTokens)
	e.cost = e.cand.Cost.OrDefault()
	e.uncached = e.req.PromptTokens - cached
	e.prefill = e.cost.Prefill(e.req.PromptTokens, cached)
	e.chunk = float64(e.cost.Prefill(ChunkTokens, 0))
	e.long = ClassOf(e.uncached) >= laneClass
}
