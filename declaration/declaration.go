// Package declaration parses the operators' declarations, which are INI files
// under version control, into one rudder.v1.Document, and writes a Document as
// declarations in canonical form. It reports every mistake with its file, line,
// section and key. It does no I/O; callers pass in the contents of the files.
package declaration

import (
	"fmt"
	"sort"
	"strings"

	"github.com/micarudder/micarudder/rudderv1"
)

// File is one declaration file.
type File struct {
	Name string
	Data []byte
}

// Mistake is one error in the declarations.
type Mistake struct {
	File    string `json:"file"`
	Line    int    `json:"line"` // counted from 1; 0 if the mistake belongs to no line
	Section string `json:"section"`
	Key     string `json:"key,omitempty"`
	Problem string `json:"problem"`
	Allowed string `json:"allowed,omitempty"` // the values that are accepted
}

// Error implements error.
func (m *Mistake) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d: ", m.File, m.Line)
	if m.Section != "" {
		fmt.Fprintf(&b, "[%s] ", m.Section)
	}
	if m.Key != "" {
		fmt.Fprintf(&b, "%s: ", m.Key)
	}
	b.WriteString(m.Problem)
	if m.Allowed != "" {
		b.WriteString("; allowed: " + m.Allowed)
	}
	return b.String()
}

// Mistakes are all mistakes found by one call of Parse, ordered by file and line.
type Mistakes []*Mistake

// Error implements error, with one line for each mistake.
func (ms Mistakes) Error() string {
	lines := make([]string, len(ms))
	for i, m := range ms {
		lines[i] = m.Error()
	}
	return strings.Join(lines, "\n")
}

// Parse parses the files as one set of declarations. The document has neither a
// generation nor a plan id, and its lists are sorted by name. A non-nil error is
// of type Mistakes.
func Parse(files ...File) (*rudderv1.Document, error) {
	p := newParser()
	for _, f := range files {
		p.parseFile(f)
	}
	p.checkAcrossSections()
	if len(p.mistakes) > 0 {
		p.sortMistakes(files)
		return nil, p.mistakes
	}
	sortDocument(p.doc)
	return p.doc, nil
}

func (p *parser) sortMistakes(files []File) {
	rank := make(map[string]int, len(files))
	for i, f := range files {
		rank[f.Name] = i
	}
	sort.SliceStable(p.mistakes, func(i, j int) bool {
		a, b := p.mistakes[i], p.mistakes[j]
		if a.File != b.File {
			return rank[a.File] < rank[b.File]
		}
		return a.Line < b.Line
	})
}

type hasName interface{ GetName() string }

func sortByName[T hasName](list []T) {
	sort.SliceStable(list, func(i, j int) bool { return list[i].GetName() < list[j].GetName() })
}

func sortDocument(d *rudderv1.Document) {
	sortByName(d.Models)
	sortByName(d.Services)
	sortByName(d.Workspaces)
	sortByName(d.Hosts)
	sortByName(d.Endpoints)
	for _, m := range d.Models {
		sortByName(m.Adapters)
	}
}
