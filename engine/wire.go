package engine

// Headers that extend the standard completion protocol. They leave the caller's
// body unchanged.
const (
	// HeaderRequestID is the id of the run; it is unique per attempt.
	HeaderRequestID = "Engine-Request-Id"
	// HeaderPriority is a decimal number; lower numbers run first.
	HeaderPriority = "Engine-Priority"
	// HeaderStream set to "1" requests server-sent events regardless of the
	// body.
	HeaderStream = "Engine-Stream"
	// HeaderResumeBytes is the number of bytes of response text that precede
	// the JSON in the request body; the engine continues after this text.
	HeaderResumeBytes = "Engine-Resume-Bytes"
	// HeaderMaxTokens limits the number of output tokens.
	HeaderMaxTokens = "Engine-Max-Tokens"
	// HeaderImport lists, separated by commas, the handles of held spans that
	// cover the prompt from its first token on.
	HeaderImport = "Engine-Import"
	// HeaderSpanID is the id of a held span.
	HeaderSpanID = "Engine-Span-Id"
	// HeaderSpanOwner is the group or run that a span is held for.
	HeaderSpanOwner = "Engine-Span-Owner"
	// HeaderSpanStart is the index of the first token of a span.
	HeaderSpanStart = "Engine-Span-Start"
	// HeaderSpanTokens is the length of a span in tokens; 0 means up to the end
	// of the prompt.
	HeaderSpanTokens = "Engine-Span-Tokens"
	// HeaderSpanPath is the completion path that the span's body is meant for.
	HeaderSpanPath = "Engine-Span-Path"
)

// Paths of the protocol in addition to the completion paths.
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

// ErrorCode is the machine-readable part of an error response.
type ErrorCode string

// Codes of error responses. A response without one of them proves nothing about
// the run unless its status is a client error.
const (
	CodeRefused  ErrorCode = "refused"   // did not start
	CodeNoMemory ErrorCode = "no_memory" // did not start
	CodeNotFound ErrorCode = "not_found" // no such run, handle or model; did not start
	CodeOldFence ErrorCode = "old_fence" // order not executed
	CodeFailed   ErrorCode = "failed"    // ran and failed
)

// ErrorBody is the JSON body of every error response and of an error event in a
// stream.
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

// CacheEventsBody is the JSON body of the response to a cache events call.
type CacheEventsBody struct {
	Events []CacheEvent `json:"events"`
}
