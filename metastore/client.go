package metastore

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/micarudder/micarudder/internal/etcdjson"
	"github.com/micarudder/micarudder/internal/httpresponse"
	"golang.org/x/time/rate"
)

// maxResponseBytes bounds the size of one response.
const maxResponseBytes = 64 << 20

// errRateLimited is the cause when the client's own rate limiter rejects a
// call.
var errRateLimited = errors.New("client-side rate limit exceeded")

// Client implements Store and HostLister over net/http. It is safe for
// concurrent use and runs no goroutine between calls.
type Client struct {
	options     Options
	http        *http.Client
	baseURLs    []string
	preferred   atomic.Int64 // index of the address to try first
	reads       *rate.Limiter
	writes      *rate.Limiter
	leases      *rate.Limiter
	counters    *counters
	lastContact atomic.Pointer[time.Time]

	mu      sync.Mutex
	history history
}

var (
	_ Store           = (*Client)(nil)
	_ HostLister      = (*Client)(nil)
	_ ContactReporter = (*Client)(nil)
)

// NewClient returns a client without making a call. Invalid options are
// rejected with trace.BadParameter.
func NewClient(o Options) (*Client, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	o = o.withDefaults()
	own := *o.HTTPClient
	own.Timeout = 0 // a watch is unbounded; each attempt has its own timeout
	own.Transport = httpresponse.NewTransport(cmp.Or(own.Transport, http.DefaultTransport))
	own.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	c := &Client{
		options:  o,
		http:     &own,
		reads:    newLimiter(o.ReadRate),
		writes:   newLimiter(o.WriteRate),
		leases:   newLimiter(o.LeaseRate),
		counters: newCounters(o.Metrics),
	}
	for _, a := range o.Addresses {
		c.baseURLs = append(c.baseURLs, baseURL(a))
	}
	return c, nil
}

// recordContact records the time of a response or watch frame.
func (c *Client) recordContact() {
	now := time.Now()
	c.lastContact.Store(&now)
}

// LastContact implements ContactReporter.
func (c *Client) LastContact() time.Time {
	if at := c.lastContact.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// request is a call that has not been assigned an address yet.
type request struct {
	kind   Kind
	method string
	path   string
	body   []byte
}

// postRequest returns a POST request with message encoded as JSON.
func postRequest(kind Kind, path string, message any) (request, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return request{}, &CallError{Kind: kind, Outcome: ErrUnavailable, Cause: err}
	}
	return request{kind: kind, method: http.MethodPost, path: path, body: body}, nil
}

// call sends message, decodes the response with decode and checks the store
// state that the response reports.
func (c *Client) call(ctx context.Context, kind Kind, path string, message any, decode func([]byte) (storeState, error)) error {
	r, err := postRequest(kind, path, message)
	if err != nil {
		return err
	}
	atSend := c.baseline()
	var state storeState
	err = c.roundTrip(ctx, r, func(data []byte) error {
		var err error
		state, err = decode(data)
		return err
	})
	if err != nil {
		return err
	}
	return c.observe(kind, atSend, state)
}

