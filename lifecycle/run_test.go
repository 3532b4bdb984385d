package lifecycle

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/micarudder/micarudder/result"
)

var events = []EventKind{EvDispatch, EvRefused, EvResponse, EvEnd, EvLost, EvExpire, EvVoid, EvCancel}

// TestRunInvariants checks that, in any sequence of events, at most one order is
// sent to the endpoint, a final state does not change, and the outcome is
// consistent with the events.
func TestRunInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Run
		var final Run
		orders, responded, refused := 0, false, false
		for _, k := range rapid.SliceOfN(rapid.SampledFrom(events), 1, 12).Draw(t, "events") {
			before := r.State
			action := r.Apply(Event{Kind: k, Code: result.EndpointRefused})
			if action == ActOrder {
				orders++
			}
			if action == ActIgnore && r.State != before {
				t.Fatalf("%v was ignored and changed the state", k)
			}
			if action != ActIgnore {
				responded = responded || k == EvResponse || k == EvEnd
				refused = refused || k == EvRefused
			}
			if before.Final() && r != final {
				t.Fatalf("%v changed the final state %v", k, &final)
			}
			if r.State.Final() {
				final = r
			}
		}
		checkRun(t, r, orders, responded, refused)
	})
}

func checkRun(t *rapid.T, r Run, orders int, responded, refused bool) {
	if orders > 1 {
		t.Fatalf("%d orders were sent", orders)
	}
	if !r.State.Final() {
		return
	}
	switch r.Outcome {
	case result.NotRun:
		if responded || orders > 0 && !refused {
			t.Fatalf("not run after an order: %v", &r)
		}
	case result.Ran:
		if !responded {
			t.Fatalf("ran without a response: %v", &r)
		}
	case result.MayHaveRun:
		if orders == 0 {
			t.Fatalf("may have run without an order: %v", &r)
		}
	default:
		t.Fatalf("no outcome: %v", &r)
	}
}
