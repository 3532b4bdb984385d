package eventstream

import "bytes"

// tailBytes is the length of the longest end of a stream that tells whether its last event is complete: the
// end of a line and an empty line, which may end with CR LF.
const tailBytes = 3

// Tail tells from the bytes of a stream whether it ends after a complete event. The zero value is an empty
// stream.
type Tail struct {
	last  [tailBytes]byte
	bytes int64
}

// Append adds the bytes that follow.
func (t *Tail) Append(p []byte) {
	t.bytes += int64(len(p))
	if n := len(p); n >= tailBytes {
		copy(t.last[:], p[n-tailBytes:])
		return
	}
	for _, b := range p {
		copy(t.last[:], t.last[1:])
		t.last[tailBytes-1] = b
	}
}

// Empty reports whether nothing was added.
func (t *Tail) Empty() bool { return t.bytes == 0 }

// Complete reports whether the last event ends with its empty line.
func (t *Tail) Complete() bool {
	return bytes.HasSuffix(t.last[:], []byte("\n\n")) || bytes.Equal(t.last[:], []byte("\n\r\n"))
}
