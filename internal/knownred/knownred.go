// Package knownred reads the list of tests that are known to fail, which CI leaves out of its run of
// all tests and plays by themselves.
package knownred

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strings"
)

// Entry is one line of the list: "TestName/subtest: command; what was seen; issue N". A failure that was seen
// and that no test provokes yet has a line that begins with "rare " and a name of any kind; its command is
// played by hand.
type Entry struct {
	Rare    bool
	Test    []string // name of the test and of its subtests
	Package string   // as the command names it, such as ./relay
	Flags   []string // of the command, without those that select and count tests
	Text    string   // the whole line
}

var (
	line     = regexp.MustCompile(`^(Test[^\s:]*): (go test [^;]+); ([^;]+); issue (\d+)$`)
	rareLine = regexp.MustCompile(`^rare ([^:;]+): ([^;]+); ([^;]+); issue (\d+)$`)
)

// Parse reads the entries of a list. Empty lines are ignored.
func Parse(r io.Reader) ([]Entry, error) {
	var out []Entry
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		text := strings.TrimSpace(lines.Text())
		if text == "" {
			continue
		}
		e, err := parseLine(text)
		if err != nil {
			return nil, err
		}
		out = append(out, e)
	}
	return out, lines.Err()
}

func parseLine(text string) (Entry, error) {
	if rareLine.MatchString(text) {
		return Entry{Rare: true, Text: text}, nil
	}
	m := line.FindStringSubmatch(text)
	if m == nil {
		return Entry{}, fmt.Errorf("not of the form 'TestName/subtest: go test ./package ...; what was seen; issue N': %q", text)
	}
	e := Entry{Test: strings.Split(m[1], "/"), Text: text}
	args := strings.Fields(m[2])[1:]
	for i := 1; i < len(args); i++ {
		name, _, hasValue := strings.Cut(strings.TrimLeft(args[i], "-"), "=")
		switch {
		case strings.HasPrefix(args[i], "./"):
			if e.Package != "" {
				return Entry{}, fmt.Errorf("more than one package: %q", text)
			}
			e.Package = args[i]
		case strings.HasPrefix(args[i], "-") && (name == "run" || name == "count" || name == "v"):
			if !hasValue && name != "v" {
				i++
			}
		default:
			e.Flags = append(e.Flags, args[i])
		}
	}
	if e.Package == "" {
		return Entry{}, fmt.Errorf("the command names no package: %q", text)
	}
	return e, nil
}

// Pattern returns the value of go test's -run or -skip that matches exactly this test.
func (e Entry) Pattern() string {
	parts := make([]string, len(e.Test))
	for i, name := range e.Test {
		parts[i] = "^" + regexp.QuoteMeta(name) + "$"
	}
	return strings.Join(parts, "/")
}

// Skip returns the value of go test's -skip that leaves out exactly the tests of the entries that are not
// rare.
func Skip(entries []Entry) string {
	var patterns []string
	for _, e := range entries {
		if !e.Rare {
			patterns = append(patterns, e.Pattern())
		}
	}
	return strings.Join(patterns, "|")
}
