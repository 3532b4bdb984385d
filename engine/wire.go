package engine

// The headers by which the usual completion protocol is extended. They leave
// the caller's body as it came.
const (
	// HeaderRequestID names the run; unique per attempt.
	HeaderRequestID = "Engine-Request-Id"
	// HeaderPriority is a decimal number; lower runs first.
	HeaderPriority = "Engine-Priority"
	// HeaderStream set to "1" asks for server-sent events whatever the body says.
	HeaderStream = "Engine-Stream"
	// HeaderResumeBytes counts the bytes of answer text that stand before the
	// JSON in the request body; the engine continues after them.
	HeaderResumeBytes = "Engine-Resume-Bytes"
	// HeaderMaxTokens caps the output tokens.
	HeaderMaxTokens = "Engine-Max-Tokens"
	// HeaderImport lists handles of held spans, separated by commas, that
	// cover the prompt from its first token on.
	HeaderImport = "Engine-Import"
	// HeaderSpanID names a held span.
	HeaderSpanID = "Engine-Span-Id"
	// HeaderSpanOwner names the group or run that a span is held for.
	HeaderSpanOwner = "Engine-Span-Owner"
	// HeaderSpanStart is the first token of a span.
	HeaderSpanStart = "Engine-Span-Start"
	// HeaderSpanTokens is the length of a span; 0 means to the prompt's end.
	HeaderSpanTokens = "Engine-Span-Tokens"
	// HeaderSpanPath is the completion path that the span's body is meant for.
	HeaderSpanPath = "Engine-Span-Path"
)

// The paths of the protocol beside the completion paths.
const (
	PathCancel      = "/v1/cancel"
	PathLoad        = "/v1/load"
	PathCacheEvents = "/v1/cache/events"
	PathState       = "/v1/state"
	PathOrders      = "/v1/orders"
	PathPrefill     = "/v1/kv/prefill"
	PathExport      = "/v1/kv/export"
	PathImport      = "/v1/kv/import"
	PathFree        = "/v1/kv/free"
)

// ErrorCode is the machine-readable part of an error answer.
type ErrorCode string

// The codes of error answers. An answer without one of them proves nothing
// unless its status is a client error.
const (
	CodeRefused  ErrorCode = "refused"   // did not start
	CodeNoMemory ErrorCode = "no_memory" // did not start
	CodeNotFound ErrorCode = "not_found" // no such run, handle or model; did not start
	CodeOldFence ErrorCode = "old_fence" // order not carried out
	CodeFailed   ErrorCode = "failed"    // ran and failed
)

// ErrorBody is the JSON of every error answer and of an error inside a stream.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the content of an ErrorBody.
type ErrorDetail struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
}

// IDBody is the JSON body of the cancel, export and free calls.
type IDBody struct {
	ID string `json:"id"`
}

// CacheEventsBody is the JSON answer with cache events.
type CacheEventsBody struct {
	Events []CacheEvent `json:"events"`
}
