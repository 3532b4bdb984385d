package load

import (
	"context"
	"time"
)

// Experiment is a run of the whole mix, preceded, if Alone is set, by a run of
// its short requests alone.
type Experiment struct {
	Options
	MixName string
	Alone   bool
}

// Requests returns how many requests the experiment sends.
func (e Experiment) Requests() int {
	as := e.schedule()
	if !e.Alone {
		return len(as)
	}
	return len(as) + len(FilterArrivals(as, IsShort))
}

// Report is the result of an experiment.
type Report struct {
	Mix      string    `json:"mix"`
	Started  time.Time `json:"started"`
	Summary  *Summary  `json:"summary"`
	Alone    *Summary  `json:"alone,omitempty"`
	Slowdown *Slowdown `json:"slowdown,omitempty"`
	// Records holds all requests of the run of the whole mix.
	Records []Record `json:"-"`
}

// HasBreaches reports whether any breach was found.
func (r *Report) HasBreaches() bool {
	return len(r.Summary.Breaches) > 0 || r.Alone != nil && len(r.Alone.Breaches) > 0
}

// Run performs the experiment. If the run of the whole mix yields records, Run
// returns a report even along with an error.
func Run(ctx context.Context, e Experiment) (*Report, error) {
	rep := &Report{Mix: e.MixName, Started: time.Now().UTC()}
	var alone []Record
	if e.Alone {
		o := e.Options
		o.Name += "-alone"
		o.Keep = IsShort
		recs, err := Do(ctx, o)
		if err != nil {
			return nil, err
		}
		alone = recs
		rep.Alone = Summarize(o.Mix, o.Seed, o.Load, recs)
	}
	recs, err := Do(ctx, e.Options)
	if recs == nil {
		return nil, err
	}
	rep.Records = recs
	rep.Summary = Summarize(e.Mix, e.Seed, e.Load, recs)
	if e.Alone {
		s := CompareShort(recs, alone)
		rep.Slowdown = &s
	}
	return rep, err
}
