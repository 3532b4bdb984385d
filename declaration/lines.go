package declaration

import (
	"strings"

	"gopkg.in/ini.v1"
)

// rawSection is the text of one section of a file, with the line numbers of its keys.
type rawSection struct {
	header   string
	line     int
	text     strings.Builder
	keyLines map[string]int // line of each key
}

// splitSections splits a file into its sections and reports lines that are neither a
// comment, a section header nor a key. The text of the sections holds only lines that
// ini.v1 can parse, because ini.v1 does not report line numbers.
func (p *parser) splitSections(f File) []*rawSection {
	var sections []*rawSection
	var cur *rawSection
	text := strings.TrimPrefix(string(f.Data), "\ufeff")
	for i, raw := range strings.Split(text, "\n") {
		line := strings.TrimSpace(raw)
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			cur = p.parseHeader(f.Name, i+1, line)
			sections = append(sections, cur)
		default:
			p.parseKeyLine(f.Name, i+1, line, cur)
		}
	}
	return sections
}

func (p *parser) parseHeader(file string, line int, text string) *rawSection {
	s := &rawSection{line: line, keyLines: make(map[string]int)}
	name, rest, closed := strings.Cut(text[1:], "]")
	s.header = strings.Join(strings.Fields(name), " ")
	rest = strings.TrimSpace(rest)
	if !closed || rest != "" && rest[0] != '#' && rest[0] != ';' {
		p.report(file, line, s.header, "", "is not a section header", "[KIND NAME]")
	}
	return s
}

func (p *parser) parseKeyLine(file string, line int, text string, cur *rawSection) {
	key, value, ok := strings.Cut(text, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	switch {
	case !ok || !isKey(key):
		p.report(file, line, headerOf(cur), "", "is neither a section header, a key nor a comment", "key = value")
	case cur == nil:
		p.report(file, line, "", key, "is outside any section", "")
	case cur.keyLines[key] != 0:
		p.report(file, line, cur.header, key, "is given more than once", "")
	case strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"`) || strings.HasPrefix(value, "'"):
		p.report(file, line, cur.header, key, "is quoted", "a value without quotes on one line")
		cur.keyLines[key] = line
	default:
		cur.keyLines[key] = line
		cur.text.WriteString(text + "\n")
	}
}

func headerOf(s *rawSection) string {
	if s == nil {
		return ""
	}
	return s.header
}

func isKey(s string) bool {
	for _, c := range s {
		if (c < 'a' || c > 'z') && c != '-' {
			return false
		}
	}
	return s != ""
}

// values parses the text of the section and returns the values by key.
func (s *rawSection) values() (map[string]string, error) {
	opts := ini.LoadOptions{
		KeyValueDelimiters:       "=",
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
	}
	f, err := ini.LoadSources(opts, []byte(s.text.String()))
	if err != nil {
		return nil, err
	}
	out := make(map[string]string)
	for _, k := range f.Section(ini.DefaultSection).Keys() {
		out[k.Name()] = k.Value()
	}
	return out, nil
}
