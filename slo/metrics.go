package slo

import (
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// The metrics of a gateway that are read.
const (
	metricRequests = "rudder_requests_total"
	metricBuckets  = "rudder_first_token_seconds_bucket"
	metricCompared = "rudder_compared_total" // short requests with a known time alone
	metricSlowed   = "rudder_slowed_total"   // of these, slowed down beyond the goal
)

// maxCounter bounds a counter's value; what is not from 0 to it is passed over.
const maxCounter = 1 << 62

// Values of the outcome label that are not bad.
const (
	outcomeOK       = "ok"
	outcomeCanceled = "canceled" // given up by the caller: no event
)

// Read reads a gateway's metrics in the text exposition format. goals give the
// longest good time to first token by class; a class without one is left out.
// A histogram's bucket that a goal divides counts as bad.
func Read(r io.Reader, goals map[string]time.Duration) (Counters, error) {
	p := expfmt.NewTextParser(model.UTF8Validation)
	families, err := p.TextToMetricFamilies(r)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	c := Counters{FirstToken: {}, Slowdown: {}, Outcomes: {}}
	each(families[metricRequests], c.request)
	each(families[metricBuckets], func(l labels, v float64) { c.bucket(l, v, goals) })
	each(families[metricCompared], func(l labels, v float64) { c.count(Slowdown, l, Tally{Total: v}) })
	each(families[metricSlowed], func(l labels, v float64) { c.count(Slowdown, l, Tally{Bad: v}) })
	return c, nil
}

type labels map[string]string

func (c Counters) count(ind Indicator, l labels, t Tally) {
	key := Target{Workspace: l["workspace"], Class: l["class"]}
	sum := c[ind][key]
	sum.add(t)
	c[ind][key] = sum
}

func (c Counters) request(l labels, v float64) {
	switch l["outcome"] {
	case outcomeCanceled:
	case outcomeOK:
		c.count(Outcomes, l, Tally{Total: v})
	default:
		c.count(Outcomes, l, Tally{Total: v, Bad: v})
	}
}

func (c Counters) bucket(l labels, v float64, goals map[string]time.Duration) {
	goal, ok := goals[l["class"]]
	upper, valid := upperBound(l["vmrange"])
	if !ok || !valid {
		return
	}
	t := Tally{Total: v}
	if upper > goal.Seconds() {
		t.Bad = v
	}
	c.count(FirstToken, l, t)
}

// upperBound returns the end of a bucket's range, written LOW...HIGH.
func upperBound(vmrange string) (float64, bool) {
	_, hi, ok := strings.Cut(vmrange, "...")
	if !ok {
		return 0, false
	}
	v, err := strconv.ParseFloat(hi, 64)
	return v, err == nil
}

func each(f *dto.MetricFamily, do func(labels, float64)) {
	for _, m := range f.GetMetric() {
		l := make(labels, len(m.GetLabel()))
		for _, p := range m.GetLabel() {
			l[p.GetName()] = p.GetValue()
		}
		if v := value(m); v >= 0 && v <= maxCounter {
			do(l, v)
		}
	}
}

// value returns a sample's value whatever type the exposition declares.
func value(m *dto.Metric) float64 {
	if m.Counter != nil {
		return m.Counter.GetValue()
	}
	return m.Untyped.GetValue()
}
