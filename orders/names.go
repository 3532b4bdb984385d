package orders

import (
	"slices"
	"strings"

	"github.com/micarudder/micarudder/engine"
)

// Serves reports whether a request for the name can run on the model: the name
// is the model's own, NAME@VERSION, or that of one of its adapters, with or
// without version. A model that is still loading serves no name.
func Serves(m engine.Model, name string) bool {
	return !m.Loading && slices.Contains(Names(m), name)
}

// Names returns every name by which requests can address a loaded model.
func Names(m engine.Model) []string {
	out := []string{m.Name, m.Name + "@" + m.Version}
	for _, id := range m.Adapters {
		out = append(out, id)
		if name, _, ok := strings.Cut(id, "@"); ok {
			out = append(out, name)
		}
	}
	return out
}

// VariantNames returns the exact names of the variants that a loaded model serves: the
// model itself as NAME@VERSION, and each adapter as ADAPTER@VERSION on
// NAME@VERSION.
func VariantNames(m engine.Model) []string {
	exact := m.Name + "@" + m.Version
	out := []string{exact}
	for _, id := range m.Adapters {
		out = append(out, id+" on "+exact)
	}
	return out
}

// VariantName returns the exact name of the variant, as returned by VariantNames, on which a
// request for the name runs, or "" if there is none. If several match, it is
// the one loaded last.
func VariantName(models []engine.Model, name string) string {
	for _, m := range slices.Backward(models) {
		if m.Loading {
			continue
		}
		if name == m.Name || name == m.Name+"@"+m.Version {
			return m.Name + "@" + m.Version
		}
		for _, id := range slices.Backward(m.Adapters) {
			if unversioned, _, _ := strings.Cut(id, "@"); name == id || name == unversioned {
				return id + " on " + m.Name + "@" + m.Version
			}
		}
	}
	return ""
}

// AvailableDuring returns the models that remain available while the order is executed:
// without the model or adapter that it unloads.
func AvailableDuring(models []engine.Model, o engine.Order) []engine.Model {
	out := make([]engine.Model, 0, len(models))
	for _, m := range models {
		same := m.Name == o.Model && m.Version == o.Version
		if same && o.Kind == engine.OrderUnloadModel {
			continue
		}
		if same && o.Kind == engine.OrderUnloadAdapter {
			m.Adapters = slices.DeleteFunc(slices.Clone(m.Adapters), func(a string) bool { return a == o.Adapter })
		}
		out = append(out, m)
	}
	return out
}

// Unloads reports whether a run under the name needs the model or adapter that the
// order unloads.
func Unloads(models []engine.Model, o engine.Order, name string) bool {
	if o.Kind != engine.OrderUnloadModel && o.Kind != engine.OrderUnloadAdapter {
		return false
	}
	for _, m := range models {
		if m.Name != o.Model || m.Version != o.Version || !slices.Contains(Names(m), name) {
			continue
		}
		return o.Kind == engine.OrderUnloadModel || name == o.Adapter || name == strings.Split(o.Adapter, "@")[0]
	}
	return false
}
