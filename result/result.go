// Package result defines the numbered result codes that callers, operators and the inner
// protocol share. Every code states whether the request ran and whether a retry can help. A
// test compares docs/RESULT-CODES.md with this table.
package result

import "net/http"

// Code is a numbered result code. The thousands digit is the group: 1 success, 2 refused
// because of the caller, 3 refused for lack of capacity or time, 4 outcome unknown, 5 ran and
// failed, 6 configuration.
type Code uint32

// Outcome states what is known about whether a request was executed. Its values equal those of
// rudder.v1.Outcome.
type Outcome int32

// The outcomes of a code.
const (
	OutcomeUnspecified Outcome = 0
	NotRun             Outcome = 1
	Ran                Outcome = 2
	MayHaveRun         Outcome = 3
)

// String returns the outcome as written in a problem document.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not run"
	case Ran:
		return "ran"
	case MayHaveRun:
		return "may have run"
	default:
		return "unspecified"
	}
}

// Advice states whether and how a caller may retry.
type Advice int

// The kinds of advice.
const (
	AdviceNone     Advice = iota // a retry is pointless or not needed
	AdviceFix                    // correct the request first
	AdviceLater                  // retry after Retry-After
	AdviceTicket                 // retry with the same ticket or key, or void it
	AdviceOperator               // an operator has to act
)

// String returns the advice as written in docs/RESULT-CODES.md.
func (a Advice) String() string {
	switch a {
	case AdviceFix:
		return "correct the request"
	case AdviceLater:
		return "ask again after `Retry-After`"
	case AdviceTicket:
		return "ask with the same ticket or key, or void it"
	case AdviceOperator:
		return "an operator has to act"
	default:
		return "none"
	}
}

// The result codes. A number is never reused.
const (
	OK       Code = 1000
	Attached Code = 1001
	Voided   Code = 1002
	Canceled Code = 1003

	BadRequest      Code = 2001
	TooLarge        Code = 2002
	BadKey          Code = 2003
	UnknownModel    Code = 2004
	UnknownService  Code = 2005
	NotAllowed      Code = 2006
	PromptTooLong   Code = 2007
	BadTicket       Code = 2008
	TicketExpired   Code = 2009
	TicketVoided    Code = 2010
	UnknownRun      Code = 2011
	BadHeader       Code = 2012
	SlowSender      Code = 2013
	MethodNotServed Code = 2014
	OffsetPast      Code = 2015
	KeyReused       Code = 2016

	Overloaded      Code = 3001
	DeadlineTooNear Code = 3002
	WorkspaceLimit  Code = 3003
	NoEndpoint      Code = 3004
	Draining        Code = 3005
	OldGeneration   Code = 3006
	ClaimsAway      Code = 3007
	RecordsFull     Code = 3008
	OrderExpired    Code = 3009
	MemoryHeld      Code = 3010
	EndpointRefused Code = 3011
	BreakerOpen     Code = 3012
	NotConfigured   Code = 3013
	Starting        Code = 3014
	BodyMemoryFull  Code = 3015

	EndpointLost    Code = 4001
	AgentLost       Code = 4002
	IncarnationGone Code = 4003
	DeadlinePassed  Code = 4004
	OrderUnanswered Code = 4005
	AnswerDropped   Code = 4006

	EndpointFailed   Code = 5001
	AnswerDamaged    Code = 5002
	DeadlineInAnswer Code = 5003
	ReaderTooSlow    Code = 5004
	AnswerTooLong    Code = 5005

	PlanStale       Code = 6001
	PlanUnknown     Code = 6002
	DeclarationBad  Code = 6003
	PlanBreaks      Code = 6004
	PlatformAway    Code = 6005
	GenerationBack  Code = 6006
	FenceOld        Code = 6007
	PlanSuperseded  Code = 6008
	DocumentTooBig  Code = 6009
	LeaseLost       Code = 6010
	OrderInProgress Code = 6011
)

// Info describes one code.
type Info struct {
	Code    Code
	Name    string
	Status  int     // HTTP status returned to callers; 0 if the code is never sent to one
	Outcome Outcome // default outcome; the evidence in a response may support more or less
	Advice  Advice
	Text    string // one sentence for people
}

