// Package eventstream splits streams of server-sent events into complete events.
package eventstream

import "bytes"

// Split splits buf after its last complete event. It returns the id of the newest complete event that
// has one, or else lastID. An event ends with an empty line; lines may end with CR LF.
func Split(buf []byte, lastID string) (complete, rest []byte, newestID string) {
	end := 0
	for {
		n := eventLength(buf[end:])
		if n == 0 {
			return buf[:end], buf[end:], lastID
		}
		if id, ok := eventID(buf[end : end+n]); ok {
			lastID = id
		}
		end += n
	}
}

// eventLength returns the length of the first complete event in buf, or 0 if there is none.
func eventLength(buf []byte) int {
	for end := 0; ; {
		n := bytes.IndexByte(buf[end:], '\n')
		if n < 0 {
			return 0
		}
		line := buf[end : end+n]
		end += n + 1
		if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			return end
		}
	}
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
