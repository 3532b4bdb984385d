package metastore

import (
	"bytes"
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
	"golang.org/x/time/rate"
)

// maxReply bounds the bytes of one answer.
const maxReply = 64 << 20

// errLimited is the cause when the client's own limiter refuses a call.
var errLimited = errors.New("over this client's share of the rate")

// Client is the Store and HostLister over net/http. It is safe for concurrent
// use and holds no goroutine between calls.
type Client struct {
	options   Options
	http      *http.Client
	bases     []string
	preferred atomic.Int64 // index of the address that answered last
	reads     *rate.Limiter
	writes    *rate.Limiter
	leases    *rate.Limiter
	counters  *counters
	heard     atomic.Pointer[time.Time]

	mu      sync.Mutex
	history history
}

var (
	_ Store      = (*Client)(nil)
	_ HostLister = (*Client)(nil)
	_ Contact    = (*Client)(nil)
)

// NewClient returns a client; it makes no call. Settings that cannot work are
// refused with trace.BadParameter.
func NewClient(o Options) (*Client, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	o = o.withDefaults()
	own := *o.HTTPClient
	own.Timeout = 0 // a watch has no end; attempts have their own timeout
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
		c.bases = append(c.bases, baseURL(a))
	}
	return c, nil
}

// contact notes that the service was heard.
func (c *Client) contact() {
	now := time.Now()
	c.heard.Store(&now)
}

// Heard implements Contact.
func (c *Client) Heard() time.Time {
	if at := c.heard.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// request is one call before it has an address.
type request struct {
	kind   Kind
	method string
	path   string
	body   []byte
}

// post returns the request that carries message as JSON.
func post(kind Kind, path string, message any) (request, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return request{}, &CallError{Kind: kind, Ending: ErrUnavailable, Cause: err}
	}
	return request{kind: kind, method: http.MethodPost, path: path, body: body}, nil
}

// call sends message, decodes the answer with decode and judges its state.
func (c *Client) call(ctx context.Context, kind Kind, path string, message any, decode func([]byte) (answer, error)) error {
	r, err := post(kind, path, message)
	if err != nil {
		return err
	}
	sent := c.mark()
	var a answer
	err = c.roundTrip(ctx, r, func(data []byte) error {
		var err error
		a, err = decode(data)
		return err
	})
	if err != nil {
		return err
	}
	return c.observe(kind, sent, a)
}

