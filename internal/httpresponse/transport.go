package httpresponse

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Transport is an http.RoundTripper that fails where the response of another one is malformed, and then closes its
// connection.
type Transport struct {
	base http.RoundTripper
}

// NewTransport returns a transport over base, whose connections should come from a Dialer.
func NewTransport(base http.RoundTripper) *Transport { return &Transport{base} }

// Dialer returns a DialContext for an http.Transport that opens Conns with dial.
func Dialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var used atomic.Pointer[Conn]
	hooks := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			c.BeginResponse()
			used.Store(c)
		}
	}}
	res, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), hooks)))
	if err != nil {
		return nil, err
	}
	conn := used.Load()
	if conn == nil {
		err = CheckHead(res)
	} else {
		err = conn.CheckHead(res)
	}
	if err == nil {
		return res, nil
	}
	_ = res.Body.Close()
	if conn != nil {
		_ = conn.Close()
	}
	return nil, err
}

// CloseIdleConnections closes the connections that carry no request; http.Client calls it.
func (t *Transport) CloseIdleConnections() {
	if base, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}
