package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

// Headers of the callers' API.
const (
	headerTicket     = "Rudder-Ticket"
	headerRequest    = "Rudder-Request-Id"
	headerRepeatable = "Rudder-Repeatable"
	headerDeadline   = "Rudder-Deadline"
	headerKey        = "Idempotency-Key"
	headerLastEvent  = "Last-Event-ID"
	headerEarly      = "Rudder-Early-Ticket"
)

// setRunHeaders sets the response headers that identify the run.
func setRunHeaders(h http.Header, ticket, id string) {
	h.Set(headerTicket, ticket)
	h.Set(headerRequest, id)
}

// sendEarlyHints sends the ticket and the request ID as an informational
// response. It does so only if the caller has asked for it, because some HTTP
// clients take any informational response other than 100 for the final one.
func sendEarlyHints(x *exchange) bool {
	if x.r.Header.Get(headerEarly) != "true" {
		return false
	}
	h := x.raw.Header()
	h.Set(headerTicket, x.w.Header().Get(headerTicket))
	h.Set(headerRequest, x.w.Header().Get(headerRequest))
	x.raw.WriteHeader(http.StatusEarlyHints)
	return true
}

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

// problemOf returns the problem for an end other than a complete response.
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
	if info.Advice == result.AdviceLater && p.RetryAfterMS <= 0 {
		p.RetryAfterMS = defaultRetryAfter.Milliseconds()
	}
	return p
}

// writeProblem writes the problem as the complete response.
func writeProblem(w http.ResponseWriter, p problem) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	if p.RetryAfterMS > 0 {
		h.Set("Retry-After", strconv.FormatInt(ceilSeconds(p.RetryAfterMS), 10))
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

// refuse answers a request that was not admitted. If the request names a run,
// an earlier presentation of that name may have run, so the outcome is not
// reported as "not run".
func (g *Gateway) refuse(w http.ResponseWriter, r *http.Request, err *result.Err) {
	g.meter.recordRefusal(err.Code)
	end := endOf(err)
	if namesRun(r) && !rejectsName(err.Code) && end.Outcome == rudderv1.Outcome_OUTCOME_NOT_RUN {
		end.Outcome = rudderv1.Outcome_OUTCOME_MAY_HAVE_RUN
	}
	writeProblem(w, problemOf(end, "", ""))
}

// namesRun reports whether the request names a run, by a ticket or an
// idempotency key.
func namesRun(r *http.Request) bool {
	return r.Header.Get(headerTicket) != "" || r.Header.Get(headerKey) != "" || strings.HasPrefix(r.URL.Path, runsPath)
}

// rejectsName reports whether the code means that the presented name does not
// belong to this request.
func rejectsName(c result.Code) bool { return c == result.BadTicket || c == result.KeyReused }
