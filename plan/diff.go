package plan

import (
	"bytes"
	"cmp"
	"slices"
	"strings"

	"github.com/micarudder/micarudder/declaration"
	"github.com/micarudder/micarudder/rudderv1"
)

// Action says what happens to a declared thing.
type Action string

// The actions of a change.
const (
	Add    Action = "add"
	Remove Action = "remove"
	Alter  Action = "change"
)

// Change is one section of the declarations that differs.
type Change struct {
	Action  Action  `json:"action"`
	Section string  `json:"section"` // as in the declarations, such as "model rudder-llm"
	Fields  []Field `json:"fields,omitempty"`
}

// Field is one key that differs; an empty text means that the key is absent.
type Field struct {
	Key  string `json:"key"`
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
}

// Diff compares two documents section by section in their canonical form.
func Diff(from, to *rudderv1.Document) []Change {
	a, b := sections(from), sections(to)
	var out []Change
	for _, title := range titles(a, b) {
		x, inA := a[title]
		y, inB := b[title]
		switch {
		case !inB:
			out = append(out, Change{Action: Remove, Section: title})
		case !inA:
			out = append(out, Change{Action: Add, Section: title, Fields: fields(nil, y)})
		default:
			if f := fields(x, y); len(f) > 0 {
				out = append(out, Change{Action: Alter, Section: title, Fields: f})
			}
		}
	}
	return out
}

// sections splits the canonical form into keys by section title.
func sections(d *rudderv1.Document) map[string]map[string]string {
	out := make(map[string]map[string]string)
	if d == nil {
		return out
	}
	var cur map[string]string
	for line := range bytes.Lines(declaration.Render(d)) {
		text := strings.TrimSpace(string(line))
		if title, ok := strings.CutPrefix(text, "["); ok {
			cur = make(map[string]string)
			out[strings.TrimSuffix(title, "]")] = cur
		} else if key, value, ok := strings.Cut(text, " = "); ok {
			cur[key] = value
		}
	}
	return out
}

var kinds = []string{"placement", "model", "adapter", "service", "workspace", "host", "endpoint"}

func titles(a, b map[string]map[string]string) []string {
	var out []string
	for t := range a {
		out = append(out, t)
	}
	for t := range b {
		if _, ok := a[t]; !ok {
			out = append(out, t)
		}
	}
	rank := func(t string) int {
		kind, _, _ := strings.Cut(t, " ")
		return slices.Index(kinds, kind)
	}
	slices.SortFunc(out, func(x, y string) int {
		return cmp.Or(cmp.Compare(rank(x), rank(y)), cmp.Compare(x, y))
	})
	return out
}

func fields(from, to map[string]string) []Field {
	var out []Field
	for key, v := range to {
		if from[key] != v {
			out = append(out, Field{Key: key, From: from[key], To: v})
		}
	}
	for key, v := range from {
		if _, ok := to[key]; !ok {
			out = append(out, Field{Key: key, From: v})
		}
	}
	slices.SortFunc(out, func(x, y Field) int { return cmp.Compare(x.Key, y.Key) })
	return out
}
