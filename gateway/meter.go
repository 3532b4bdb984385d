package gateway

import (
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"

	"github.com/micarudder/micarudder/generation"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/routing"
	"github.com/micarudder/micarudder/rudderv1"
)

// meter holds the gateway's metrics.
type meter struct{ set *metrics.Set }

func newMeter(set *metrics.Set, g *Gateway) *meter {
	if set == nil {
		set = metrics.NewSet()
	}
	set.NewGauge("rudder_gateway_in_flight", func() float64 { return float64(g.active.Load()) })
	set.NewGauge("rudder_gateway_groups_forming", func() float64 { return float64(len(g.forming)) })
	generation.RegisterMetrics(set, "gateway", g.deps.Keeper)
	set.NewGauge("rudder_gateway_platform_generation", func() float64 { return float64(g.platform.generation.Load()) })
	set.NewGauge("rudder_gateway_platform_restores", func() float64 { return float64(g.platform.restored.Load()) })
	set.NewGauge("rudder_gateway_platform_silent_seconds", func() float64 { return g.platform.silent().Seconds() })
	return &meter{set}
}

// group counts the steps of groups: attempts, and how they ended.
func (m *meter) group(step string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`rudder_groups_total{step=%q}`, step)).Inc()
}

// done counts one request's end.
func (m *meter) done(s *session, end *rudderv1.End) {
	ws := s.o.workspace.Name
	class := routing.ClassOf(s.o.completion.GetPromptTokens()).String()
	m.set.GetOrCreateCounter(fmt.Sprintf(`rudder_requests_total{workspace=%q,class=%q,outcome=%q}`, ws, class, outcomeLabel(end))).Inc()
	m.set.GetOrCreateCounter(fmt.Sprintf(`rudder_request_codes_total{code="%d"}`, end.Code)).Inc()
	if s.firstText.IsZero() || s.o.completion == nil {
		return
	}
	took := s.firstText.Sub(s.began)
	labels := fmt.Sprintf(`{workspace=%q,class=%q}`, ws, class)
	m.set.GetOrCreateHistogram("rudder_first_token_seconds" + labels).Update(took.Seconds())
	m.set.GetOrCreateCounter("rudder_first_token_total" + labels).Inc()
	if took > s.g.cfg.FirstTokenGoal {
		m.set.GetOrCreateCounter("rudder_slow_first_token_total" + labels).Inc()
	}
	m.compare(routing.ClassOf(s.o.completion.GetPromptTokens()), took, s.alone, labels)
}

const (
	// slowdownGoal is the factor over its time alone beyond which a short
	// request counts as slowed down.
	slowdownGoal = 1.2
	// leastAlone is the shortest predicted time that says something: below it an
	// engine's step is the larger part.
	leastAlone = 20 * time.Millisecond
)

// compare counts a short request against the time that its prefill alone is
// predicted to take.
func (m *meter) compare(class routing.Class, took, alone time.Duration, labels string) {
	if class != routing.ClassShort || alone < leastAlone {
		return
	}
	m.set.GetOrCreateCounter("rudder_compared_total" + labels).Inc()
	if float64(took) > slowdownGoal*float64(alone) {
		m.set.GetOrCreateCounter("rudder_slowed_total" + labels).Inc()
	}
}

// outcomeLabel sorts an end for the outcome counters.
func outcomeLabel(end *rudderv1.End) string {
	switch {
	case result.Code(end.Code) == result.OK:
		return "ok"
	case result.Code(end.Code) == result.Canceled:
		return "canceled"
	case end.Outcome == rudderv1.Outcome_OUTCOME_NOT_RUN:
		return "not_run"
	case end.Outcome == rudderv1.Outcome_OUTCOME_RAN:
		return "failed"
	default:
		return "unknown"
	}
}

// retry counts a retry of the workspace, or one that its budget refused.
func (m *meter) retry(workspace string, granted bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`rudder_retries_total{workspace=%q,granted="%t"}`, workspace, granted)).Inc()
}

func (m *meter) generationBack() {
	m.set.GetOrCreateCounter("rudder_generation_back_total").Inc()
}

// receiver sorts the documents sent by who gets them.
type receiver string

const (
	toAgent receiver = "agent"
	toPeer  receiver = "peer"
)

// sent counts a document or delta on its way to another process.
func (m *meter) sent(to receiver, o *rudderv1.OfferRequest) {
	form := "whole"
	switch {
	case o.Delta != nil:
		form = "delta"
	case o.Document == nil:
		form = "question"
	}
	labels := fmt.Sprintf(`{to=%q,form=%q}`, to, form)
	m.set.GetOrCreateCounter("rudder_gateway_offers_total" + labels).Inc()
	m.set.GetOrCreateCounter("rudder_gateway_offer_bytes_total" + labels).Add(proto.Size(o))
}

// learned counts a newer document by where it came from.
func (m *meter) learned(from source) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`rudder_gateway_learned_total{from=%q}`, from)).Inc()
}

func (m *meter) refusedEarly(c result.Code) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`rudder_request_codes_total{code="%d"}`, c)).Inc()
}

// seconds rounds a time to come back up to whole seconds, at least one.
func seconds(ms int64) int64 {
	return max(1, (time.Duration(ms)*time.Millisecond+time.Second-1).Milliseconds()/1000)
}

// permit counts what became of one permit.
func (m *meter) permit(kind string, resp *connect.Response[rudderv1.PlaceResponse], err error) {
	ending := "refused"
	switch {
	case err != nil:
		ending = "lost"
	case resp.Msg.Accepted:
		ending = "accepted"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`rudder_placer_permits_total{kind=%q,ending=%q}`, kind, ending)).Inc()
}