// roundTrip makes one attempt, or one per address as long as the request
// certainly had no effect.
func (c *Client) roundTrip(ctx context.Context, r request, decode func([]byte) error) error {
	var err error
	first := int(c.preferred.Load())
	for i := range c.bases {
		index := (first + i) % len(c.bases)
		err = c.attempt(ctx, r, c.bases[index], decode)
		if err == nil {
			c.preferred.Store(int64(index))
			return nil
		}
		if !away(err) {
			return err
		}
		c.preferred.Store(int64((index + 1) % len(c.bases)))
		if !errors.Is(err, ErrUnavailable) || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// away reports whether the service cannot be reached at an address. What it
// or the limiter refused would be refused at another one as well.
func away(err error) bool {
	var refusal *statusError
	if errors.As(err, &refusal) {
		return refusal.status >= http.StatusInternalServerError
	}
	return !errors.Is(err, errLimited)
}

// attempt makes one call at one address.
func (c *Client) attempt(ctx context.Context, r request, base string, decode func([]byte) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	if err := c.admit(ctx, r.kind); err != nil {
		return err
	}
	start := time.Now()
	rep := c.exchange(ctx, r, base, decode)
	err := c.judge(r.kind, base, rep)
	c.counters.attempt(r.kind, err, start)
	return err
}

// judge turns a reply into the call's error.
func (c *Client) judge(kind Kind, base string, rep reply) error {
	end := ending(kind.writes(), rep)
	if end == nil {
		c.contact()
		return nil
	}
	cause := rep.err
	if cause == nil {
		cause = &statusError{status: rep.status, message: rep.message}
	}
	return &CallError{Kind: kind, Address: base, Ending: end, Cause: cause}
}

// admit waits for the limiter and refuses at once what cannot be sent before
// the deadline.
func (c *Client) admit(ctx context.Context, kind Kind) error {
	if err := c.limiter(kind).Wait(ctx); err != nil {
		c.counters.refused[kind].Inc()
		cause := fmt.Errorf("%w: %w", errLimited, err)
		if ctx.Err() != nil {
			cause = ctx.Err()
		}
		return &CallError{Kind: kind, Ending: ErrUnavailable, Cause: cause}
	}
	return nil
}

// limiter returns the share of the rate that calls of this kind use.
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

// exchange sends the request and reads and decodes the whole answer.
func (c *Client) exchange(ctx context.Context, r request, base string, decode func([]byte) error) reply {
	res, sent, err := c.send(ctx, r, base)
	if err != nil {
		return reply{sent: sent, err: err}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxReply+1))
	if err != nil {
		return reply{sent: true, err: err}
	}
	if res.StatusCode != http.StatusOK {
		return reply{sent: true, status: res.StatusCode, message: errorMessage(data)}
	}
	if len(data) > maxReply {
		return reply{sent: true, err: fmt.Errorf("answer over %d bytes", maxReply)}
	}
	if err := decode(data); err != nil {
		return reply{sent: true, err: err}
	}
	return reply{sent: true, status: res.StatusCode}
}

// send sends the request; sent reports whether any of it may have left.
func (c *Client) send(ctx context.Context, r request, base string) (res *http.Response, sent bool, err error) {
	req, err := http.NewRequestWithContext(ctx, r.method, base+r.path, nil)
	if err != nil {
		return nil, false, err
	}
	var left atomic.Bool
	if r.body != nil {
		req.Header.Set("Content-Type", "application/json")
		req.ContentLength = int64(len(r.body))
		req.Body = newTracked(r.body, &left)
		req.GetBody = func() (io.ReadCloser, error) { return newTracked(r.body, &left), nil }
	}
	res, err = c.http.Do(req)
	return res, left.Load(), err
}

// tracked is a request body that notes when its first byte is taken. The
// transport takes it only once it has a connection.
type tracked struct {
	*bytes.Reader
	left *atomic.Bool
}

// newTracked returns a body not yet read. The transport asks for a second one
// only when nothing of the first was processed, so the note is cleared.
func newTracked(body []byte, left *atomic.Bool) *tracked {
	left.Store(false)
	return &tracked{Reader: bytes.NewReader(body), left: left}
}

// Read implements io.Reader.
func (t *tracked) Read(p []byte) (int, error) {
	t.left.Store(true)
	return t.Reader.Read(p)
}

// WriteTo implements io.WriterTo, which io.Copy prefers over Read.
func (t *tracked) WriteTo(w io.Writer) (int64, error) {
	t.left.Store(true)
	return t.Reader.WriteTo(w)
}

// Close implements io.Closer.
func (t *tracked) Close() error { return nil }

// statusError is an answer that is not a success.
type statusError struct {
	status  int
	message string
}

// Error implements error.
func (e *statusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.status, e.message)
}

// errorMessage extracts the service's text from an error's body.
func errorMessage(data []byte) string {
	var e etcdjson.Error
	if json.Unmarshal(data, &e) != nil {
		return ""
	}
	return e.Message
}

// mark returns what is known of the store's state now.
func (c *Client) mark() mark {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.history.mark()
}

// observe judges an answer against the history.
func (c *Client) observe(kind Kind, sent mark, a answer) error {
	c.mu.Lock()
	seen := c.history.high
	foreign := c.history.foreign(a)
	v := c.history.observe(sent, a, time.Now())
	c.mu.Unlock()
	if v == current {
		return nil
	}
	c.counters.older.Inc()
	if v == restored {
		c.counters.restores.Inc()
		c.options.OnRestore(seen, a.revision)
	}
	return &RestoredError{Kind: kind, Seen: seen, Now: a.revision, OtherCluster: foreign, Confirmed: v == restored}
}
