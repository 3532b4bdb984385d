package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// maxErrorBytes bounds what is read of an error answer.
const maxErrorBytes = 16 << 10

// Error is the error type of the client. errors.Is finds its Kind, and its
// Cause where there is one.
type Error struct {
	Op     string // method of Engine
	Kind   error  // one of the sentinel errors
	Status int    // HTTP status; 0 when there was no answer
	Detail string
	// RetryAfter is for how long the engine wants no more work, as its refusal says; 0: it does not say.
	RetryAfter time.Duration
	Cause      error
}

// Error implements error.
func (e *Error) Error() string {
	s := fmt.Sprintf("%s: %v", e.Op, e.Kind)
	if e.Status != 0 {
		s += fmt.Sprintf(" (status %d)", e.Status)
	}
	if e.Detail != "" {
		s += ": " + e.Detail
	}
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the kind and the cause.
func (e *Error) Unwrap() []error {
	if e.Cause == nil {
		return []error{e.Kind}
	}
	return []error{e.Kind, e.Cause}
}

// answerError turns an answer that is no success into an Error and closes it.
func answerError(op string, resp *http.Response) *Error {
	defer resp.Body.Close()
	raw, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	var b ErrorBody
	if json.Unmarshal(raw, &b) != nil {
		b = ErrorBody{}
	}
	e := &Error{Op: op, Status: resp.StatusCode, Detail: b.Error.Message, RetryAfter: retryAfter(resp)}
	e.Kind = kindOf(b.Error.Code, resp.StatusCode)
	if b.Error.Code == CodeNotFound && op == opStart {
		e.Kind, e.Cause = ErrRefused, ErrNotFound
	}
	return e
}

// maxRetryAfter bounds the time to come back that counts: a mistaken one must not cost an engine for good.
const maxRetryAfter = 10 * time.Minute

// retryAfter reads the seconds to come back that a refusal names; what is no whole number says nothing.
func retryAfter(resp *http.Response) time.Duration {
	if resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusTooManyRequests {
		return 0
	}
	seconds, err := strconv.ParseUint(resp.Header.Get("Retry-After"), 10, 31)
	if err != nil {
		return 0
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}

// kindOf maps an error code, or else the status, to a sentinel. A server error
// without a known code may come from anything between, so it proves nothing.
func kindOf(code ErrorCode, status int) error {
	switch code {
	case CodeRefused:
		return ErrRefused
	case CodeNoMemory:
		return ErrNoMemory
	case CodeNotFound:
		return ErrNotFound
	case CodeOldFence:
		return ErrFenced
	case CodeFailed:
		return ErrFailed
	}
	switch {
	case status == http.StatusRequestTimeout:
		return ErrLost
	case status >= 400 && status < 500:
		return ErrRefused
	default:
		return ErrLost
	}
}

// Certain reports whether err proves that the request did not start.
func Certain(err error) bool {
	return errors.Is(err, ErrRefused) || errors.Is(err, ErrNoMemory) || errors.Is(err, ErrUnreachable)
}
