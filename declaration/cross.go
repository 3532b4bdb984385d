package declaration

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/micarudder/micarudder/rudderv1"
)

func itoa(n int) string { return strconv.Itoa(n) }

// cross checks the rules that reach over more than one section.
func (r *reader) cross() {
	r.attachAdapters()
	r.checkModels()
	r.checkWorkspaces()
	r.checkEndpoints()
}

func (r *reader) attachAdapters() {
	for _, s := range r.adapters {
		model, name, _ := strings.Cut(s.name, "/")
		i := slices.IndexFunc(r.doc.Models, func(m *rudderv1.Model) bool { return m.Name == model })
		if i < 0 {
			s.add("", "belongs to the undeclared model "+quote(model), r.declared("model"))
			continue
		}
		if other := r.named(name); other != "" {
			s.add("", "has the name of "+other+", and requests name adapters without their model", "")
			continue
		}
		m := r.doc.Models[i]
		m.Adapters = append(m.Adapters, &rudderv1.Adapter{Name: name, Version: s.values["version"], Weights: s.values["weights"]})
	}
}

// named returns what a request under the name would reach already, or "".
func (r *reader) named(name string) string {
	for _, m := range r.doc.Models {
		if m.Name == name {
			return "[model " + name + "]"
		}
		for _, a := range m.Adapters {
			if a.Name == name {
				return "[adapter " + m.Name + "/" + name + "]"
			}
		}
	}
	return ""
}

// declared lists the names of one kind for the "allowed" part of a mistake.
func (r *reader) declared(kind string) string {
	const most = 10
	var names []string
	for _, s := range r.seen {
		if s.kind == kind {
			names = append(names, s.name)
		}
	}
	slices.Sort(names)
	if len(names) > most {
		return strings.Join(names[:most], ", ") + " and " + itoa(len(names)-most) + " more"
	}
	return strings.Join(names, ", ")
}

func (r *reader) checkModels() {
	memory := make(map[string][]uint64) // of the engines by data centre, largest first
	for _, e := range r.doc.Endpoints {
		if e.Service == "" && !e.Leaving {
			memory[e.DataCentre] = append(memory[e.DataCentre], e.MemoryTokens)
		}
	}
	for _, list := range memory {
		slices.SortFunc(list, func(a, b uint64) int { return cmp.Compare(b, a) })
	}
	for _, m := range r.doc.Models {
		s := r.find("model", m.Name)
		for _, dc := range slices.Sorted(maps.Keys(m.Replicas)) {
			n := m.Replicas[dc]
			if m.Floor > n {
				s.add("floor", itoa(int(m.Floor))+" is above the "+itoa(int(n))+" replicas in "+dc, "at most the replicas of each data centre")
			}
			if int(n) > len(memory[dc]) {
				s.add("replicas", itoa(int(n))+" replicas in "+dc+" are more than its engines", "at most "+itoa(len(memory[dc])))
			}
		}
		if room := longest(m, memory); room > 0 && m.MaxTokens > room {
			s.add("max-tokens", formatQuantity(m.MaxTokens, tokenUnits)+" do not fit its replicas together",
				"at most "+formatQuantity(room, tokenUnits))
		}
	}
}

// longest returns the most tokens that the model's replicas can hold together.
func longest(m *rudderv1.Model, memory map[string][]uint64) uint64 {
	var sum uint64
	for dc, n := range m.Replicas {
		for _, tokens := range memory[dc][:min(int(n), len(memory[dc]))] {
			sum += tokens
		}
	}
	return sum
}

func (r *reader) checkWorkspaces() {
	owner := make(map[string]string)
	for _, w := range r.doc.Workspaces {
		s := r.find("workspace", w.Name)
		for _, d := range w.KeyDigests {
			if first := owner[d]; first != "" {
				s.add("key-digests", "repeats a digest of workspace "+quote(first), "each digest in one workspace")
				continue
			}
			owner[d] = w.Name
		}
		r.refer(s, "models", "model", w.Models)
		r.refer(s, "services", "service", w.Services)
		if len(w.Models)+len(w.Services) == 0 && !s.given("models") && !s.given("services") {
			s.add("models", "is missing, and so is services", "at least one model or service")
		}
	}
}

func (s *section) given(key string) bool { return s.keys[key] != 0 }

// refer reports the names in a key that are not declared.
func (r *reader) refer(s *section, key, kind string, names []string) {
	for _, n := range names {
		if n != "" && r.find(kind, n) == nil {
			s.add(key, "names the undeclared "+kind+" "+quote(n), r.declared(kind))
		}
	}
}

func (r *reader) checkEndpoints() {
	hosts := make(map[string]*rudderv1.Host, len(r.doc.Hosts))
	for _, h := range r.doc.Hosts {
		hosts[h.Name] = h
	}
	agents := make(map[string]string)
	for _, e := range r.doc.Endpoints {
		s := r.find("endpoint", e.Name)
		r.refer(s, "host", "host", []string{e.Host})
		r.refer(s, "service", "service", []string{e.Service})
		h := hosts[e.Host]
		if h != nil && h.DataCentre != "" && e.DataCentre != "" && h.DataCentre != e.DataCentre {
			s.add("data-centre", quote(e.DataCentre)+" is not where host "+quote(h.Name)+" stands", h.DataCentre)
		}
		if first := agents[e.AgentAddress]; first != "" && e.AgentAddress != "" {
			s.add("agent", "repeats the address of endpoint "+quote(first), "one address for each agent")
			continue
		}
		agents[e.AgentAddress] = e.Name
	}
}

// find returns the section that declares something, nil when there is none.
func (r *reader) find(kind, name string) *section {
	return r.seen[title(kind, name)]
}
