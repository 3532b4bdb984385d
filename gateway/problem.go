package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

// Headers of the callers' face.
const (
	headerTicket     = "Rudder-Ticket"
	headerRequest    = "Rudder-Request-Id"
	headerRepeatable = "Rudder-Repeatable"
	headerDeadline   = "Rudder-Deadline"
	headerKey        = "Idempotency-Key"
	headerLastEvent  = "Last-Event-ID"
)

// problem is an application/problem+json document (RFC 9457).
type problem struct {
	Type         string `json:"type"`
	Title        string `json:"title"`
	Status       int    `json:"status"`
	Detail       string `json:"detail,omitempty"`
	Code         uint32 `json:"code"`
	Outcome      string `json:"outcome,omitempty"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	RequestID    string `json:"request_id,omitempty"`
	Ticket       string `json:"ticket,omitempty"`
}

// problemOf describes an end that is not a whole answer.
func problemOf(end *rudderv1.End, id, ticket string) problem {
	info := result.Lookup(result.Code(end.Code))
	p := problem{
		Type: fmt.Sprintf("urn:micarudder:result:%d", end.Code), Title: info.Text, Status: info.Status, Detail: end.Detail,
		Code: end.Code, RetryAfterMS: end.RetryAfterMs, RequestID: id, Ticket: ticket,
	}
	if o := result.Outcome(end.Outcome); o != result.OutcomeUnspecified {
		p.Outcome = o.String()
	}
	if p.Status == 0 {
		p.Status = http.StatusInternalServerError
	}
	return p
}

// writeProblem sends the problem as the whole response.
func writeProblem(w http.ResponseWriter, p problem) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	if p.RetryAfterMS > 0 {
		h.Set("Retry-After", strconv.FormatInt(seconds(p.RetryAfterMS), 10))
	}
	if p.RequestID != "" {
		h.Set(headerRequest, p.RequestID)
	}
	if p.Ticket != "" {
		h.Set(headerTicket, p.Ticket)
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

// refuse answers a request that was not admitted.
func (g *Gateway) refuse(w http.ResponseWriter, err *result.Err) {
	g.meter.refusedEarly(err.Code)
	writeProblem(w, problemOf(endOf(err), "", ""))
}
