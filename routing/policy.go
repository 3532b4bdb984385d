package routing

import "time"

// Config holds the default policy's settings; the zero value of a field
// selects its default.
type Config struct {
	// FreshFor is how long after the last word of an agent a gateway without
	// a connection to it still sends work there.
	FreshFor time.Duration
	// DistancePenalty is added for an endpoint in another data centre.
	DistancePenalty time.Duration
	// LanePenalty is the share of a short request's own work that is added
	// for an endpoint in the lane for long work.
	LanePenalty float64
	// BatchSlowdown is the share by which each running request slows decode.
	BatchSlowdown float64
	// DecodeHorizon bounds the answer tokens that count in the score.
	DecodeHorizon uint64
	// NearBest is the share of the best candidate's own work within which
	// other candidates count as equally good.
	NearBest float64
	// NoLanes lets long work go anywhere.
	NoLanes bool
}

// Defaults of Config.
const (
	DefaultFreshFor        = 1500 * time.Millisecond
	DefaultDistancePenalty = 2 * time.Millisecond
	DefaultLanePenalty     = 0.25
	DefaultBatchSlowdown   = 0.03
	DefaultDecodeHorizon   = 64
	DefaultNearBest        = 0.1
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
	if c.BatchSlowdown == 0 {
		c.BatchSlowdown = DefaultBatchSlowdown
	}
	if c.DecodeHorizon == 0 {
		c.DecodeHorizon = DefaultDecodeHorizon
	}
	if c.NearBest == 0 {
		c.NearBest = DefaultNearBest
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
	p := &policy{cfg: cfg, filters: hardFilters(cfg), scorers: scorers(cfg)}
	if !cfg.NoLanes {
		p.lane = &filter{FilterLane, outsideLane}
	}
	return p
}

type policy struct {
	cfg     Config
	filters []filter
	lane    *filter // nil without lanes
	scorers []scorer
}

// job is one request at one candidate.
type job struct {
	req      *Request
	class    Class
	cand     *Candidate
	cost     Cost
	uncached uint64        // prompt tokens to prefill there
	prefill  time.Duration // predicted for them
}

// Choose implements Policy.
func (p *policy) Choose(req Request, view []Candidate, r func(n int) int, trace bool) Decision {
	if len(view) == 0 {
		return Decision{Index: -1, Reason: FilterNone}
	}
	c := choice{policy: p, view: view, start: r(len(view))}
	c.job.req = &req
	c.job.class = ClassOf(req.PromptTokens)
	if trace {
		c.scores = make([]Score, len(view))
	}
	return c.run(r)
}

// choice is the state of one call of Choose.
type choice struct {
	policy  *policy
	view    []Candidate
	start   int // scan begins here, so that equals are not always met in one order
	job     job
	lane    nearBest // candidates that pass every filter
	outside nearBest // candidates that only the lane filter removed
	deepest int      // furthest filter that any candidate reached
	scores  []Score
}

func (c *choice) run(r func(n int) int) Decision {
	n := len(c.view)
	for i := range n {
		at := c.start + i
		if at >= n {
			at -= n
		}
		c.consider(at)
	}
	d := c.decide(r)
	d.Scores = c.scores
	return d
}

// consider filters and scores one candidate.
func (c *choice) consider(at int) {
	j := &c.job
	j.cand = &c.view[at]
	for depth := range c.policy.filters {
		f := &c.policy.filters[depth]
		if f.rejects(j) {
			c.deepest = max(c.deepest, depth)
			c.traceFiltered(at, f.name)
			return
		}
	}
	j.estimate()
	into := &c.lane
	if c.policy.lane != nil && c.policy.lane.rejects(j) {
		into = &c.outside
	}
	var total float64
	for k := range c.policy.scorers {
		total += c.policy.scorers[k].score(j)
	}
	into.add(at, total, j.prefill)
	c.traceScored(at, total, into == &c.outside)
}

// decide picks among the candidates in the lane, or, when none is there or
// none can make the deadline, among the others.
func (c *choice) decide(r func(n int) int) Decision {
	from, reason := &c.lane, ReasonBest
	if c.lane.len == 0 {
		from, reason = &c.outside, ReasonNoLane
	} else if c.outside.len > 0 && c.late(&c.lane) && !c.late(&c.outside) {
		from, reason = &c.outside, ReasonLaneLate
	}
	if from.len == 0 {
		return Decision{Index: -1, Reason: c.policy.filters[c.deepest].name}
	}
	return Decision{Index: from.pick(c.policy.cfg.NearBest, r), Reason: reason}
}

func (c *choice) late(b *nearBest) bool {
	remaining := c.job.req.Remaining
	return remaining > 0 && b.best[0].score > float64(remaining)
}

// estimate fills in what the lane filter and the scorers share.
func (j *job) estimate() {
	var cached uint64
	if j.cand.Cached != nil && len(j.req.Prefix) > 0 {
		cached = uint64(j.cand.Cached(j.req.Prefix)) * blockTokens
	}
	j.cost = j.cand.Cost.OrDefault()
	cached = min(cached, j.req.PromptTokens)
	j.uncached = j.req.PromptTokens - cached
	j.prefill = j.cost.Prefill(j.req.PromptTokens, cached)
}

func (c *choice) traceFiltered(at int, name string) {
	if c.scores == nil {
		return
	}
	c.scores[at] = Score{Endpoint: c.view[at].Endpoint, Filtered: name}
}

// traceScored records the parts of a score in milliseconds.
func (c *choice) traceScored(at int, total float64, outside bool) {
	if c.scores == nil {
		return
	}
	s := Score{Endpoint: c.view[at].Endpoint, Kept: !outside, Total: total / float64(time.Millisecond)}
	if outside {
		s.Filtered = FilterLane
	}
	s.Parts = make(map[string]float64, len(c.policy.scorers))
	for _, sc := range c.policy.scorers {
		s.Parts[sc.name] = sc.score(&c.job) / float64(time.Millisecond)
	}
	c.scores[at] = s
}
