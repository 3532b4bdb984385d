package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
)

// doneMarker is the data of the event that terminates a complete stream.
var doneMarker = []byte("[DONE]")

var errBadChunk = errors.New("unreadable stream event")

// chunk is one event of a chat or text completion.
type chunk struct {
	Choices []choice     `json:"choices"`
	Tokens  *uint32      `json:"tokens"`
	Usage   *chunkUsage  `json:"usage"`
	Error   *ErrorDetail `json:"error"`
}

type choice struct {
	Text         string `json:"text"`
	Delta        delta  `json:"delta"`
	FinishReason string `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content"`
}

type chunkUsage struct {
	PromptTokens     uint64 `json:"prompt_tokens"`
	CompletionTokens uint64 `json:"completion_tokens"`
	Details          struct {
		CachedTokens uint64 `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// stream implements Stream. It holds the finishing event back until the done
// marker has arrived, so that a truncated stream never looks complete.
type stream struct {
	resp   *http.Response
	events *sseReader
	finish string
	usage  Usage
	err    error // returned by all later calls of Recv
}

func newStream(resp *http.Response) *stream {
	return &stream{resp: resp, events: newSSEReader(resp.Body)}
}

// Recv implements Stream.
func (s *stream) Recv() (Event, error) {
	for s.err == nil {
		ev, ok, err := s.readEvent()
		if err != nil {
			s.err = err
			_ = s.resp.Body.Close()
			break
		}
		if ok {
			return ev, nil
		}
	}
	return Event{}, s.err
}

// readEvent reads one event; ok reports whether there is an event to return to
// the caller.
func (s *stream) readEvent() (Event, bool, error) {
	data, err := s.events.next()
	if err != nil {
		return Event{}, false, s.lostError(err)
	}
	if bytes.Equal(data, doneMarker) {
		return s.finalEvent()
	}
	return s.parseChunk(data)
}

// finalEvent returns the finishing event. A done marker without a preceding
// finish reason does not complete a response.
func (s *stream) finalEvent() (Event, bool, error) {
	if s.finish == "" {
		return Event{}, false, s.lostError(errBadChunk)
	}
	s.err = io.EOF
	_ = s.resp.Body.Close()
	return Event{Finish: s.finish, Usage: s.usage}, true, nil
}

func (s *stream) parseChunk(data []byte) (Event, bool, error) {
	var c chunk
	if json.Unmarshal(data, &c) != nil {
		return Event{}, false, s.lostError(errBadChunk)
	}
	if c.Error != nil {
		return Event{}, false, &Error{Op: opRecv, Kind: ErrFailed, Detail: c.Error.Message}
	}
	if c.Usage != nil {
		s.usage = Usage{c.Usage.PromptTokens, c.Usage.Details.CachedTokens, c.Usage.CompletionTokens}
	}
	if len(c.Choices) == 0 {
		return Event{}, false, nil
	}
	first := c.Choices[0]
	text := first.Text + first.Delta.Content
	if text != "" && s.finish != "" {
		return Event{}, false, s.lostError(errBadChunk)
	}
	if first.FinishReason != "" {
		s.finish = first.FinishReason
	}
	if text == "" {
		return Event{}, false, nil
	}
	return Event{Text: []byte(text), Tokens: tokenCount(c)}, true, nil
}

// tokenCount returns the engine's token count of an event. An engine that does
// not send a count sends one token per event.
func tokenCount(c chunk) uint32 {
	if c.Tokens == nil {
		return 1
	}
	return *c.Tokens
}

func (s *stream) lostError(cause error) error {
	if errors.Is(cause, io.EOF) {
		cause = io.ErrUnexpectedEOF
	}
	return &Error{Op: opRecv, Kind: ErrLost, Cause: cause}
}

// Close implements Stream. The engine detects the closed connection and ends
// the run.
func (s *stream) Close() error { return s.resp.Body.Close() }
