// Package localhttp creates the HTTP clients with which an agent connects to its
// local endpoint.
package localhttp

import (
	"cmp"
	"net"
	"net/http"
	"time"

	"github.com/micarudder/micarudder/internal/httpresponse"
)

const (
	dialTimeout  = 2 * time.Second
	idleTimeout  = 30 * time.Second
	maxIdleConns = 16
)

// New returns a copy of the given client, or a new client for a peer on the same
// host if given is nil. The client refuses malformed responses. It does not follow
// redirects, because they would send a request a second time.
func New(given *http.Client) http.Client {
	var c http.Client
	if given != nil {
		c = *given
	} else {
		c.Transport = newTransport()
	}
	c.Transport = httpresponse.NewTransport(cmp.Or(c.Transport, http.DefaultTransport))
	c.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return c
}

func newTransport() *http.Transport {
	d := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         httpresponse.Dialer(d.DialContext),
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}
