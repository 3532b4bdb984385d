// Package declaration reads the operators' declarations, INI files kept under
// version control, into one rudder.v1.Document, and writes a Document back in
// a canonical form. It reports every mistake with its file, line, section and
// key. It does no I/O: files come in as bytes.
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

// Mistake is one thing wrong with the declarations.
type Mistake struct {
	File    string `json:"file"`
	Line    int    `json:"line"` // counted from 1; 0 when no line is to blame
	Section string `json:"section"`
	Key     string `json:"key,omitempty"`
	Problem string `json:"problem"`
	Allowed string `json:"allowed,omitempty"` // what would be accepted
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

// Mistakes are all mistakes of one reading, ordered by file and line.
type Mistakes []*Mistake

// Error implements error; each mistake stands on a line of its own.
func (ms Mistakes) Error() string {
	lines := make([]string, len(ms))
	for i, m := range ms {
		lines[i] = m.Error()
	}
	return strings.Join(lines, "\n")
}

// Parse reads the files as one set of declarations. The document has no
// generation and no plan id, and its lists are ordered by name. A non-nil
// error is of type Mistakes.
func Parse(files ...File) (*rudderv1.Document, error) {
	r := newReader()
	for _, f := range files {
		r.read(f)
	}
	r.cross()
	if len(r.mistakes) > 0 {
		r.order(files)
		return nil, r.mistakes
	}
	sortDocument(r.doc)
	return r.doc, nil
}

func (r *reader) order(files []File) {
	rank := make(map[string]int, len(files))
	for i, f := range files {
		rank[f.Name] = i
	}
	sort.SliceStable(r.mistakes, func(i, j int) bool {
		a, b := r.mistakes[i], r.mistakes[j]
		if a.File != b.File {
			return rank[a.File] < rank[b.File]
		}
		return a.Line < b.Line
	})
}

type named interface{ GetName() string }

func sortByName[T named](list []T) {
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