var infos = []Info{
	{OK, "ok", http.StatusOK, Ran, AdviceNone, "The request ran and its answer is whole."},
	{Attached, "attached", http.StatusOK, Ran, AdviceNone, "The answer belongs to a run that existed before this request."},
	{Voided, "voided", http.StatusOK, NotRun, AdviceNone, "The request did not run and will not run under this ticket."},
	{Canceled, "canceled", 499, MayHaveRun, AdviceNone, "The caller gave the request up."},

	{BadRequest, "bad-request", http.StatusBadRequest, NotRun, AdviceFix, "The request body or a parameter cannot be read."},
	{TooLarge, "too-large", http.StatusRequestEntityTooLarge, NotRun, AdviceFix, "The request body is larger than the gateway accepts."},
	{BadKey, "bad-key", http.StatusUnauthorized, NotRun, AdviceFix, "The bearer key is missing or names no workspace."},
	{UnknownModel, "unknown-model", http.StatusNotFound, NotRun, AdviceFix, "No such model is declared for this workspace."},
	{UnknownService, "unknown-service", http.StatusNotFound, NotRun, AdviceFix, "No such service is declared for this workspace."},
	{NotAllowed, "not-allowed", http.StatusForbidden, NotRun, AdviceFix, "The workspace may not use this model, service or ticket."},
	{PromptTooLong, "prompt-too-long", http.StatusBadRequest, NotRun, AdviceFix, "The prompt and the answer do not fit the model's longest context."},
	{BadTicket, "bad-ticket", http.StatusBadRequest, NotRun, AdviceFix, "The ticket is malformed, signed by an unknown key or made for another workspace."},
	{TicketExpired, "ticket-expired", http.StatusGone, MayHaveRun, AdviceNone, "The ticket's time is over; this presentation did not run, an earlier one may have."},
	{TicketVoided, "ticket-voided", http.StatusConflict, NotRun, AdviceFix, "The ticket was voided; fetch a new one."},
	{UnknownRun, "unknown-run", http.StatusNotFound, MayHaveRun, AdviceTicket, "The agent has no run under this ticket yet."},
	{BadHeader, "bad-header", http.StatusBadRequest, NotRun, AdviceFix, "A header has a value that cannot be used."},
	{SlowSender, "slow-sender", http.StatusRequestTimeout, NotRun, AdviceFix, "The request body did not arrive in time."},
	{MethodNotServed, "method-not-served", http.StatusMethodNotAllowed, NotRun, AdviceFix, "This path does not serve the method or does not exist."},
	{OffsetPast, "offset-past", http.StatusRequestedRangeNotSatisfiable, Ran, AdviceTicket, "The requested offset lies past the answer's end."},
	{KeyReused, "key-reused", http.StatusUnprocessableEntity, NotRun, AdviceFix, "The idempotency key was used before with another request."},

	{Overloaded, "overloaded", http.StatusServiceUnavailable, NotRun, AdviceLater, "The request cannot be finished in its time by the endpoints of this model."},
	{DeadlineTooNear, "deadline-too-near", http.StatusServiceUnavailable, NotRun, AdviceLater, "The time left is shorter than the predicted run."},
	{WorkspaceLimit, "workspace-limit", http.StatusTooManyRequests, NotRun, AdviceLater, "The workspace is over its declared limit."},
	{NoEndpoint, "no-endpoint", http.StatusServiceUnavailable, NotRun, AdviceLater, "No live endpoint serves this model or service."},
	{Draining, "draining", http.StatusServiceUnavailable, NotRun, AdviceLater, "The process is leaving and takes no new work."},
	{OldGeneration, "old-generation", http.StatusServiceUnavailable, NotRun, AdviceLater, "The order was planned under an older configuration."},
	{ClaimsAway, "claims-away", http.StatusServiceUnavailable, NotRun, AdviceLater, "An unrepeatable request with a bare key needs the platform, which is away; use a ticket or come back."},
	{RecordsFull, "records-full", http.StatusServiceUnavailable, NotRun, AdviceLater, "The agent cannot keep another run record."},
	{OrderExpired, "order-expired", http.StatusServiceUnavailable, NotRun, AdviceLater, "The order reached the agent after its time."},
	{MemoryHeld, "memory-held", http.StatusServiceUnavailable, NotRun, AdviceLater, "The memory for so long a prompt could not be reserved in time."},
	{EndpointRefused, "endpoint-refused", http.StatusServiceUnavailable, NotRun, AdviceLater, "The endpoint refused the request before running it."},
	{BreakerOpen, "breaker-open", http.StatusServiceUnavailable, NotRun, AdviceLater, "The endpoints of this model fail at present."},
	{NotConfigured, "not-configured", http.StatusServiceUnavailable, NotRun, AdviceLater, "The gateway has not received a configuration yet."},
	{Starting, "starting", http.StatusServiceUnavailable, NotRun, AdviceLater, "The agent has not finished starting."},
	{BodyMemoryFull, "body-memory-full", http.StatusServiceUnavailable, NotRun, AdviceLater, "The gateway has no memory for another request body of this size."},

	{EndpointLost, "endpoint-lost", http.StatusBadGateway, MayHaveRun, AdviceTicket, "The endpoint was lost after the order was sent to it."},
	{AgentLost, "agent-lost", http.StatusBadGateway, MayHaveRun, AdviceTicket, "The agent was lost after the order was sent to it."},
	{IncarnationGone, "incarnation-gone", http.StatusGone, MayHaveRun, AdviceNone, "The agent that this ticket names has restarted; its records are gone. A ticket that was never presented before did not run: fetch another."},
	{DeadlinePassed, "deadline-passed", http.StatusGatewayTimeout, MayHaveRun, AdviceTicket, "The time was over before the outcome was known."},
	{OrderUnanswered, "order-unanswered", http.StatusBadGateway, MayHaveRun, AdviceTicket, "The order was sent and no answer came."},
	{AnswerDropped, "answer-dropped", http.StatusGone, Ran, AdviceNone, "The request ran; its answer is no longer kept."},

	{EndpointFailed, "endpoint-failed", http.StatusBadGateway, Ran, AdviceNone, "The endpoint ran the request and reported a failure."},
	{AnswerDamaged, "answer-damaged", http.StatusBadGateway, Ran, AdviceTicket, "The answer's length or checksum did not match."},
	{DeadlineInAnswer, "deadline-in-answer", http.StatusGatewayTimeout, Ran, AdviceTicket, "The time was over in the middle of the answer."},
	{ReaderTooSlow, "reader-too-slow", http.StatusRequestTimeout, Ran, AdviceTicket, "The caller read its answer too slowly; attach again to go on."},
	{AnswerTooLong, "answer-too-long", http.StatusBadGateway, Ran, AdviceNone, "The answer outgrew the space that the agent has for answers."},

	{PlanStale, "plan-stale", 0, NotRun, AdviceFix, "Another configuration was accepted after this plan was made."},
	{PlanUnknown, "plan-unknown", 0, MayHaveRun, AdviceTicket, "Whether the plan was accepted is unknown; ask again with the same plan id."},
	{DeclarationBad, "declaration-bad", 0, NotRun, AdviceFix, "The declarations contain mistakes."},
	{PlanBreaks, "plan-breaks", 0, NotRun, AdviceFix, "The plan would break a promise and was not forced by name."},
	{PlatformAway, "platform-away", 0, NotRun, AdviceLater, "The platform's service cannot be reached; nothing was changed."},
	{GenerationBack, "generation-back", 0, NotRun, AdviceOperator, "The platform's service returned an older configuration than one seen before."},
	{FenceOld, "fence-old", 0, NotRun, AdviceNone, "The order carried an old fencing number."},
	{PlanSuperseded, "plan-superseded", 0, Ran, AdviceNone, "The plan was accepted and a later one has replaced it since."},
	{DocumentTooBig, "document-too-big", 0, NotRun, AdviceFix, "The configuration is larger than the platform's service stores in one value."},
	{LeaseLost, "lease-lost", 0, NotRun, AdviceLater, "The lease lapsed before the action began."},
	{OrderInProgress, "order-in-progress", 0, NotRun, AdviceLater, "The endpoint is still busy with an earlier order."},
}

