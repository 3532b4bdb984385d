package ctl

import (
	"fmt"
	"strings"

	"github.com/micarudder/micarudder/rudderv1"
)

// orderStatus is the JSON output for an endpoint's latest order.
type orderStatus struct {
	Phase     string `json:"phase"`
	Kind      string `json:"kind,omitempty"` // empty for an order that the agent found when it started
	Object    string `json:"object,omitempty"`
	WaitsFor  uint32 `json:"waits_for_runs,omitempty"`
	Failures  uint32 `json:"failures,omitempty"` // consecutive
	RetryInMS int64  `json:"retry_in_ms,omitempty"`
	Detail    string `json:"detail,omitempty"`
}

func newOrderStatus(o *rudderv1.OrderStatus) *orderStatus {
	if o == nil {
		return nil
	}
	phase := strings.ToLower(strings.TrimPrefix(o.Phase.String(), "ORDER_PHASE_"))
	return &orderStatus{
		Phase: phase, Kind: o.Kind, Object: orderObject(o), WaitsFor: o.Runs,
		Failures: o.Failures, RetryInMS: o.RetryInMs, Detail: o.Detail,
	}
}

// orderObject returns the role, adapter or model that an order applies to.
func orderObject(o *rudderv1.OrderStatus) string {
	switch {
	case o.Role != "":
		return o.Role
	case o.Adapter != "":
		return o.Adapter + " on " + o.Model + "@" + o.Version
	case o.Model != "":
		return o.Model + "@" + o.Version
	default:
		return ""
	}
}

// text returns the order's description for a table cell.
func (o *orderStatus) text() string {
	if o == nil {
		return "-"
	}
	out := strings.TrimSpace(o.Kind + " " + o.Object)
	if out == "" {
		out = "from before the agent's start"
	}
	out += ": " + o.Phase
	if o.WaitsFor > 0 {
		out += fmt.Sprintf(" for %d runs", o.WaitsFor)
	}
	if o.Failures > 0 {
		out += fmt.Sprintf(", %d failures", o.Failures)
	}
	if o.RetryInMS > 0 {
		out += fmt.Sprintf(", again in %d s", (o.RetryInMS+999)/1000)
	}
	return out
}
