package eventstream

import "io"

// awaitReadBytes is how much AwaitEvent reads at once.
const awaitReadBytes = 4 << 10

// AwaitEvent reads from a stream until it has an event with another id than lastID, or ends after a complete
// event or before any. It returns the whole stream, with what was read. That may have maxBytes before the event
// ends.
func AwaitEvent(stream io.ReadCloser, lastID string, maxBytes int, reserve Reserve) (io.ReadCloser, error) {
	begun := growingBuffer{reserve: reserve}
	events := scanner{lastID: lastID}
	buf := make([]byte, awaitReadBytes)
	for {
		n, err := stream.Read(buf)
		if e := begun.append(buf[:n], maxBytes+n); e != nil {
			return nil, e
		}
		events.scan(begun.bytes)
		switch {
		case events.lastID != lastID, err == io.EOF && events.event == len(begun.bytes):
			return &begunStream{ReadCloser: stream, begun: begun, unread: begun.bytes}, nil
		case err == io.EOF:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		case len(begun.bytes) > maxBytes:
			return nil, ErrTooLarge
		}
	}
}

// begunStream is a stream of which the beginning was read before. Its buffer is kept until all of that was read
// again.
type begunStream struct {
	io.ReadCloser // the rest
	begun         growingBuffer
	unread        []byte // of begun
}

// Read implements io.Reader.
func (s *begunStream) Read(p []byte) (int, error) {
	if len(s.unread) == 0 {
		return s.ReadCloser.Read(p)
	}
	n := copy(p, s.unread)
	s.unread = s.unread[n:]
	if len(s.unread) == 0 {
		s.unread = nil
		s.begun.replace(nil)
	}
	return n, nil
}
