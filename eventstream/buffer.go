package eventstream

import "errors"

// ErrTooLarge is returned for a stream with an event that is larger than allowed.
var ErrTooLarge = errors.New("an event is too large")

const (
	// minBufferBytes is the smallest buffer.
	minBufferBytes = 1 << 10
	// keptBufferBytes is the largest buffer that is kept once its events were passed on.
	keptBufferBytes = 16 << 10
)

// Reserve is called before a buffer changes to occupy so many bytes. If it fails, the buffer stays as it is.
type Reserve func(bytes int) error

// Buffer holds the events of a stream until they are complete.
type Buffer struct {
	// LastID is the id of the newest complete event that has one; at first, that of the last event before.
	LastID string

	maxBytes int
	memory   growingBuffer
	scanner  scanner
}

// NewBuffer returns an empty buffer. An incomplete event may have maxBytes.
func NewBuffer(lastID string, maxBytes int, reserve Reserve) *Buffer {
	return &Buffer{LastID: lastID, maxBytes: maxBytes, memory: growingBuffer{reserve: reserve}}
}

// Empty reports whether the last event that was appended is complete.
func (b *Buffer) Empty() bool { return len(b.memory.bytes) == b.scanner.event }

// Append adds bytes of the stream and returns the events that are complete now, which are valid until the next
// call. With ErrTooLarge the event that follows them is larger than allowed; any other error is that of Reserve.
func (b *Buffer) Append(p []byte) (complete []byte, err error) {
	b.dropComplete(len(p))
	if err := b.memory.append(p, b.maxBytes+len(p)); err != nil {
		return nil, err
	}
	b.scanner.lastID = b.LastID
	b.scanner.scan(b.memory.bytes)
	b.LastID = b.scanner.lastID
	complete = b.memory.bytes[:b.scanner.event]
	if len(b.memory.bytes)-len(complete) > b.maxBytes {
		err = ErrTooLarge
	}
	return complete, err
}

// dropComplete removes the events that the last Append returned. A large buffer is not kept for an incomplete
// event that fits, with the bytes that are about to follow, into a small one.
func (b *Buffer) dropComplete(following int) {
	complete := b.scanner.event
	if complete == 0 {
		return
	}
	rest := b.memory.bytes[complete:]
	if cap(b.memory.bytes) > keptBufferBytes && len(rest)+following <= keptBufferBytes {
		rest = append(make([]byte, 0, keptBufferBytes), rest...)
		b.memory.replace(rest)
	} else {
		b.memory.bytes = append(b.memory.bytes[:0], rest...)
	}
	b.scanner.drop(complete)
}

// growingBuffer is a buffer that reserves its memory before it grows.
type growingBuffer struct {
	reserve Reserve // nil: no bound
	bytes   []byte
}

// append adds p. The buffer doubles when it grows, up to most bytes.
func (g *growingBuffer) append(p []byte, most int) error {
	needed := len(g.bytes) + len(p)
	if needed > cap(g.bytes) {
		larger := max(needed, minBufferBytes, min(2*cap(g.bytes), most))
		if err := g.resize(cap(g.bytes) + larger); err != nil { // both are held while the bytes are copied
			return err
		}
		g.replace(append(make([]byte, 0, larger), g.bytes...))
	}
	g.bytes = append(g.bytes, p...)
	return nil
}

// replace makes another buffer that is not larger than what is reserved take the place of this one.
func (g *growingBuffer) replace(bytes []byte) {
	g.bytes = bytes
	_ = g.resize(cap(bytes)) // a smaller size is not refused
}

func (g *growingBuffer) resize(bytes int) error {
	if g.reserve == nil {
		return nil
	}
	return g.reserve(bytes)
}
