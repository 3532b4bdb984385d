// Package placement decides which endpoint holds which models and in which
// order the endpoints get there. It has no side effects: the accepted document,
// the live endpoints and the models that they hold are arguments, and the same
// arguments give the same result in every process.
//
// Assign computes the models that each endpoint should hold. Next compares
// these with the models that the endpoints of one data centre hold and returns
// the orders that may be given now, so that no model falls below its floor.
package placement

import (
	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/rudderv1"
)

// Defaults for the bounds that a document does not set.
const (
	DefaultConcurrentLoads = 4
	DefaultMovingPercent   = 10
)

// Assignment is one model that an endpoint should hold.
type Assignment struct {
	Model    string
	Version  string
	Weights  string
	Adapters []Adapter // sorted by ID
}

// Adapter is one adapter of an assigned model.
type Adapter struct {
	ID      string // see AdapterID
	Weights string
}

// AdapterID returns the identifier of an adapter version, as endpoints report
// it.
func AdapterID(name, version string) string { return name + "@" + version }

// Assignments maps endpoint names to their assignments, each list sorted by model.
type Assignments map[string][]Assignment

// EndpointState is the state of one endpoint as reported by its agent.
type EndpointState struct {
	Models  []engine.Model
	Role    string
	Serving bool // connected and not draining, so that its models can be used
	Busy    bool // an order is in progress
	// Fetching is set while the order in progress reads the weights of an
	// adapter. For the weights of a model, see engine.Model.Loading.
	Fetching bool
}

// View maps endpoint names to the state of the endpoints. An endpoint that is
// not in the view is unreachable: it does not count as serving and gets no
// order.
type View map[string]EndpointState

// Live returns, for each endpoint of the view, whether it serves.
func (v View) Live() map[string]bool {
	live := make(map[string]bool, len(v))
	for name, h := range v {
		live[name] = h.Serving
	}
	return live
}

// PlannedOrder is one order that may be given now. The agent that gives the order sets
// its ID and From; Fence is the lowest fencing number of the generation. An
// agent waits for the runs of a model to end before it gives an unload order.
type PlannedOrder struct {
	DataCentre string
	Endpoint   string
	Order      engine.Order
}

// fenceBits is the number of low-order bits of a fencing number that count the
// orders within one generation.
const fenceBits = 20

// Fence returns the fencing number for the next order of a generation, which is
// higher than seen, the highest number that the endpoint has seen. Both
// arguments only increase, so the number of a sender that was paused is too low
// when it resumes.
func Fence(generation, seen uint64) uint64 {
	return max(generation<<fenceBits, seen+1)
}

// BelowFloor returns the name by which an operator forces a plan that takes a
// model in one data centre below its floor.
func BelowFloor(model, dataCentre string) string {
	return "below-floor:" + model + "@" + dataCentre
}

// Floor returns the number of endpoints in the data centre that must keep
// serving the model while endpoints change. If the document forces BelowFloor
// for the model, the floor is one lower.
func Floor(doc *rudderv1.Document, model, dataCentre string) int {
	for _, m := range doc.GetModels() {
		if m.Name != model {
			continue
		}
		floor := int(min(m.Floor, m.Replicas[dataCentre]))
		if floor > 0 && isForced(doc, BelowFloor(model, dataCentre)) {
			floor--
		}
		return floor
	}
	return 0
}

func isForced(doc *rudderv1.Document, name string) bool {
	for _, f := range doc.GetForced() {
		if f == name {
			return true
		}
	}
	return false
}

// Slots returns the number of models that the endpoint can hold at once.
func Slots(e *rudderv1.Endpoint) int { return int(max(e.GetMaxModels(), 1)) }

// isPlaceable reports whether models may be assigned to the endpoint: it is a
// model engine, and neither it nor its host is draining.
func isPlaceable(e *rudderv1.Endpoint, draining map[string]bool) bool {
	return e.Service == "" && !e.Leaving && !draining[e.Host]
}

func drainingHosts(doc *rudderv1.Document) map[string]bool {
	out := make(map[string]bool)
	for _, h := range doc.GetHosts() {
		if h.Leaving {
			out[h.Name] = true
		}
	}
	return out
}
