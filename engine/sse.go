package engine

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

const (
	sseBufferBytes = 4 << 10
	// maxEventBytes bounds the size of one server-sent event.
	maxEventBytes = 1 << 20
)

var errEventTooLong = errors.New("server-sent event too long")

// sseReader reads the data of server-sent events and ignores comments and all
// other fields.
type sseReader struct {
	r    *bufio.Reader
	line []byte
	data []byte
}

func newSSEReader(r io.Reader) *sseReader {
	return &sseReader{r: bufio.NewReaderSize(r, sseBufferBytes)}
}

// next returns the data of the next event, which is valid until the following
// call. An event that is cut off by the end of the stream is not returned.
func (s *sseReader) next() ([]byte, error) {
	s.data = s.data[:0]
	hasData := false
	for {
		line, err := s.readLine()
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			if hasData {
				return s.data, nil
			}
			continue
		}
		value, ok := dataField(line)
		if !ok {
			continue
		}
		if hasData {
			s.data = append(s.data, '\n')
		}
		hasData = true
		s.data = append(s.data, value...)
		if len(s.data) > maxEventBytes {
			return nil, errEventTooLong
		}
	}
}

// readLine returns a line without its line ending.
func (s *sseReader) readLine() ([]byte, error) {
	s.line = s.line[:0]
	for {
		part, err := s.r.ReadSlice('\n')
		if err == nil && len(s.line) == 0 {
			return trimLineEnding(part), nil
		}
		s.line = append(s.line, part...)
		if len(s.line) > maxEventBytes {
			return nil, errEventTooLong
		}
		if err == nil {
			return trimLineEnding(s.line), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
}

func trimLineEnding(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

func dataField(line []byte) ([]byte, bool) {
	value, ok := bytes.CutPrefix(line, []byte("data:"))
	if !ok {
		return nil, false
	}
	return bytes.TrimPrefix(value, []byte(" ")), true
}
