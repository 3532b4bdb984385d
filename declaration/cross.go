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

// checkAcrossSections checks the rules that involve more than one section.
func (p *parser) checkAcrossSections() {
	p.attachAdapters()
	p.checkModels()
	p.checkWorkspaces()
	p.checkEndpoints()
}

func (p *parser) attachAdapters() {
	for _, s := range p.adapters {
		model, name, _ := strings.Cut(s.name, "/")
		i := slices.IndexFunc(p.doc.Models, func(m *rudderv1.Model) bool { return m.Name == model })
		if i < 0 {
			s.report("", "belongs to the undeclared model "+quote(model), p.declaredNames("model"))
			continue
		}
		if other := p.requestNameOwner(name); other != "" {
			s.report("", "has the same name as "+other+", and requests name adapters without their model", "")
			continue
		}
		m := p.doc.Models[i]
		m.Adapters = append(m.Adapters, &rudderv1.Adapter{Name: name, Version: s.values["version"], Weights: s.values["weights"]})
	}
}

// requestNameOwner returns the section of the model or adapter that requests with this
// model name already select, or "" if the name is free.
func (p *parser) requestNameOwner(name string) string {
	for _, m := range p.doc.Models {
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

// declaredNames lists the declared names of one kind, for Mistake.Allowed.
func (p *parser) declaredNames(kind string) string {
	const maxListed = 10
	var names []string
	for _, s := range p.sections {
		if s.kind == kind {
			names = append(names, s.name)
		}
	}
	slices.Sort(names)
	if len(names) > maxListed {
		return strings.Join(names[:maxListed], ", ") + " and " + itoa(len(names)-maxListed) + " more"
	}
	return strings.Join(names, ", ")
}

func (p *parser) checkModels() {
	memoryByDataCentre := make(map[string][]uint64) // memory of each engine, largest first
	for _, e := range p.doc.Endpoints {
		if e.Service == "" && !e.Leaving {
			memoryByDataCentre[e.DataCentre] = append(memoryByDataCentre[e.DataCentre], e.MemoryTokens)
		}
	}
	for _, engines := range memoryByDataCentre {
		slices.SortFunc(engines, func(a, b uint64) int { return cmp.Compare(b, a) })
	}
	for _, m := range p.doc.Models {
		s := p.findSection("model", m.Name)
		for _, dc := range slices.Sorted(maps.Keys(m.Replicas)) {
			n := m.Replicas[dc]
			if m.Floor > n {
				s.report("floor", itoa(int(m.Floor))+" is above the "+itoa(int(n))+" replicas in "+dc, "at most the replicas of each data centre")
			}
			if int(n) > len(memoryByDataCentre[dc]) {
				s.report("replicas", itoa(int(n))+" replicas in "+dc+" exceed the number of engines there", "at most "+itoa(len(memoryByDataCentre[dc])))
			}
		}
		if capacity := replicaCapacity(m, memoryByDataCentre); capacity > 0 && m.MaxTokens > capacity {
			s.report("max-tokens", formatQuantity(m.MaxTokens, tokenUnits)+" exceed the total memory of its replicas",
				"at most "+formatQuantity(capacity, tokenUnits))
		}
	}
}

// replicaCapacity returns the maximum number of tokens that the model's replicas can
// hold together, which is reached on the engines with the most memory.
func replicaCapacity(m *rudderv1.Model, memory map[string][]uint64) uint64 {
	var sum uint64
	for dc, n := range m.Replicas {
		for _, tokens := range memory[dc][:min(int(n), len(memory[dc]))] {
			sum += tokens
		}
	}
	return sum
}

func (p *parser) checkWorkspaces() {
	workspaceByDigest := make(map[string]string)
	for _, w := range p.doc.Workspaces {
		s := p.findSection("workspace", w.Name)
		for _, d := range w.KeyDigests {
			if first := workspaceByDigest[d]; first != "" {
				s.report("key-digests", "repeats a digest of workspace "+quote(first), "each digest in one workspace")
				continue
			}
			workspaceByDigest[d] = w.Name
		}
		p.checkDeclared(s, "models", "model", w.Models)
		p.checkDeclared(s, "services", "service", w.Services)
		if len(w.Models)+len(w.Services) == 0 && !s.isPresent("models") && !s.isPresent("services") {
			s.report("models", "is missing, and so is services", "at least one model or service")
		}
	}
}

// isPresent reports whether the section has the key, even with an invalid value.
func (s *section) isPresent(key string) bool { return s.keyLines[key] != 0 }

// checkDeclared reports the names in the value of a key that are not declared.
func (p *parser) checkDeclared(s *section, key, kind string, names []string) {
	for _, n := range names {
		if n != "" && p.findSection(kind, n) == nil {
			s.report(key, "names the undeclared "+kind+" "+quote(n), p.declaredNames(kind))
		}
	}
}

func (p *parser) checkEndpoints() {
	hosts := make(map[string]*rudderv1.Host, len(p.doc.Hosts))
	for _, h := range p.doc.Hosts {
		hosts[h.Name] = h
	}
	endpointByAddress := make(map[string]string)
	for _, e := range p.doc.Endpoints {
		s := p.findSection("endpoint", e.Name)
		p.checkDeclared(s, "host", "host", []string{e.Host})
		p.checkDeclared(s, "service", "service", []string{e.Service})
		h := hosts[e.Host]
		if h != nil && h.DataCentre != "" && e.DataCentre != "" && h.DataCentre != e.DataCentre {
			s.report("data-centre", quote(e.DataCentre)+" is not the data centre that host "+quote(h.Name)+" is in", h.DataCentre)
		}
		if first := endpointByAddress[e.AgentAddress]; first != "" && e.AgentAddress != "" {
			s.report("agent", "repeats the address of endpoint "+quote(first), "one address for each agent")
			continue
		}
		endpointByAddress[e.AgentAddress] = e.Name
	}
}

// findSection returns the section with this kind and name, or nil if there is none.
func (p *parser) findSection(kind, name string) *section {
	return p.sections[title(kind, name)]
}
