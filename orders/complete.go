package orders

import (
	"slices"

	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/placement"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

// Complete checks a permitted order against the accepted document and the models
// that the endpoint holds, and sets the order's weights from the document.
func Complete(o engine.Order, doc *rudderv1.Document, endpoint string, held []engine.Model) (engine.Order, *result.Err) {
	e := findEndpoint(doc, endpoint)
	if e == nil || e.Service != "" || e.Leaving {
		return o, result.New(result.NotAllowed, "the endpoint takes no orders")
	}
	switch o.Kind {
	case engine.OrderLoadModel:
		return loadModel(o, doc, e, held)
	case engine.OrderLoadAdapter:
		return loadAdapter(o, doc, held)
	case engine.OrderUnloadModel:
		return o, refuseUnless(find(held, o) != nil, "the endpoint does not hold the model")
	case engine.OrderUnloadAdapter:
		m := find(held, o)
		return o, refuseUnless(m != nil && slices.Contains(m.Adapters, o.Adapter), "the endpoint does not hold the adapter")
	case engine.OrderSetRole:
		return o, refuseUnless(o.Role == e.Role, "the document gives the endpoint another role")
	default:
		return o, result.New(result.NotAllowed, "unknown kind of order")
	}
}

func loadModel(o engine.Order, doc *rudderv1.Document, e *rudderv1.Endpoint, held []engine.Model) (engine.Order, *result.Err) {
	m := findModel(doc, o.Model)
	switch {
	case m == nil || m.Version != o.Version || m.Replicas[e.DataCentre] == 0:
		return o, result.New(result.NotAllowed, "the document does not place this model here")
	case find(held, o) != nil:
		return o, result.New(result.NotAllowed, "the endpoint holds the model")
	case len(held) >= placement.Slots(e):
		return o, result.New(result.NotAllowed, "the endpoint is full")
	}
	o.Weights = m.Weights
	return o, nil
}

func loadAdapter(o engine.Order, doc *rudderv1.Document, held []engine.Model) (engine.Order, *result.Err) {
	m, loaded := findModel(doc, o.Model), find(held, o)
	if m == nil || m.Version != o.Version || loaded == nil || slices.Contains(loaded.Adapters, o.Adapter) {
		return o, result.New(result.NotAllowed, "the endpoint lacks the model or holds the adapter")
	}
	for _, a := range m.Adapters {
		if placement.AdapterID(a.Name, a.Version) == o.Adapter {
			o.Weights = a.Weights
			return o, nil
		}
	}
	return o, result.New(result.NotAllowed, "the document has no such adapter")
}

// refuseUnless returns nil if ok, and otherwise an error with the code
// NotAllowed.
func refuseUnless(ok bool, problem string) *result.Err {
	if ok {
		return nil
	}
	return result.New(result.NotAllowed, problem)
}

// find returns the held model that the order names, loaded or loading, or nil.
func find(held []engine.Model, o engine.Order) *engine.Model {
	for i, m := range held {
		if m.Name == o.Model && m.Version == o.Version {
			return &held[i]
		}
	}
	return nil
}

func findModel(doc *rudderv1.Document, name string) *rudderv1.Model {
	for _, m := range doc.GetModels() {
		if m.Name == name {
			return m
		}
	}
	return nil
}

func findEndpoint(doc *rudderv1.Document, name string) *rudderv1.Endpoint {
	for _, e := range doc.GetEndpoints() {
		if e.Name == name {
			return e
		}
	}
	return nil
}
