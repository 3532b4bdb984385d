package load

import (
	"encoding/json"
	"time"

	"github.com/micarudder/micarudder/result"
)

// Headers of the callers' protocol.
const (
	headerKey        = "Idempotency-Key"
	headerTicket     = "Rudder-Ticket"
	headerRepeatable = "Rudder-Repeatable"
	headerDeadline   = "Rudder-Deadline"
	headerLastEvent  = "Last-Event-ID"
	headerRetryAfter = "Retry-After"
)

// Paths and event types of the callers' protocol.
const (
	pathTickets  = "/v1/tickets"
	pathRuns     = "/v1/runs/"
	eventRestart = "restart"
	eventError   = "error"
	endOfStream  = "[DONE]"

	typeProblem = "application/problem+json"
	typeEvents  = "text/event-stream"
)

// problem is the problem document in an error response.
type problem struct {
	Code         result.Code `json:"code"`
	Outcome      string      `json:"outcome"`
	Title        string      `json:"title"`
	Detail       string      `json:"detail"`
	RetryAfterMS int64       `json:"retry_after_ms"`
}

// errorEvent is the data of an error event in a stream.
type errorEvent struct {
	Error problem `json:"error"`
}

func (p problem) retryAfter() time.Duration {
	return time.Duration(p.RetryAfterMS) * time.Millisecond
}

// final maps the reported outcome to the final state of the request.
func (p problem) final() Final {
	switch p.Outcome {
	case result.NotRun.String():
		return Refused
	case result.Ran.String():
		return Failed
	default:
		return Unknown
	}
}

// completion holds the fields read from an answer or from one of its chunks.
type completion struct {
	Choices []struct {
		Delta   message `json:"delta"`
		Message message `json:"message"`
		Text    string  `json:"text"`
	} `json:"choices"`
}

func parseText(data []byte) (string, error) {
	var c completion
	if err := json.Unmarshal(data, &c); err != nil {
		return "", err
	}
	text := ""
	for _, ch := range c.Choices {
		text += ch.Delta.Content + ch.Message.Content + ch.Text
	}
	return text, nil
}

type ticketsRequest struct {
	Count      int    `json:"count"`
	Model      string `json:"model"`
	Repeatable bool   `json:"repeatable"`
}

type ticketsAnswer struct {
	Tickets []string `json:"tickets"`
}
