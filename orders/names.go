package orders

import (
	"slices"
	"strings"

	"github.com/micarudder/micarudder/engine"
)

// Serves tells whether a request for the name can run on the loaded model:
// its own name, NAME@VERSION, or one of its adapters, with or without its
// version.
func Serves(m engine.Model, name string) bool {
	return !m.Loading && slices.Contains(Names(m), name)
}

// Names returns every name under which requests reach a loaded model.
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

// Copies returns the exact names of what a loaded model can run: itself as
// NAME@VERSION, and each adapter together with that.
func Copies(m engine.Model) []string {
	whole := m.Name + "@" + m.Version
	out := []string{whole}
	for _, id := range m.Adapters {
		out = append(out, id+" on "+whole)
	}
	return out
}

// Copy returns the exact name of what a request for the name runs on, or "".
// Of several the one loaded last is meant.
func Copy(models []engine.Model, name string) string {
	for _, m := range slices.Backward(models) {
		if m.Loading {
			continue
		}
		if name == m.Name || name == m.Name+"@"+m.Version {
			return m.Name + "@" + m.Version
		}
		for _, id := range slices.Backward(m.Adapters) {
			if plain, _, _ := strings.Cut(id, "@"); name == id || name == plain {
				return id + " on " + m.Name + "@" + m.Version
			}
		}
	}
	return ""
}

// Without returns the models as they serve while the order takes something
// away: without the model or adapter that it unloads.
func Without(models []engine.Model, o engine.Order) []engine.Model {
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

// Takes tells whether a run under the name needs what the order takes away.
func Takes(models []engine.Model, o engine.Order, name string) bool {
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
