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

// The gateway metrics that Read uses.
const (
	metricRequests = "rudder_requests_total"
	metricBuckets  = "rudder_first_token_seconds_bucket"
	metricCompared = "rudder_compared_total" // short requests compared with the predicted time of their prefill alone
	metricSlowed   = "rudder_slowed_total"   // those of metricCompared slowed down beyond the goal
)

// maxCounter is the largest accepted counter value; values outside [0, maxCounter] are ignored.
const maxCounter = 1 << 62

// Values of the outcome label that do not count as bad.
const (
	outcomeOK       = "ok"
	outcomeCanceled = "canceled" // given up by the caller; not counted at all
)

// Read parses a gateway's metrics in the text exposition format. goals holds the
// longest acceptable time to first token by class; classes without a goal are left
// out of FirstToken. A histogram bucket whose range contains the goal counts as bad.
func Read(r io.Reader, goals map[string]time.Duration) (Counters, error) {
	p := expfmt.NewTextParser(model.UTF8Validation)
	families, err := p.TextToMetricFamilies(r)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	c := Counters{FirstToken: {}, Slowdown: {}, Outcomes: {}}
	forEachValue(families[metricRequests], c.addRequest)
	forEachValue(families[metricBuckets], func(l labels, v float64) { c.addBucket(l, v, goals) })
	forEachValue(families[metricCompared], func(l labels, v float64) { c.add(Slowdown, l, Tally{Total: v}) })
	forEachValue(families[metricSlowed], func(l labels, v float64) { c.add(Slowdown, l, Tally{Bad: v}) })
	return c, nil
}

// labels are the labels of one metric sample.
type labels map[string]string

// add adds a tally to the indicator's target that the labels name.
func (c Counters) add(ind Indicator, l labels, t Tally) {
	key := Target{Workspace: l["workspace"], Class: l["class"]}
	sum := c[ind][key]
	sum.add(t)
	c[ind][key] = sum
}

// addRequest counts requests by their outcome label.
func (c Counters) addRequest(l labels, v float64) {
	switch l["outcome"] {
	case outcomeCanceled:
	case outcomeOK:
		c.add(Outcomes, l, Tally{Total: v})
	default:
		c.add(Outcomes, l, Tally{Total: v, Bad: v})
	}
}

// addBucket counts a bucket of the first-token histogram against the goal of its class.
func (c Counters) addBucket(l labels, v float64, goals map[string]time.Duration) {
	goal, ok := goals[l["class"]]
	upper, valid := upperBound(l["vmrange"])
	if !ok || !valid {
		return
	}
	t := Tally{Total: v}
	if upper > goal.Seconds() {
		t.Bad = v
	}
	c.add(FirstToken, l, t)
}

// upperBound returns the upper end of a bucket's range, which is written LOW...HIGH.
func upperBound(vmrange string) (float64, bool) {
	_, hi, ok := strings.Cut(vmrange, "...")
	if !ok {
		return 0, false
	}
	v, err := strconv.ParseFloat(hi, 64)
	return v, err == nil
}

// forEachValue calls do for each sample of the family whose value is in [0, maxCounter].
func forEachValue(f *dto.MetricFamily, do func(labels, float64)) {
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

// value returns the value of a counter or of an untyped sample, and 0 for other types.
func value(m *dto.Metric) float64 {
	if m.Counter != nil {
		return m.Counter.GetValue()
	}
	return m.Untyped.GetValue()
}
