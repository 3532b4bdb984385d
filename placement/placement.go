// Package placement decides which endpoint holds which model and in what order
// endpoints get there. It is pure: the accepted document, the live endpoints
// and what they hold are arguments, and the same arguments give the same
// answer in every process.
//
// Assign says what each endpoint should hold. Next compares that with what
// the endpoints of one data centre hold and returns the orders that may be
// given now, so that no model falls below its floor.
package placement

import (
	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/rudderv1"
)

// The bounds used where a document gives none.
const (
	DefaultConcurrentLoads = 4
	DefaultMovingPercent   = 10
)

// Assignment is one model that an endpoint should hold.
type Assignment struct {
	Model    string
	Version  string
	Weights  string
	Adapters []Adapter // ordered by ID
}

// Adapter is one adapter of an assigned model.
type Adapter struct {
	ID      string // see AdapterID
	Weights string
}

// AdapterID names an adapter with its version, as endpoints report it.
func AdapterID(name, version string) string { return name + "@" + version }

// Assigned holds the assignments by endpoint; each list is ordered by model.
type Assigned map[string][]Assignment

// Held is what one endpoint holds according to its agent.
type Held struct {
	Models  []engine.Model
	Role    string
	Serving bool // connected and not leaving: callers reach its models
	Busy    bool // an order is in progress
	// Fetching tells that the order in progress reads an adapter's weights; a
	// model that loads says so itself.
	Fetching bool
}

// View holds what is known of the endpoints, by name. An endpoint that is not
// in it is unreachable: it counts for nothing and gets no order.
type View map[string]Held

// Live returns the endpoints of the view that serve.
func (v View) Live() map[string]bool {
	live := make(map[string]bool, len(v))
	for name, h := range v {
		live[name] = h.Serving
	}
	return live
}

// Step is one order that may be given now. ID and From of the order are left
// to the agent that gives it; Fence is the lowest number of the generation.
// An agent lets the runs of a model end before it gives an unload order.
type Step struct {
	DataCentre string
	Endpoint   string
	Order      engine.Order
}

// fenceBits is the room for orders within one generation.
const fenceBits = 20

// Fence returns the fencing number for the next order under a generation,
// above every number that the endpoint has seen. Both arguments only grow, so
// a holder that was paused comes back with a number that is too low.
func Fence(generation, seen uint64) uint64 {
	return max(generation<<fenceBits, seen+1)
}

// BelowFloor is the name under which a plan may be forced to take a model in
// one data centre below its floor.
func BelowFloor(model, dataCentre string) string {
	return "below-floor:" + model + "@" + dataCentre
}

// Floor returns how many endpoints must serve the model in the data centre
// while endpoints change. A forced document allows one fewer.
func Floor(doc *rudderv1.Document, model, dataCentre string) int {
	for _, m := range doc.GetModels() {
		if m.Name != model {
			continue
		}
		floor := int(min(m.Floor, m.Replicas[dataCentre]))
		if floor > 0 && forced(doc, BelowFloor(model, dataCentre)) {
			floor--
		}
		return floor
	}
	return 0
}

func forced(doc *rudderv1.Document, name string) bool {
	for _, f := range doc.GetForced() {
		if f == name {
			return true
		}
	}
	return false
}

// Slots returns how many models the endpoint holds at once.
func Slots(e *rudderv1.Endpoint) int { return int(max(e.GetMaxModels(), 1)) }

// isEngine tells whether the document wants models on the endpoint.
func isEngine(e *rudderv1.Endpoint, leaving map[string]bool) bool {
	return e.Service == "" && !e.Leaving && !leaving[e.Host]
}

func leavingHosts(doc *rudderv1.Document) map[string]bool {
	out := make(map[string]bool)
	for _, h := range doc.GetHosts() {
		if h.Leaving {
			out[h.Name] = true
		}
	}
	return out
}
