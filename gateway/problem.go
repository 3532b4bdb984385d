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

// Headers of the callers' face.
const (
	headerTicket     = "Rudder-Ticket"
	headerRequest    = "Rudder-Request-Id"
	headerRepeatable = "Rudder-Repeatable"
	headerDeadline   = "Rudder-Deadline"
	headerKey        = "Idempotency-Key"
	headerLastEvent  = "Last-Event-ID"
	headerEarly      = "Rudder-Early-Ticket"
)

// setNames names the run in the response's headers.
func setNames(h http.Header, ticket, id string) {
	h.Set(headerTicket, ticket)
	h.Set(headerRequest, id)
}

// earlyTicket sends the headers set so far as an informational response, to a
// caller that asked for it: some HTTP clients take any informational response
// but 100 for the answer.
func earlyTicket(x *exchange) bool {
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
	if info.Advice == result.AdviceLater && p.RetryAfterMS <= 0 {
		p.RetryAfterMS = comeBack.Milliseconds()
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

// refuse answers a request that was not admitted. Under a name that the caller
// presents, an earlier presentation may have run.
func (g *Gateway) refuse(w http.ResponseWriter, r *http.Request, err *result.Err) {
	g.meter.refusedEarly(err.Code)
	end := endOf(err)
	if named(r) && !nameless(err.Code) && end.Outcome == rudderv1.Outcome_OUTCOME_NOT_RUN {
		end.Outcome = rudderv1.Outcome_OUTCOME_MAY_HAVE_RUN
	}
	writeProblem(w, problemOf(end, "", ""))
}

// named reports whether the request presents a name of a run.
func named(r *http.Request) bool {
	return r.Header.Get(headerTicket) != "" || r.Header.Get(headerKey) != "" || strings.HasPrefix(r.URL.Path, pathRuns)
}

// nameless reports whether the code says that the presented name is not one of
// this request.
func nameless(c result.Code) bool { return c == result.BadTicket || c == result.KeyReused }
