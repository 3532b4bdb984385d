// Package inner implements the transport of the inner protocol: HTTP/2 between
// the processes of one installation, either in clear text or, if key files are
// configured, with mutual TLS. The handshake fails for a peer without a
// certificate of the installation's certificate authority.
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
	// maxHeaderBytes is the most fields of a request; those of the inner protocol have some hundred bytes.
	maxHeaderBytes = 16 << 10
	// pingTimeout and the ping intervals bound how long a connection to a hung
	// or disconnected peer appears alive. A server pings later than a client,
	// because the pings of a client show it that the client is alive.
	pingInterval       = 2 * time.Second
	serverPingInterval = 5 * time.Second
	pingTimeout        = 2 * time.Second
	// MaxMessage bounds the size of one message, in bytes: a prompt of a
	// million tokens with its envelope.
	MaxMessage = 24 << 20
)

// NewServer returns a server for the inner protocol.
func NewServer(h http.Handler, keys KeyFiles) (*http.Server, error) {
	p := new(http.Protocols)
	srv := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         p,
		HTTP2:             &http.HTTP2Config{SendPingTimeout: serverPingInterval, PingTimeout: pingTimeout, MaxConcurrentStreams: 4096},
	}
	if !keys.Enabled() {
		p.SetUnencryptedHTTP2(true)
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

// Serve serves on l, with TLS if the server was created with key files.
func Serve(srv *http.Server, l net.Listener) error {
	if srv.TLSConfig != nil {
		return srv.ServeTLS(l, "", "")
	}
	return srv.Serve(l)
}

// Stop shuts a server down once everything that its handlers wrote has been
// sent, or closes it after limit. A handler that has returned may still have
// frames waiting to be sent.
func Stop(srv *http.Server, limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if srv.Shutdown(ctx) != nil {
		_ = srv.Close()
	}
}

// HandlerOptions are the options of every handler of the inner protocol.
// Compression is disabled: most messages are shorter than gzip's own framing,
// and a decompressor per subscription takes about 50 KB at the gateway.
func HandlerOptions() []connect.HandlerOption {
	return []connect.HandlerOption{connect.WithCompression("gzip", nil, nil)}
}

// ClientOptions are the options of every client of the inner protocol: no
// compression, as for handlers, and the limit on message size.
func ClientOptions() []connect.ClientOption {
	return []connect.ClientOption{
		connect.WithAcceptCompression("gzip", nil, nil),
		connect.WithReadMaxBytes(MaxMessage), connect.WithSendMaxBytes(MaxMessage),
	}
}

// Dialer opens a connection to an address; nil selects the default dialer of
// the system.
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
