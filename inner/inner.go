// Package inner carries the inner protocol: HTTP/2 between the processes of
// one installation, in the clear or, when key files are set, with mutual TLS.
// A peer without a certificate of the installation's authority is refused in
// the handshake.
package inner

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
)

const (
	dialTimeout       = time.Second
	readHeaderTimeout = 5 * time.Second
	// pingTimeout and pingInterval bound how long a connection to a frozen or
	// cut-off peer looks alive. A server asks later than a client, whose
	// questions show it that the client lives.
	pingInterval       = 2 * time.Second
	serverPingInterval = 5 * time.Second
	pingTimeout        = 2 * time.Second
	// MaxMessage bounds one message, in bytes: a prompt of a million tokens
	// with its envelope.
	MaxMessage = 24 << 20
)

// NewServer returns a server for the inner protocol.
func NewServer(h http.Handler, keys KeyFiles) (*http.Server, error) {
	p := new(http.Protocols)
	srv := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		Protocols:         p,
		HTTP2:             &http.HTTP2Config{SendPingTimeout: serverPingInterval, PingTimeout: pingTimeout, MaxConcurrentStreams: 4096},
	}
	if !keys.Enabled() {
		p.SetUnencryptedHTTP2(true)
		p.SetHTTP1(true)
		return srv, nil
	}
	p.SetHTTP2(true)
	cfg, err := keys.config()
	if err != nil {
		return nil, err
	}
	srv.TLSConfig = cfg
	return srv, nil
}

// Serve serves on l with or without TLS, as the server was made.
func Serve(srv *http.Server, l net.Listener) error {
	if srv.TLSConfig != nil {
		return srv.ServeTLS(l, "", "")
	}
	return srv.Serve(l)
}

// Stop closes a server once what its handlers wrote has left, or after limit: a
// handler that has returned may still have frames waiting to be sent.
func Stop(srv *http.Server, limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if srv.Shutdown(ctx) != nil {
		_ = srv.Close()
	}
}

// HandlerOptions are the options that every handler of the inner protocol has.
// Nothing is compressed: most messages are shorter than gzip's own frame, and
// a decompressor for each subscription holds some 50 KB at the gateway.
func HandlerOptions() []connect.HandlerOption {
	return []connect.HandlerOption{connect.WithCompression("gzip", nil, nil)}
}

// ClientOptions are the options that every client of the inner protocol has:
// no compression, as for handlers, and the bound of a message.
func ClientOptions() []connect.ClientOption {
	return []connect.ClientOption{
		connect.WithAcceptCompression("gzip", nil, nil),
		connect.WithReadMaxBytes(MaxMessage), connect.WithSendMaxBytes(MaxMessage),
	}
}

// Dialer opens a connection to an address; nil means the system's.
type Dialer func(ctx context.Context, network, addr string) (net.Conn, error)

// Client is an HTTP client for the inner protocol.
type Client struct {
	*http.Client
	scheme string
}

// NewClient returns a client; dial may be nil.
func NewClient(keys KeyFiles, dial Dialer) (*Client, error) {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	p := new(http.Protocols)
	tr := &http.Transport{
		DialContext:         dial,
		Protocols:           p,
		HTTP2:               &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     time.Minute,
	}
	if !keys.Enabled() {
		p.SetUnencryptedHTTP2(true)
		return &Client{&http.Client{Transport: tr}, "http://"}, nil
	}
	p.SetHTTP2(true)
	cfg, err := keys.config()
	if err != nil {
		return nil, err
	}
	tr.TLSClientConfig = cfg
	return &Client{&http.Client{Transport: tr}, "https://"}, nil
}

// URL returns the base URL of the peer at addr.
func (c *Client) URL(addr string) string { return c.scheme + addr }
