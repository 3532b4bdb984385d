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
	set.NewGauge("rudder_gateway_body_memory_bytes", func() float64 { return float64(g.bodies.Held()) })
	set.NewGauge("rudder_gateway_groups_forming", func() float64 { return float64(len(g.formingSlots)) })
	generation.RegisterMetrics(set, "gateway", g.deps.Tracker)
	set.NewGauge("rudder_gateway_platform_generation", func() float64 { return float64(g.platform.generation.Load()) })
	set.NewGauge("rudder_gateway_platform_restores", func() float64 { return float64(g.platform.restored.Load()) })
	set.NewGauge("rudder_gateway_platform_silent_seconds", func() float64 { return g.platform.silence().Seconds() })
	return &meter{set}
}

// recordGroupStep counts the attempts of groups and their results.
func (m *meter) recordGroupStep(step string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`rudder_groups_total{step=%q}`, step)).Inc()
}

// recordEnd records the end of one request.
func (m *meter) recordEnd(s *session, end *rudderv1.End) {
	ws := s.cr.workspace.Name
	class := routing.ClassOf(s.cr.completion.GetPromptTokens()).String()
	m.set.GetOrCreateCounter(fmt.Sprintf(`rudder_requests_total{workspace=%q,class=%q,outcome=%q}`, ws, class, outcomeLabel(end))).Inc()
	m.set.GetOrCreateCounter(fmt.Sprintf(`rudder_request_codes_total{code="%d"}`, end.Code)).Inc()
	if s.firstTextAt.IsZero() || s.cr.completion == nil {
		return
	}
	took := s.firstTextAt.Sub(s.start)
	labels := fmt.Sprintf(`{workspace=%q,class=%q}`, ws, class)
	m.set.GetOrCreateHistogram("rudder_first_token_seconds" + labels).Update(took.Seconds())
	m.set.GetOrCreateCounter("rudder_first_token_total" + labels).Inc()
	if took > s.g.cfg.FirstTokenGoal {
		m.set.GetOrCreateCounter("rudder_slow_first_token_total" + labels).Inc()
	}
	m.compare(routing.ClassOf(s.cr.completion.GetPromptTokens()), took, s.unloadedPrefill, labels)
}

const (
	// slowdownThreshold is the ratio of actual to predicted undisturbed time to
	// first token above which a short request counts as slowed down.
	slowdownThreshold = 1.2
	// minComparedPrefill is the shortest predicted prefill that is compared.
	// Below it, the duration of a single engine step is the larger part of the
	// time.
	minComparedPrefill = 20 * time.Millisecond
)

// compare compares the time to first token of a short request with the
// predicted prefill time on an otherwise idle endpoint.
func (m *meter) compare(class routing.Class, took, unloaded time.Duration, labels string) {
	if class != routing.ClassShort || unloaded < minComparedPrefill {
		return
	}
	m.set.GetOrCreateCounter("rudder_compared_total" + labels).Inc()
	if float64(took) > slowdownThreshold*float64(unloaded) {
		m.set.GetOrCreateCounter("rudder_slowed_total" + labels).Inc()
	}
}

// outcomeLabel returns the outcome label of a request's end.
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

// recordRetry counts a retry of a workspace, granted or refused by its budget.
func (m *meter) recordRetry(workspace string, granted bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`rudder_retries_total{workspace=%q,granted="%t"}`, workspace, granted)).Inc()
}

func (m *meter) recordOlderGeneration() {
	m.set.GetOrCreateCounter("rudder_generation_back_total").Inc()
}

// recipient is the kind of process to which a document is sent.
type recipient string

const (
	toAgent recipient = "agent"
	toPeer  recipient = "peer"
)

// recordOffer counts an offer sent to another process, and its bytes.
func (m *meter) recordOffer(to recipient, offer *rudderv1.OfferRequest) {
	form := "whole"
	switch {
	case offer.Delta != nil:
		form = "delta"
	case offer.Document == nil:
		form = "question"
	}
	labels := fmt.Sprintf(`{to=%q,form=%q}`, to, form)
	m.set.GetOrCreateCounter("rudder_gateway_offers_total" + labels).Inc()
	m.set.GetOrCreateCounter("rudder_gateway_offer_bytes_total" + labels).Add(proto.Size(offer))
}

// recordLearned counts a newer document by its source.
func (m *meter) recordLearned(from source) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`rudder_gateway_learned_total{from=%q}`, from)).Inc()
}

func (m *meter) recordRefusal(c result.Code) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`rudder_request_codes_total{code="%d"}`, c)).Inc()
}

// ceilSeconds rounds a retry delay up to whole seconds, at least one.
func ceilSeconds(ms int64) int64 {
	return max(1, (time.Duration(ms)*time.Millisecond+time.Second-1).Milliseconds()/1000)
}

// recordPermit counts a permit by its result.
func (m *meter) recordPermit(kind string, resp *connect.Response[rudderv1.PlaceResponse], err error) {
	ending := "refused"
	switch {
	case err != nil:
		ending = "lost"
	case resp.Msg.Accepted:
		ending = "accepted"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`rudder_placer_permits_total{kind=%q,ending=%q}`, kind, ending)).Inc()
}
