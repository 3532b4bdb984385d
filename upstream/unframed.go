package upstream

import (
	"io"
	"net/http"
	"strings"

	"github.com/micarudder/micarudder/eventstream"
)

// StreamKind says whether the response to a request is a stream of events.
type StreamKind uint8

// The kinds of stream.
const (
	// NoStream: the response is no stream.
	NoStream StreamKind = iota
	// NewStream: the stream starts with its first event.
	NewStream
	// ResumedStream: the stream continues another one, whose last event may have been the last of all.
	ResumedStream
)

// unframed reports whether the response body ends with its connection.
func unframed(res *http.Response) bool {
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0
}

// IsEventStream reports whether a response to a request for a stream is one. It is, if it does not name
// another type.
func IsEventStream(res *http.Response) bool {
	kind := res.Header.Get("Content-Type")
	return res.StatusCode == http.StatusOK && (kind == "" || strings.HasPrefix(kind, "text/event-stream"))
}

// unframedStream is the body of a stream of events that ends with its connection. As nothing else tells a
// complete stream from one that broke, an end inside an event is io.ErrUnexpectedEOF.
type unframedStream struct {
	io.ReadCloser
	kind StreamKind
	tail eventstream.Tail
}

// Read implements io.Reader.
func (s *unframedStream) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	s.tail.Append(p[:n])
	if err == io.EOF && !s.complete() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (s *unframedStream) complete() bool {
	if s.tail.Empty() {
		return s.kind == ResumedStream
	}
	return s.tail.Complete()
}
