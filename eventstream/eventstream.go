// Package eventstream splits streams of server-sent events into complete events, and bounds what it holds of
// those that are not complete.
package eventstream

import "bytes"

// Split splits buf after its last complete event. It returns the id of the newest complete event that
// has one, or else lastID. An event ends with an empty line; lines may end with CR LF.
func Split(buf []byte, lastID string) (complete, rest []byte, newestID string) {
	s := scanner{lastID: lastID}
	s.scan(buf)
	return buf[:s.event], buf[s.event:], s.lastID
}

// scanner finds the complete events in a buffer that grows. It reads each byte once, but for lines with an id.
type scanner struct {
	event  int // where the first incomplete event begins
	line   int // where the first incomplete line begins
	seen   int // where the unread bytes begin
	lastID string
}

// scan reads what was added to buf.
func (s *scanner) scan(buf []byte) {
	for {
		n := bytes.IndexByte(buf[s.seen:], '\n')
		if n < 0 {
			s.seen = len(buf)
			return
		}
		line := buf[s.line : s.seen+n]
		s.seen += n + 1
		s.line = s.seen
		if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			s.endEvent(buf)
		}
	}
}

// endEvent records that an event ends where the first incomplete line begins.
func (s *scanner) endEvent(buf []byte) {
	if id, ok := eventID(buf[s.event:s.line]); ok {
		s.lastID = id
	}
	s.event = s.line
}

// drop removes as many bytes from the beginning of the buffer, all of them of complete events.
func (s *scanner) drop(n int) {
	s.event -= n
	s.line -= n
	s.seen -= n
}

// eventID returns the value of the event's id line.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
