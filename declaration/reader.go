package declaration

import (
	"strings"

	"github.com/micarudder/micarudder/rudderv1"
)

const sectionSyntax = "[model NAME], [adapter MODEL/NAME], [service NAME], [workspace NAME], [host NAME], [endpoint NAME], [placement]"

// The defaults of optional keys, and the limits of numbers.
const (
	DefaultPriority = 4
	DefaultWeight   = 1
	DefaultRole     = "mixed"
	maxPriority     = 9
	maxWeight       = 1000
	maxReplicas     = 10_000
	maxModels       = 64
	maxInFlight     = 1_000_000
)

// parser collects the declarations of all files and the mistakes in them.
type parser struct {
	doc      *rudderv1.Document
	mistakes Mistakes
	sections map[string]*section // by title
	adapters []*section
}

func newParser() *parser {
	return &parser{doc: new(rudderv1.Document), sections: make(map[string]*section)}
}

func (p *parser) report(file string, line int, sec, key, problem, allowed string) {
	p.mistakes = append(p.mistakes, &Mistake{file, line, sec, key, problem, allowed})
}

func (p *parser) parseFile(f File) {
	for _, raw := range p.splitSections(f) {
		values, err := raw.values()
		if err != nil {
			p.report(f.Name, raw.line, raw.header, "", err.Error(), "")
			continue
		}
		kind, name, _ := strings.Cut(raw.header, " ")
		s := &section{p: p, file: f.Name, line: raw.line, kind: kind, name: name, keyLines: raw.keyLines, values: values}
		p.parseSection(s)
	}
}

func (p *parser) parseSection(s *section) {
	build, ok := map[string]func(*section){
		"model": p.model, "adapter": p.adapter, "service": p.service, "workspace": p.workspace,
		"host": p.host, "endpoint": p.endpoint, "placement": p.placement,
	}[s.kind]
	if !ok {
		s.report("", "is not a known kind of section", sectionSyntax)
		return
	}
	if first := p.sections[s.title()]; first != nil {
		s.report("", "is declared more than once; first at "+first.file+":"+itoa(first.line), "")
		return
	}
	p.sections[s.title()] = s
	if !s.validName() {
		s.report("", quote(s.name)+" is not a name for this kind of section", sectionSyntax+" with "+nameSyntax)
	}
	build(s)
	s.reportUnknownKeys()
}

func (s *section) validName() bool {
	switch s.kind {
	case "placement":
		return s.name == ""
	case "adapter":
		model, name, _ := strings.Cut(s.name, "/")
		return isName(model) && isName(name)
	default:
		return isName(s.name)
	}
}

func (p *parser) model(s *section) {
	p.doc.Models = append(p.doc.Models, &rudderv1.Model{
		Name:        s.name,
		Version:     s.ident("version", true),
		Weights:     s.weightName("weights"),
		WeightBytes: s.quantity("weight-size", true, sizeUnits),
		MaxTokens:   s.quantity("max-tokens", true, tokenUnits),
		Replicas:    s.replicas("replicas"),
		Floor:       s.count("floor", true, 0, maxReplicas),
	})
}

// adapter checks the section of an adapter. attachAdapters adds the adapter to its
// model once all files are parsed.
func (p *parser) adapter(s *section) {
	p.adapters = append(p.adapters, s)
	s.ident("version", true)
	s.weightName("weights")
}

func (p *parser) service(s *section) {
	p.doc.Services = append(p.doc.Services, &rudderv1.Service{
		Name: s.name,
		RepeatableMethods: s.choices("repeatable-methods",
			"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"),
	})
}

func (p *parser) workspace(s *section) {
	w := &rudderv1.Workspace{
		Name:              s.name,
		KeyDigests:        s.digests("key-digests"),
		Priority:          DefaultPriority,
		Weight:            DefaultWeight,
		RequestsPerSecond: s.rate("request-rate", requestUnits),
		TokensPerSecond:   s.rate("token-rate", tokenUnits),
		MaxInFlight:       s.count("max-in-flight", false, 1, maxInFlight),
		Models:            s.idents("models", false),
		Services:          s.idents("services", false),
	}
	if n := s.count("priority", false, 0, maxPriority); s.hasValue("priority") {
		w.Priority = n
	}
	if n := s.count("weight", false, 1, maxWeight); s.hasValue("weight") {
		w.Weight = n
	}
	p.doc.Workspaces = append(p.doc.Workspaces, w)
}

// hasValue reports whether the key has a value that is not empty.
func (s *section) hasValue(key string) bool { return s.values[key] != "" }

func (p *parser) host(s *section) {
	p.doc.Hosts = append(p.doc.Hosts, &rudderv1.Host{
		Name:       s.name,
		DataCentre: s.ident("data-centre", true),
		Leaving:    s.flag("leaving"),
	})
}

func (p *parser) endpoint(s *section) {
	e := &rudderv1.Endpoint{
		Name:         s.name,
		Host:         s.ident("host", true),
		DataCentre:   s.ident("data-centre", true),
		AgentAddress: s.address("agent"),
		Service:      s.ident("service", false),
		Leaving:      s.flag("leaving"),
	}
	for _, c := range s.choices("checks", "fencing", "callers") {
		e.ChecksFencing = e.ChecksFencing || c == "fencing"
		e.ChecksCallers = e.ChecksCallers || c == "callers"
	}
	p.engine(s, e)
	p.doc.Endpoints = append(p.doc.Endpoints, e)
}

// engine reads the keys that are allowed only for model engines.
func (p *parser) engine(s *section, e *rudderv1.Endpoint) {
	memory := s.quantity("memory", e.Service == "", tokenUnits)
	role := s.choice("role", DefaultRole, "mixed", "prefill", "decode")
	models := s.count("max-models", false, 1, maxModels)
	if e.Service == "" {
		e.MemoryTokens, e.Role, e.MaxModels = memory, role, max(models, 1)
		return
	}
	for _, key := range []string{"memory", "role", "max-models"} {
		if s.hasValue(key) {
			s.report(key, "is only for model engines, and this endpoint has a service", "")
		}
	}
}

func (p *parser) placement(s *section) {
	p.doc.Placement = &rudderv1.Placement{
		ConcurrentLoads: s.count("concurrent-loads", false, 1, maxReplicas),
		MovingPercent:   s.percent("moving"),
	}
}
