package declaration

import (
	"strings"

	"github.com/micarudder/micarudder/rudderv1"
)

const kindRule = "[model NAME], [adapter MODEL/NAME], [service NAME], [workspace NAME], [host NAME], [endpoint NAME], [placement]"

// Defaults of keys that may be left out.
const (
	DefaultPriority = 4
	DefaultWeight   = 1
	DefaultRole     = "mixed"
	maxPriority     = 9
	maxWeight       = 1000
	maxReplicas     = 10_000
	maxSlots        = 64
	maxInFlight     = 1_000_000
)

type reader struct {
	doc      *rudderv1.Document
	mistakes Mistakes
	seen     map[string]*section // by title
	adapters []*section
}

func newReader() *reader {
	return &reader{doc: new(rudderv1.Document), seen: make(map[string]*section)}
}

func (r *reader) add(file string, line int, sec, key, problem, allowed string) {
	r.mistakes = append(r.mistakes, &Mistake{file, line, sec, key, problem, allowed})
}

func (r *reader) read(f File) {
	for _, b := range r.splitLines(f) {
		values, err := b.values()
		if err != nil {
			r.add(f.Name, b.line, b.header, "", err.Error(), "")
			continue
		}
		kind, name, _ := strings.Cut(b.header, " ")
		s := &section{r: r, file: f.Name, line: b.line, kind: kind, name: name, keys: b.keys, values: values}
		r.section(s)
	}
}

func (r *reader) section(s *section) {
	build, ok := map[string]func(*section){
		"model": r.model, "adapter": r.adapter, "service": r.service, "workspace": r.workspace,
		"host": r.host, "endpoint": r.endpoint, "placement": r.placement,
	}[s.kind]
	if !ok {
		s.add("", "is no known kind of section", kindRule)
		return
	}
	if first := r.seen[s.title()]; first != nil {
		s.add("", "is declared more than once; first at "+first.file+":"+itoa(first.line), "")
		return
	}
	r.seen[s.title()] = s
	if !s.validName() {
		s.add("", quote(s.name)+" is not a name for this kind of section", kindRule+" with "+nameRule)
	}
	build(s)
	s.finish()
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

func (r *reader) model(s *section) {
	r.doc.Models = append(r.doc.Models, &rudderv1.Model{
		Name:        s.name,
		Version:     s.ident("version", true),
		Weights:     s.path("weights"),
		WeightBytes: s.quantity("weight-size", true, sizeUnits),
		MaxTokens:   s.quantity("max-tokens", true, tokenUnits),
		Replicas:    s.replicas("replicas"),
		Floor:       s.count("floor", true, 0, maxReplicas),
	})
}

// adapter is attached to its model once all files are read.
func (r *reader) adapter(s *section) {
	r.adapters = append(r.adapters, s)
	s.ident("version", true)
	s.path("weights")
}

func (r *reader) service(s *section) {
	r.doc.Services = append(r.doc.Services, &rudderv1.Service{
		Name: s.name,
		RepeatableMethods: s.choices("repeatable-methods",
			"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"),
	})
}

func (r *reader) workspace(s *section) {
	w := &rudderv1.Workspace{
		Name:              s.name,
		KeyDigests:        s.digests("key-digests"),
		Priority:          DefaultPriority,
		Weight:            DefaultWeight,
		RequestsPerSecond: s.rate("request-rate", callUnits),
		TokensPerSecond:   s.rate("token-rate", tokenUnits),
		MaxInFlight:       s.count("max-in-flight", false, 1, maxInFlight),
		Models:            s.idents("models", false),
		Services:          s.idents("services", false),
	}
	if n := s.count("priority", false, 0, maxPriority); s.has("priority") {
		w.Priority = n
	}
	if n := s.count("weight", false, 1, maxWeight); s.has("weight") {
		w.Weight = n
	}
	r.doc.Workspaces = append(r.doc.Workspaces, w)
}

func (s *section) has(key string) bool { return s.values[key] != "" }

func (r *reader) host(s *section) {
	r.doc.Hosts = append(r.doc.Hosts, &rudderv1.Host{
		Name:       s.name,
		DataCentre: s.ident("data-centre", true),
		Leaving:    s.flag("leaving"),
	})
}

func (r *reader) endpoint(s *section) {
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
	r.engine(s, e)
	r.doc.Endpoints = append(r.doc.Endpoints, e)
}

// engine reads the keys that only a model engine has.
func (r *reader) engine(s *section, e *rudderv1.Endpoint) {
	memory := s.quantity("memory", e.Service == "", tokenUnits)
	role := s.choice("role", DefaultRole, "mixed", "prefill", "decode")
	slots := s.count("max-models", false, 1, maxSlots)
	if e.Service == "" {
		e.MemoryTokens, e.Role, e.MaxModels = memory, role, max(slots, 1)
		return
	}
	for _, key := range []string{"memory", "role", "max-models"} {
		if s.has(key) {
			s.add(key, "is only for model engines, and this endpoint has a service", "")
		}
	}
}

func (r *reader) placement(s *section) {
	r.doc.Placement = &rudderv1.Placement{
		ConcurrentLoads: s.count("concurrent-loads", false, 1, maxReplicas),
		MovingPercent:   s.percent("moving"),
	}
}