// roundTrip makes one attempt. It goes on to the next address only if the
// address failed and the request certainly had no effect.
func (c *Client) roundTrip(ctx context.Context, r request, decode func([]byte) error) error {
	var err error
	first := int(c.preferred.Load())
	for i := range c.baseURLs {
		index := (first + i) % len(c.baseURLs)
		err = c.attempt(ctx, r, c.baseURLs[index], decode)
		if err == nil {
			c.preferred.Store(int64(index))
			return nil
		}
		if !addressFailed(err) {
			return err
		}
		c.preferred.Store(int64((index + 1) % len(c.baseURLs)))
		if !errors.Is(err, ErrUnavailable) || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// addressFailed reports whether err is a failure of the address rather than a
// rejection of the request. A request that the service or the rate limiter
// rejected would be rejected at any other address too.
func addressFailed(err error) bool {
	var statusErr *statusError
	if errors.As(err, &statusErr) {
		return statusErr.status >= http.StatusInternalServerError
	}
	return !errors.Is(err, errRateLimited)
}

// attempt makes one call to one address.
func (c *Client) attempt(ctx context.Context, r request, base string, decode func([]byte) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	if err := c.awaitLimiter(ctx, r.kind); err != nil {
		return err
	}
	start := time.Now()
	result := c.exchange(ctx, r, base, decode)
	err := c.callError(r.kind, base, result)
	c.counters.recordAttempt(r.kind, err, start)
	return err
}

// callError converts the result of an attempt to an error; it is nil for a
// success.
func (c *Client) callError(kind Kind, base string, result attemptResult) error {
	outcome := classify(kind.writes(), result)
	if outcome == nil {
		c.recordContact()
		return nil
	}
	cause := result.err
	if cause == nil {
		cause = &statusError{status: result.status, message: result.message}
	}
	return &CallError{Kind: kind, Address: base, Outcome: outcome, Cause: cause}
}

// awaitLimiter waits for the rate limiter. A call that cannot be sent before
// its deadline fails immediately.
func (c *Client) awaitLimiter(ctx context.Context, kind Kind) error {
	if err := c.limiter(kind).Wait(ctx); err != nil {
		c.counters.rateLimited[kind].Inc()
		cause := fmt.Errorf("%w: %w", errRateLimited, err)
		if ctx.Err() != nil {
			cause = ctx.Err()
		}
		return &CallError{Kind: kind, Outcome: ErrUnavailable, Cause: cause}
	}
	return nil
}

// limiter returns the rate limiter for calls of this kind.
func (c *Client) limiter(kind Kind) *rate.Limiter {
	switch {
	case kind == KindKeepAlive:
		return c.leases
	case kind.writes():
		return c.writes
	default:
		return c.reads
	}
}

// exchange sends the request and reads and decodes the complete response.
func (c *Client) exchange(ctx context.Context, r request, base string, decode func([]byte) error) attemptResult {
	res, sent, err := c.send(ctx, r, base)
	if err != nil {
		return attemptResult{sent: sent, err: err}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes+1))
	if err != nil {
		return attemptResult{sent: true, err: err}
	}
	if res.StatusCode != http.StatusOK {
		return attemptResult{sent: true, status: res.StatusCode, message: errorMessage(data)}
	}
	if len(data) > maxResponseBytes {
		return attemptResult{sent: true, err: fmt.Errorf("response exceeds %d bytes", maxResponseBytes)}
	}
	if err := decode(data); err != nil {
		return attemptResult{sent: true, err: err}
	}
	return attemptResult{sent: true, status: res.StatusCode}
}

// send sends the request; sent reports whether any part of it may have been
// transmitted.
func (c *Client) send(ctx context.Context, r request, base string) (res *http.Response, sent bool, err error) {
	req, err := http.NewRequestWithContext(ctx, r.method, base+r.path, nil)
	if err != nil {
		return nil, false, err
	}
	var readStarted atomic.Bool
	if r.body != nil {
		req.Header.Set("Content-Type", "application/json")
		req.ContentLength = int64(len(r.body))
		req.Body = newTrackedBody(r.body, &readStarted)
		req.GetBody = func() (io.ReadCloser, error) { return newTrackedBody(r.body, &readStarted), nil }
	}
	res, err = c.http.Do(req)
	return res, readStarted.Load(), err
}

// trackedBody is a request body that records when the transport starts to read
// it. The transport does so only once it has a connection.
type trackedBody struct {
	*bytes.Reader
	readStarted *atomic.Bool
}

// newTrackedBody returns an unread body and clears readStarted: the transport
// asks for a second body only if nothing of the first one was processed.
func newTrackedBody(body []byte, readStarted *atomic.Bool) *trackedBody {
	readStarted.Store(false)
	return &trackedBody{Reader: bytes.NewReader(body), readStarted: readStarted}
}

// Read implements io.Reader.
func (t *trackedBody) Read(p []byte) (int, error) {
	t.readStarted.Store(true)
	return t.Reader.Read(p)
}

// WriteTo implements io.WriterTo, which io.Copy prefers to Read.
func (t *trackedBody) WriteTo(w io.Writer) (int64, error) {
	t.readStarted.Store(true)
	return t.Reader.WriteTo(w)
}

// Close implements io.Closer.
func (t *trackedBody) Close() error { return nil }

// statusError is a response with a status other than 200.
type statusError struct {
	status  int
	message string
}

// Error implements error.
func (e *statusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.status, e.message)
}

// errorMessage extracts the message of an error response.
func errorMessage(data []byte) string {
	var e etcdjson.Error
	if json.Unmarshal(data, &e) != nil {
		return ""
	}
	return e.Message
}

// baseline returns the store state known at this moment.
func (c *Client) baseline() baseline {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.history.baseline()
}

// observe checks the state that a response reports against the states seen
// before.
func (c *Client) observe(kind Kind, atSend baseline, state storeState) error {
	c.mu.Lock()
	seen := c.history.highest
	otherCluster := c.history.otherCluster(state)
	v := c.history.observe(atSend, state, time.Now())
	c.mu.Unlock()
	if v == current {
		return nil
	}
	c.counters.staleResponses.Inc()
	if v == restored {
		c.counters.restores.Inc()
		c.options.OnRestore(seen, state.revision)
	}
	return &RestoredError{Kind: kind, Seen: seen, Now: state.revision, OtherCluster: otherCluster, Confirmed: v == restored}
}
