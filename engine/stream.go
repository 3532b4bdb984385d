package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
)

// doneMark is the data of the event that closes a whole stream.
var doneMark = []byte("[DONE]")

var errBadChunk = errors.New("unreadable stream event")

// chunk is one event of either completion path.
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

// stream implements Stream. The finishing event is held back until the
// closing mark has come, so that a cut stream never looks whole.
type stream struct {
	resp   *http.Response
	events *sseReader
	finish string
	usage  Usage
	err    error // of all later calls to Recv
}

func newStream(resp *http.Response) *stream {
	return &stream{resp: resp, events: newSSEReader(resp.Body)}
}

// Recv implements Stream.
func (s *stream) Recv() (Event, error) {
	for s.err == nil {
		ev, ok, err := s.step()
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

// step reads one event; ok says that there is something to return.
func (s *stream) step() (Event, bool, error) {
	data, err := s.events.next()
	if err != nil {
		return Event{}, false, s.lost(err)
	}
	if bytes.Equal(data, doneMark) {
		return s.last()
	}
	return s.chunk(data)
}

// last returns the finishing event; a mark without a finish reason before it
// does not close a whole answer.
func (s *stream) last() (Event, bool, error) {
	if s.finish == "" {
		return Event{}, false, s.lost(errBadChunk)
	}
	s.err = io.EOF
	_ = s.resp.Body.Close()
	return Event{Finish: s.finish, Usage: s.usage}, true, nil
}

func (s *stream) chunk(data []byte) (Event, bool, error) {
	var c chunk
	if json.Unmarshal(data, &c) != nil {
		return Event{}, false, s.lost(errBadChunk)
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
		return Event{}, false, s.lost(errBadChunk)
	}
	if first.FinishReason != "" {
		s.finish = first.FinishReason
	}
	if text == "" {
		return Event{}, false, nil
	}
	return Event{Text: []byte(text), Tokens: tokensOf(c)}, true, nil
}

// tokensOf returns the engine's count; a plain engine sends one token an event.
func tokensOf(c chunk) uint32 {
	if c.Tokens == nil {
		return 1
	}
	return *c.Tokens
}

func (s *stream) lost(cause error) error {
	if errors.Is(cause, io.EOF) {
		cause = io.ErrUnexpectedEOF
	}
	return &Error{Op: opRecv, Kind: ErrLost, Cause: cause}
}

// Close implements Stream. The engine sees the connection close and ends the run.
func (s *stream) Close() error { return s.resp.Body.Close() }
