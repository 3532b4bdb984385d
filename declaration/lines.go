package declaration

import (
	"strings"

	"gopkg.in/ini.v1"
)

// block is one section of a file as text, with the lines its keys stand on.
type block struct {
	header string
	line   int
	text   strings.Builder
	keys   map[string]int // line of each key
}

// splitLines divides a file into its sections and reports the lines that are
// no comment, header or key. What is left is sure to be understood by ini.v1,
// which knows no line numbers.
func (r *reader) splitLines(f File) []*block {
	var blocks []*block
	var cur *block
	text := strings.TrimPrefix(string(f.Data), "\ufeff")
	for i, raw := range strings.Split(text, "\n") {
		line := strings.TrimSpace(raw)
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			cur = r.header(f.Name, i+1, line)
			blocks = append(blocks, cur)
		default:
			r.keyLine(f.Name, i+1, line, cur)
		}
	}
	return blocks
}

func (r *reader) header(file string, line int, text string) *block {
	b := &block{line: line, keys: make(map[string]int)}
	name, rest, closed := strings.Cut(text[1:], "]")
	b.header = strings.Join(strings.Fields(name), " ")
	rest = strings.TrimSpace(rest)
	if !closed || rest != "" && rest[0] != '#' && rest[0] != ';' {
		r.add(file, line, b.header, "", "is no section header", "[KIND NAME]")
	}
	return b
}

func (r *reader) keyLine(file string, line int, text string, cur *block) {
	key, value, ok := strings.Cut(text, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	switch {
	case !ok || !isKey(key):
		r.add(file, line, headerOf(cur), "", "is neither a section, a key nor a comment", "key = value")
	case cur == nil:
		r.add(file, line, "", key, "stands outside any section", "")
	case cur.keys[key] != 0:
		r.add(file, line, cur.header, key, "is given more than once", "")
	case strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"`) || strings.HasPrefix(value, "'"):
		r.add(file, line, cur.header, key, "is quoted", "a value without quotes on one line")
		cur.keys[key] = line
	default:
		cur.keys[key] = line
		cur.text.WriteString(text + "\n")
	}
}

func headerOf(b *block) string {
	if b == nil {
		return ""
	}
	return b.header
}

func isKey(s string) bool {
	for _, c := range s {
		if (c < 'a' || c > 'z') && c != '-' {
			return false
		}
	}
	return s != ""
}

// values parses the keys of one section.
func (b *block) values() (map[string]string, error) {
	opts := ini.LoadOptions{
		KeyValueDelimiters:       "=",
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
	}
	f, err := ini.LoadSources(opts, []byte(b.text.String()))
	if err != nil {
		return nil, err
	}
	out := make(map[string]string)
	for _, k := range f.Section(ini.DefaultSection).Keys() {
		out[k.Name()] = k.Value()
	}
	return out, nil
}
