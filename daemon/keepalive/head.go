package keepalive

import (
	"bytes"

	"github.com/micarudder/micarudder/heldmemory"
)

const (
	// maxHeadLines is the most lines of a request's head; callers send some ten, and other proxies stop near here. A
	// line occupies many times its text once it is parsed.
	maxHeadLines = 100
	// headSlackBytes is how much larger than its limit a head may be before net/http refuses it.
	headSlackBytes = 4 << 10
	// firstHeadBytes is the size of the first buffer of a head that does not arrive at once.
	firstHeadBytes = 1 << 10
)

// head is the head of a request as far as it has arrived. It is kept back until it is complete: parsed, each line
// occupies many times its text. The zero value is that of a request that has not begun.
type head struct {
	lines int       // complete lines
	line  lineState // of the line that is not complete
	ended bool      // whether the end was found
	size  int
}

// heldBytes are bytes that were read and are not handed out: of a head that is not complete, or that is, with what came
// after it.
type heldBytes struct {
	text    []byte
	counted *heldmemory.Body
}

// lineState is what is known of a line that is not complete.
type lineState uint8

const (
	lineEmpty  lineState = iota
	lineReturn           // a carriage return
	lineText
)

// scan looks for the end of the head in the bytes that follow.
func (h *head) scan(p []byte) {
	if h.ended { // the end of empty lines before the request, which net/http skips
		h.lines, h.line, h.ended = 0, lineEmpty, false
	}
	h.size += len(p)
	for {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			h.line = h.line.with(p)
			return
		}
		if h.line.with(p[:i]) != lineText {
			h.ended = true
			return
		}
		h.lines++
		h.line = lineEmpty
		p = p[i+1:]
	}
}

// with returns the state of a line after further bytes of it.
func (l lineState) with(p []byte) lineState {
	switch {
	case len(p) == 0:
		return l
	case l == lineEmpty && len(p) == 1 && p[0] == '\r':
		return lineReturn
	default:
		return lineText
	}
}

// complete reports whether the head has arrived, or is larger than net/http accepts, which then refuses it.
func (h *head) complete(limit int) bool { return h.ended || h.size >= limit+headSlackBytes }

// tooManyLines reports whether the head is refused for the number of its lines.
func (h *head) tooManyLines() bool { return h.lines > maxHeadLines }

// hold keeps back bytes. It reports false if there is no memory for them.
func (h *heldBytes) hold(p []byte, memory *heldmemory.Bodies) bool {
	size := max(cap(h.text), firstHeadBytes)
	for size < len(h.text)+len(p) {
		size *= 2
	}
	if size > cap(h.text) {
		if size > firstHeadBytes && !h.count(size, memory) {
			return false
		}
		h.text = append(make([]byte, 0, size), h.text...)
	}
	h.text = append(h.text, p...)
	return true
}

// count counts what is kept back. The first buffer does not count: heads of sound callers that arrive in parts fit in.
func (h *heldBytes) count(size int, memory *heldmemory.Bodies) bool {
	if h.counted == nil {
		h.counted = memory.NewHead()
	}
	return h.counted.Resize(int64(size))
}

// take moves bytes that were kept back to p.
func (h *heldBytes) take(p []byte) int {
	n := copy(p, h.text)
	h.text = h.text[n:]
	if len(h.text) == 0 {
		h.release()
	}
	return n
}

// release drops what is kept back.
func (h *heldBytes) release() {
	h.text = nil
	h.counted.Release()
	h.counted = nil
}
