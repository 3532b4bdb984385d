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

// maxErrorBytes bounds how much of an error response is read.
const maxErrorBytes = 16 << 10

// Error is the error type of the client. errors.Is matches its Kind and, if
// there is one, its Cause.
type Error struct {
	Op     string // method of Engine
	Kind   error  // one of the sentinel errors
	Status int    // HTTP status; 0 if there was no response
	Detail string
	// RetryAfter is how long the engine wants no further work, taken from its
	// rejection; 0 means that it gave none.
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

// responseError converts a response other than a success to an Error and closes
// the response.
func responseError(op string, resp *http.Response) *Error {
	defer resp.Body.Close()
	raw, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	var b ErrorBody
	if json.Unmarshal(raw, &b) != nil {
		b = ErrorBody{}
	}
	e := &Error{Op: op, Status: resp.StatusCode, Detail: b.Error.Message, RetryAfter: retryAfter(resp)}
	e.Kind = errorKind(b.Error.Code, resp.StatusCode)
	if b.Error.Code == CodeNotFound && op == opStart {
		e.Kind, e.Cause = ErrRefused, ErrNotFound
	}
	return e
}

// maxRetryAfter caps the Retry-After time that is honoured, so that a mistaken
// value cannot take an engine out of use permanently.
const maxRetryAfter = 10 * time.Minute

// retryAfter returns the time from the Retry-After header of a rejection; a
// value that is not a whole number of seconds is ignored.
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

// errorKind maps an error code, or the status if the code is unknown, to a
// sentinel error. A server error without a known code may come from any
// intermediary, so it proves nothing about the run.
func errorKind(code ErrorCode, status int) error {
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

// NotStarted reports whether err proves that the request did not start.
func NotStarted(err error) bool {
	return errors.Is(err, ErrRefused) || errors.Is(err, ErrNoMemory) || errors.Is(err, ErrUnreachable)
}
