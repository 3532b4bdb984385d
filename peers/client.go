package peers

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/micarudder/micarudder/internal/httpresponse"
)

const (
	// idleConnTimeout is how long a connection to another gateway is kept.
	idleConnTimeout = 5 * time.Second
	// maxDocumentBytes is the largest document or list of another gateway, decompressed.
	maxDocumentBytes = 4 << 20
	// maxAnswerBytes is the largest answer to a question.
	maxAnswerBytes = 64 << 10
	// maxHeadBytes is the largest head of a response.
	maxHeadBytes = 16 << 10
	// maxDecodedBytes is the most that a response may occupy once it is decoded.
	maxDecodedBytes = 8 << 20
	// objectBytes is what an object occupies besides its text.
	objectBytes = 256
)

// ErrTooLarge is returned for a response that is larger than any that a gateway sends.
var ErrTooLarge = errors.New("the response of the gateway is too large")

// Client sends HTTP requests to other gateways, which all listen on the same port. It is safe for
// concurrent use.
type Client struct {
	Port int // on which the other gateways listen
	http *http.Client
}

// NewClient returns a client. The timeout bounds each request; 0: only its context does. idlePerHost is how
// many idle connections are kept to one gateway.
func NewClient(port int, timeout time.Duration, idlePerHost int) *Client {
	return &Client{Port: port, http: &http.Client{Timeout: timeout, Transport: httpresponse.NewTransport(newTransport(idlePerHost))}}
}

func newTransport(idlePerHost int) *http.Transport {
	return &http.Transport{
		DialContext:         httpresponse.Dialer(new(net.Dialer).DialContext),
		MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: idleConnTimeout, MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// URL returns the URL of a path at the gateway with this address.
func (c *Client) URL(gateway netip.AddrPort, path string) string {
	return "http://" + net.JoinHostPort(gateway.Addr().String(), strconv.Itoa(c.Port)) + path
}

// Get requests a document or a list and decodes it from JSON into into.
func (c *Client) Get(ctx context.Context, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	return c.do(req, maxDocumentBytes, into)
}

// Post sends a question as JSON and decodes the answer from JSON into into.
func (c *Client) Post(ctx context.Context, url string, body, into any) error {
	p, err := json.Marshal(body)
	if err != nil {
		return trace.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(p))
	if err != nil {
		return trace.Wrap(err)
	}
	return c.do(req, maxAnswerBytes, into)
}

func (c *Client) do(req *http.Request, maxBytes int64, into any) error {
	res, err := c.http.Do(req)
	if err != nil {
		c.CloseIdle() // they may have become unresponsive together
		return trace.Wrap(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return trace.Errorf("%s: %s", req.URL, res.Status)
	}
	p, err := io.ReadAll(io.LimitReader(res.Body, maxBytes+1))
	if err != nil {
		return trace.Wrap(err)
	}
	if int64(len(p)) > maxBytes || len(p)+objectBytes*bytes.Count(p, []byte{'{'}) > maxDecodedBytes {
		return trace.Wrap(ErrTooLarge, "%s", req.URL)
	}
	return trace.Wrap(json.Unmarshal(p, into))
}

// CloseIdle closes the connections that carry no request.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }
