package declaration

import (
	"encoding/hex"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
)

// section is one section of a file with typed access to its keys. A getter
// records a mistake and returns the zero value when a key is wrong.
type section struct {
	r      *reader
	file   string
	line   int
	kind   string
	name   string
	keys   map[string]int
	values map[string]string
	used   []string // keys that the kind knows, in the order they were asked for
}

func (s *section) title() string { return title(s.kind, s.name) }

func title(kind, name string) string { return strings.TrimSpace(kind + " " + name) }

// add records a mistake at the key's line, or at the header's when it is missing.
func (s *section) add(key, problem, allowed string) {
	line := s.line
	if l, ok := s.keys[key]; ok {
		line = l
	}
	s.r.add(s.file, line, s.title(), key, problem, allowed)
}

// get returns the text of a key; ok is false when it is absent.
func (s *section) get(key string, required bool, allowed string) (string, bool) {
	s.used = append(s.used, key)
	v, ok := s.values[key]
	if !ok {
		if _, quoted := s.keys[key]; required && !quoted {
			s.add(key, "is missing", allowed)
		}
		return "", false
	}
	if v == "" {
		s.add(key, "is empty", allowed)
		return "", false
	}
	return v, true
}

// finish reports the keys that nobody asked for.
func (s *section) finish() {
	for key := range s.keys {
		if !slices.Contains(s.used, key) {
			s.add(key, "is no key of this section", strings.Join(s.used, ", "))
		}
	}
}

// path reads a name in the weight store.
func (s *section) path(key string) string {
	v, ok := s.get(key, true, pathRule)
	if ok && !isPath(v) {
		s.add(key, quote(v)+" is not a name in the weight store", pathRule)
		return ""
	}
	return v
}

func (s *section) ident(key string, required bool) string {
	v, ok := s.get(key, required, nameRule)
	if ok && !isName(v) {
		s.add(key, quote(v)+" is not a name", nameRule)
		return ""
	}
	return v
}

func (s *section) list(key string, required bool, allowed string) []string {
	v, ok := s.get(key, required, allowed)
	if !ok {
		return nil
	}
	var out []string
	for part := range strings.SplitSeq(v, ",") {
		part = strings.TrimSpace(part)
		switch {
		case part == "":
			s.add(key, "has an empty element", allowed)
		case slices.Contains(out, part):
			s.add(key, "names "+quote(part)+" twice", allowed)
		default:
			out = append(out, part)
		}
	}
	return out
}

func (s *section) idents(key string, required bool) []string {
	out := s.list(key, required, "names, separated by commas")
	for _, n := range out {
		if !isName(n) {
			s.add(key, quote(n)+" is not a name", nameRule)
		}
	}
	slices.Sort(out)
	return out
}

func (s *section) choices(key string, allowed ...string) []string {
	out := s.list(key, false, strings.Join(allowed, ", "))
	for _, c := range out {
		if !slices.Contains(allowed, c) {
			s.add(key, quote(c)+" is not known", strings.Join(allowed, ", "))
		}
	}
	return out
}

func (s *section) choice(key, def string, allowed ...string) string {
	v, ok := s.get(key, false, strings.Join(allowed, ", "))
	if !ok {
		return def
	}
	if !slices.Contains(allowed, v) {
		s.add(key, quote(v)+" is not known", strings.Join(allowed, ", "))
	}
	return v
}

func (s *section) flag(key string) bool {
	return s.choice(key, "false", "true", "false") == "true"
}

func (s *section) count(key string, required bool, lo, hi uint32) uint32 {
	allowed := "a whole number from " + strconv.Itoa(int(lo)) + " to " + strconv.FormatUint(uint64(hi), 10)
	v, ok := s.get(key, required, allowed)
	if !ok {
		return 0
	}
	n, err := strconv.ParseUint(v, 10, 32)
	if err != nil || uint32(n) < lo || uint32(n) > hi {
		s.add(key, quote(v)+" is out of range or no whole number", allowed)
		return 0
	}
	return uint32(n)
}

func (s *section) quantity(key string, required bool, units []unit) uint64 {
	allowed := unitRule(units)
	v, ok := s.get(key, required, allowed)
	if !ok {
		return 0
	}
	n, err := parseQuantity(v, units)
	if err != nil {
		s.add(key, quote(v)+" "+err.Error(), allowed)
	}
	return n
}

func (s *section) rate(key string, units []unit) float64 {
	allowed := rateRule(units)
	v, ok := s.get(key, false, allowed)
	if !ok {
		return 0
	}
	n, err := parseRate(v, units)
	if err != nil {
		s.add(key, quote(v)+" "+err.Error(), allowed)
	}
	return n
}

func (s *section) percent(key string) uint32 {
	const allowed = "a whole percentage from 1% to 100%"
	v, ok := s.get(key, false, allowed)
	if !ok {
		return 0
	}
	num, unit := strings.CutSuffix(v, "%")
	n, err := strconv.ParseUint(strings.TrimSpace(num), 10, 32)
	if !unit || err != nil || n < 1 || n > 100 {
		s.add(key, quote(v)+" is not a percentage", allowed)
		return 0
	}
	return uint32(n)
}

func (s *section) address(key string) string {
	const allowed = "an IP number with a port, such as 10.0.0.1:7100"
	v, ok := s.get(key, true, allowed)
	if !ok {
		return ""
	}
	a, err := netip.ParseAddrPort(v)
	if err != nil || a.Port() == 0 {
		s.add(key, quote(v)+" is not an address", allowed)
		return ""
	}
	return a.String()
}

// replicas reads "ZONE:N, ZONE:N".
func (s *section) replicas(key string) map[string]uint32 {
	const allowed = "DATA-CENTRE:NUMBER, separated by commas"
	out := make(map[string]uint32)
	for _, part := range s.list(key, true, allowed) {
		dc, num, _ := strings.Cut(part, ":")
		n, err := strconv.ParseUint(strings.TrimSpace(num), 10, 32)
		dc = strings.TrimSpace(dc)
		switch {
		case !isName(dc) || err != nil || n == 0 || n > math.MaxUint16:
			s.add(key, quote(part)+" is not a number of replicas in a data centre", allowed)
		case out[dc] != 0:
			s.add(key, "names "+quote(dc)+" twice", allowed)
		default:
			out[dc] = uint32(n)
		}
	}
	return out
}

// digests reads hex SHA-256 digests of bearer keys.
func (s *section) digests(key string) []string {
	const allowed = "SHA-256 digests of bearer keys, 64 lower-case hex digits each, separated by commas"
	var out []string
	for _, d := range s.list(key, true, allowed) {
		b, err := hex.DecodeString(d)
		if err != nil || len(b) != 32 || d != strings.ToLower(d) {
			s.add(key, quote(d)+" is not a digest", allowed)
			continue
		}
		out = append(out, d)
	}
	slices.Sort(out)
	return out
}
