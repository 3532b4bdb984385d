package httpresponse

import (
	"bytes"
	"strings"
)

const (
	oldVersion  = "HTTP/1.0 "
	codingField = "transfer-encoding"
)

// codingScanner finds out whether the head of an HTTP/1.0 response names a transfer coding, which that version does not have.
// net/http drops the field. Its zero value scans nothing.
type codingScanner struct {
	active    bool
	firstLine bool                       // the line is the status line
	line      [len(codingField) + 1]byte // the beginning of the line
	length    int                        // of the line so far
	found     bool
}

// begin starts with the head of the next response.
func (s *codingScanner) begin() { *s = codingScanner{active: true, firstLine: true} }

// scan scans what follows.
func (s *codingScanner) scan(p []byte) {
	for _, b := range p {
		if !s.active {
			return
		}
		if b == '\n' {
			s.endLine()
			continue
		}
		if s.length < len(s.line) {
			s.line[s.length] = b
		}
		s.length++
	}
}

func (s *codingScanner) endLine() {
	line := string(bytes.TrimRight(s.line[:min(s.length, len(s.line))], "\r"))
	name, _, _ := strings.Cut(line, ":")
	switch {
	case s.firstLine:
		s.active = strings.HasPrefix(line, oldVersion)
	case line == "": // the end of the head
		s.active = false
	case strings.EqualFold(name, codingField):
		s.found = true
	}
	s.firstLine, s.length = false, 0
}