var byCode = func() map[Code]Info {
	m := make(map[Code]Info, len(infos))
	for _, i := range infos {
		m[i.Code] = i
	}
	return m
}()

// All returns the descriptions of all codes, ordered by number.
func All() []Info { return append([]Info(nil), infos...) }

// Lookup returns the description of c. An unknown code, which a newer peer may send, is
// described as a failure that may have run.
func Lookup(c Code) Info {
	if i, ok := byCode[c]; ok {
		return i
	}
	return Info{Code: c, Name: "unknown-code", Status: http.StatusBadGateway, Outcome: MayHaveRun, Text: "A result code of a newer release."}
}

// String returns the name of the code.
func (c Code) String() string { return Lookup(c).Name }

// Err is an error with a result code. All decisions and API boundaries in this repository use
// it.
type Err struct {
	Code       Code
	Outcome    Outcome // overrides the default outcome of the code unless unspecified
	Detail     string
	RetryAfter int64 // milliseconds; 0 if unknown
}

// New returns an Err with the default outcome of the code.
func New(c Code, detail string) *Err { return &Err{Code: c, Detail: detail} }

// Error implements error.
func (e *Err) Error() string {
	if e.Detail == "" {
		return e.Code.String()
	}
	return e.Code.String() + ": " + e.Detail
}

// Known returns what the error states about execution.
func (e *Err) Known() Outcome {
	if e.Outcome != OutcomeUnspecified {
		return e.Outcome
	}
	return Lookup(e.Code).Outcome
}
