package declaration

import (
	"encoding/hex"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
)

// section is one section of a file, with typed accessors for its keys. If a value is
// wrong, the accessor reports a mistake; the accessors for single names, numbers and
// addresses then return the zero value.
type section struct {
	p         *parser
	file      string
	line      int
	kind      string
	name      string
	keyLines  map[string]int
	values    map[string]string
	knownKeys []string // keys that this kind of section allows, in the order of access
}

func (s *section) title() string { return title(s.kind, s.name) }

func title(kind, name string) string { return strings.TrimSpace(kind + " " + name) }

// report records a mistake on the line of the key, or of the header if the section
// does not have the key.
func (s *section) report(key, problem, allowed string) {
	line := s.line
	if l, ok := s.keyLines[key]; ok {
		line = l
	}
	s.p.report(s.file, line, s.title(), key, problem, allowed)
}

// lookup returns the value of a key, or false if the key is missing or its value is
// empty. It reports an empty value, and a missing key if it is required. A quoted value
// is not in values and has been reported by parseKeyLine.
func (s *section) lookup(key string, required bool, allowed string) (string, bool) {
	s.knownKeys = append(s.knownKeys, key)
	v, ok := s.values[key]
	if !ok {
		if _, quoted := s.keyLines[key]; required && !quoted {
			s.report(key, "is missing", allowed)
		}
		return "", false
	}
	if v == "" {
		s.report(key, "is empty", allowed)
		return "", false
	}
	return v, true
}

// reportUnknownKeys reports the keys that this kind of section does not allow.
func (s *section) reportUnknownKeys() {
	for key := range s.keyLines {
		if !slices.Contains(s.knownKeys, key) {
			s.report(key, "is not a key of this section", strings.Join(s.knownKeys, ", "))
		}
	}
}

// weightName reads a name in the weight store.
func (s *section) weightName(key string) string {
	v, ok := s.lookup(key, true, weightNameSyntax)
	if ok && !isWeightName(v) {
		s.report(key, quote(v)+" is not a name in the weight store", weightNameSyntax)
		return ""
	}
	return v
}

func (s *section) ident(key string, required bool) string {
	v, ok := s.lookup(key, required, nameSyntax)
	if ok && !isName(v) {
		s.report(key, quote(v)+" is not a name", nameSyntax)
		return ""
	}
	return v
}

func (s *section) list(key string, required bool, allowed string) []string {
	v, ok := s.lookup(key, required, allowed)
	if !ok {
		return nil
	}
	var out []string
	for part := range strings.SplitSeq(v, ",") {
		part = strings.TrimSpace(part)
		switch {
		case part == "":
			s.report(key, "has an empty element", allowed)
		case slices.Contains(out, part):
			s.report(key, "names "+quote(part)+" twice", allowed)
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
			s.report(key, quote(n)+" is not a name", nameSyntax)
		}
	}
	slices.Sort(out)
	return out
}

func (s *section) choices(key string, allowed ...string) []string {
	out := s.list(key, false, strings.Join(allowed, ", "))
	for _, c := range out {
		if !slices.Contains(allowed, c) {
			s.report(key, quote(c)+" is not known", strings.Join(allowed, ", "))
		}
	}
	return out
}

func (s *section) choice(key, def string, allowed ...string) string {
	v, ok := s.lookup(key, false, strings.Join(allowed, ", "))
	if !ok {
		return def
	}
	if !slices.Contains(allowed, v) {
		s.report(key, quote(v)+" is not known", strings.Join(allowed, ", "))
	}
	return v
}

func (s *section) flag(key string) bool {
	return s.choice(key, "false", "true", "false") == "true"
}

func (s *section) count(key string, required bool, lo, hi uint32) uint32 {
	allowed := "a whole number from " + strconv.Itoa(int(lo)) + " to " + strconv.FormatUint(uint64(hi), 10)
	v, ok := s.lookup(key, required, allowed)
	if !ok {
		return 0
	}
	n, err := strconv.ParseUint(v, 10, 32)
	if err != nil || uint32(n) < lo || uint32(n) > hi {
		s.report(key, quote(v)+" is out of range or not a whole number", allowed)
		return 0
	}
	return uint32(n)
}

func (s *section) quantity(key string, required bool, units []unit) uint64 {
	allowed := quantitySyntax(units)
	v, ok := s.lookup(key, required, allowed)
	if !ok {
		return 0
	}
	n, err := parseQuantity(v, units)
	if err != nil {
		s.report(key, quote(v)+" "+err.Error(), allowed)
	}
	return n
}

func (s *section) rate(key string, units []unit) float64 {
	allowed := rateSyntax(units)
	v, ok := s.lookup(key, false, allowed)
	if !ok {
		return 0
	}
	n, err := parseRate(v, units)
	if err != nil {
		s.report(key, quote(v)+" "+err.Error(), allowed)
	}
	return n
}

func (s *section) percent(key string) uint32 {
	const allowed = "a whole percentage from 1% to 100%"
	v, ok := s.lookup(key, false, allowed)
	if !ok {
		return 0
	}
	num, hasPercent := strings.CutSuffix(v, "%")
	n, err := strconv.ParseUint(strings.TrimSpace(num), 10, 32)
	if !hasPercent || err != nil || n < 1 || n > 100 {
		s.report(key, quote(v)+" is not a percentage", allowed)
		return 0
	}
	return uint32(n)
}

func (s *section) address(key string) string {
	const allowed = "an IP number with a port, such as 10.0.0.1:7100"
	v, ok := s.lookup(key, true, allowed)
	if !ok {
		return ""
	}
	a, err := netip.ParseAddrPort(v)
	if err != nil || a.Port() == 0 {
		s.report(key, quote(v)+" is not an address", allowed)
		return ""
	}
	return a.String()
}

// replicas reads numbers of replicas by data centre, such as "a:2, b:1".
func (s *section) replicas(key string) map[string]uint32 {
	const allowed = "DATA-CENTRE:NUMBER, separated by commas"
	out := make(map[string]uint32)
	for _, part := range s.list(key, true, allowed) {
		dc, num, _ := strings.Cut(part, ":")
		n, err := strconv.ParseUint(strings.TrimSpace(num), 10, 32)
		dc = strings.TrimSpace(dc)
		switch {
		case !isName(dc) || err != nil || n == 0 || n > math.MaxUint16:
			s.report(key, quote(part)+" is not a number of replicas in a data centre", allowed)
		case out[dc] != 0:
			s.report(key, "names "+quote(dc)+" twice", allowed)
		default:
			out[dc] = uint32(n)
		}
	}
	return out
}

// digests reads SHA-256 digests of bearer keys in hexadecimal form.
func (s *section) digests(key string) []string {
	const allowed = "SHA-256 digests of bearer keys, 64 lower-case hex digits each, separated by commas"
	var out []string
	for _, d := range s.list(key, true, allowed) {
		b, err := hex.DecodeString(d)
		if err != nil || len(b) != 32 || d != strings.ToLower(d) {
			s.report(key, quote(d)+" is not a digest", allowed)
			continue
		}
		out = append(out, d)
	}
	slices.Sort(out)
	return out
}
