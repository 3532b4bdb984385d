package plan

import (
	"bytes"
	"cmp"
	"slices"
	"strings"

	"github.com/micarudder/micarudder/declaration"
	"github.com/micarudder/micarudder/rudderv1"
)

// Action is what a change does to a section.
type Action string

// The actions of a change.
const (
	Add    Action = "add"
	Remove Action = "remove"
	Alter  Action = "change"
)

// Change is a section of the declarations that differs between two documents.
type Change struct {
	Action  Action  `json:"action"`
	Section string  `json:"section"` // title in the declarations, such as "model rudder-llm"
	Fields  []Field `json:"fields,omitempty"`
}

// Field is a key that differs; an empty value means that the key is absent.
type Field struct {
	Key  string `json:"key"`
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
}

// Diff compares the rendered declarations of two documents section by section and
// returns the changes in the order of sectionOrder, then by title.
func Diff(from, to *rudderv1.Document) []Change {
	a, b := sections(from), sections(to)
	var out []Change
	for _, title := range sortedTitles(a, b) {
		x, inA := a[title]
		y, inB := b[title]
		switch {
		case !inB:
			out = append(out, Change{Action: Remove, Section: title})
		case !inA:
			out = append(out, Change{Action: Add, Section: title, Fields: diffFields(nil, y)})
		default:
			if f := diffFields(x, y); len(f) > 0 {
				out = append(out, Change{Action: Alter, Section: title, Fields: f})
			}
		}
	}
	return out
}

// sections parses the rendered declarations of d into values by section title and key.
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

// sectionOrder is the order of changes by kind of section.
var sectionOrder = []string{"placement", "model", "adapter", "service", "workspace", "host", "endpoint"}

// sortedTitles returns the section titles of a and b by kind, then by title.
func sortedTitles(a, b map[string]map[string]string) []string {
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
		return slices.Index(sectionOrder, kind)
	}
	slices.SortFunc(out, func(x, y string) int {
		return cmp.Or(cmp.Compare(rank(x), rank(y)), cmp.Compare(x, y))
	})
	return out
}

// diffFields returns the keys that differ between two sections, ordered by key.
func diffFields(from, to map[string]string) []Field {
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
