package declaration

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/micarudder/micarudder/rudderv1"
)

// Render returns the declarations of a document in canonical form: sections are
// ordered by kind and name, and keys have a fixed order. Parsing the output gives
// the same document without its generation, plan id and history.
func Render(d *rudderv1.Document) []byte {
	d = proto.CloneOf(d)
	sortDocument(d)
	w := new(writer)
	w.placement(d.Placement)
	for _, m := range d.Models {
		w.model(m)
	}
	for _, s := range d.Services {
		w.section("service", s.Name)
		w.list("repeatable-methods", s.RepeatableMethods)
	}
	for _, x := range d.Workspaces {
		w.workspace(x)
	}
	for _, h := range d.Hosts {
		w.section("host", h.Name)
		w.text("data-centre", h.DataCentre)
		w.flag("leaving", h.Leaving)
	}
	for _, e := range d.Endpoints {
		w.endpoint(e)
	}
	return w.Bytes()
}

type writer struct{ bytes.Buffer }

func (w *writer) section(kind, name string) {
	if w.Len() > 0 {
		w.WriteByte('\n')
	}
	w.WriteString("[" + strings.TrimSpace(kind+" "+name) + "]\n")
}

func (w *writer) text(key, value string) {
	if value != "" {
		fmt.Fprintf(w, "%s = %s\n", key, value)
	}
}

func (w *writer) list(key string, values []string) { w.text(key, strings.Join(values, ", ")) }

func (w *writer) flag(key string, v bool) {
	if v {
		w.text(key, "true")
	}
}

func (w *writer) number(key string, n uint32) { w.text(key, strconv.FormatUint(uint64(n), 10)) }

func (w *writer) positive(key string, n uint32) {
	if n > 0 {
		w.number(key, n)
	}
}

func (w *writer) quantity(key string, n uint64, units []unit) {
	if n > 0 {
		w.text(key, formatQuantity(n, units))
	}
}

func (w *writer) rate(key string, n float64, suffix string) {
	if n > 0 {
		w.text(key, formatRate(n, suffix))
	}
}

func (w *writer) placement(p *rudderv1.Placement) {
	if p == nil {
		return
	}
	w.section("placement", "")
	w.positive("concurrent-loads", p.ConcurrentLoads)
	if p.MovingPercent > 0 {
		w.text("moving", strconv.Itoa(int(p.MovingPercent))+"%")
	}
}

func (w *writer) model(m *rudderv1.Model) {
	w.section("model", m.Name)
	w.text("version", m.Version)
	w.text("weights", m.Weights)
	w.quantity("weight-size", m.WeightBytes, sizeUnits)
	w.quantity("max-tokens", m.MaxTokens, tokenUnits)
	w.list("replicas", replicaList(m.Replicas))
	w.number("floor", m.Floor)
	for _, a := range m.Adapters {
		w.section("adapter", m.Name+"/"+a.Name)
		w.text("version", a.Version)
		w.text("weights", a.Weights)
	}
}

func replicaList(replicas map[string]uint32) []string {
	var out []string
	for _, dc := range slices.Sorted(maps.Keys(replicas)) {
		out = append(out, dc+":"+strconv.FormatUint(uint64(replicas[dc]), 10))
	}
	return out
}

func (w *writer) workspace(x *rudderv1.Workspace) {
	w.section("workspace", x.Name)
	w.list("key-digests", x.KeyDigests)
	w.number("priority", x.Priority)
	w.number("weight", x.Weight)
	w.rate("request-rate", x.RequestsPerSecond, "")
	w.rate("token-rate", x.TokensPerSecond, "tokens")
	w.positive("max-in-flight", x.MaxInFlight)
	w.list("models", x.Models)
	w.list("services", x.Services)
}

func (w *writer) endpoint(e *rudderv1.Endpoint) {
	w.section("endpoint", e.Name)
	w.text("host", e.Host)
	w.text("data-centre", e.DataCentre)
	w.text("agent", e.AgentAddress)
	w.text("service", e.Service)
	w.quantity("memory", e.MemoryTokens, tokenUnits)
	w.text("role", e.Role)
	w.positive("max-models", e.MaxModels)
	w.list("checks", checks(e))
	w.flag("leaving", e.Leaving)
}

func checks(e *rudderv1.Endpoint) []string {
	var out []string
	if e.ChecksFencing {
		out = append(out, "fencing")
	}
	if e.ChecksCallers {
		out = append(out, "callers")
	}
	return out
}
