// Package service is the client of a plain HTTP service that runs next to the
// model engines and is reached over the same path through gateway and agent.
package service

import (
	"context"
	"errors"
	"io"
	"net/http"
)

// Sentinel errors; test with errors.Is.
var (
	// ErrRefused: the call cannot be sent as it is; it certainly did not run.
	ErrRefused = errors.New("service: call cannot be sent")
	// ErrUnreachable: no connection could be established; the call certainly
	// did not run.
	ErrUnreachable = errors.New("service: unreachable")
	// ErrLost: the call was sent, and its response broke off or never arrived.
	ErrLost = errors.New("service: lost")
)

// Call is one call to the service.
type Call struct {
	ID     string // sent as the Rudder-Request-Id header
	Method string
	Path   string // with query
	Header http.Header
	Body   []byte
}

// Response is the response of the service; Body must be closed.
type Response struct {
	Status int // 200 to 599
	Header http.Header
	Body   io.ReadCloser // a read error other than io.EOF means ErrLost
}

// Service is one plain HTTP service behind an agent.
type Service interface {
	Do(ctx context.Context, c Call) (*Response, error)
}
