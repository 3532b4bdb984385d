package metastore_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	standin "github.com/micarudder/micarudder/internal/standin/platform"
	"github.com/micarudder/micarudder/metastore"
)

// pipeNet is a network of net.Pipe connections, since goroutines in a synctest
// bubble must not block on real sockets.
type pipeNet struct {
	mu    sync.Mutex
	ports map[string]*pipeListener
}

type pipeListener struct {
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once

	mu       sync.Mutex
	accepted []net.Conn
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		l.mu.Lock()
		defer l.mu.Unlock()
		l.accepted = append(l.accepted, c)
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// closeAll closes the connections accepted so far.
func (l *pipeListener) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.accepted {
		_ = c.Close()
	}
}

func (l *pipeListener) Addr() net.Addr { return pipeAddr(l.address) }

type pipeAddr string

func (a pipeAddr) Network() string { return "pipe" }
func (a pipeAddr) String() string  { return string(a) }

func (n *pipeNet) listen(address string) *pipeListener {
	l := &pipeListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ports[address] = l
	return l
}

// remove stops listening at an address and closes its connections.
func (n *pipeNet) remove(address string) {
	n.mu.Lock()
	l := n.ports[address]
	delete(n.ports, address)
	n.mu.Unlock()
	if l != nil {
		_ = l.Close()
		l.closeAll()
	}
}

// dial connects to a listener; it fails if nothing listens at the address.
func (n *pipeNet) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.ports[address]
	n.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: net.ErrClosed}
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: net.ErrClosed}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// address is where the service of a fixture listens.
const address = "10.0.0.1:2379"

// fixture is a stand-in service with one client, in a synctest bubble.
type fixture struct {
	*is.I
	t       *testing.T
	net     *pipeNet
	server  *standin.Server
	client  *metastore.Client
	options metastore.Options
}

// newFixture serves a stand-in until the test ends. It must be called inside
// the bubble.
func newFixture(t *testing.T, config standin.Config, change func(*metastore.Options)) *fixture {
	b := &fixture{I: is.New(t), t: t, net: &pipeNet{ports: map[string]*pipeListener{}}, server: standin.NewServer(config)}
	b.serve(address, b.server.Handler())
	b.options = metastore.Options{
		Addresses: []string{address},
		ReadRate:  1000,
		WriteRate: 1000,
		LeaseRate: 1000,
		Timeout:   time.Second,
	}
	if change != nil {
		change(&b.options)
	}
	b.client = b.newClient()
	return b
}

// serve serves h at an address until the test ends.
func (b *fixture) serve(address string, h http.Handler) {
	l := b.net.listen(address)
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	b.t.Cleanup(func() { _ = s.Close() })
}

// newClient returns another client with the same options.
func (b *fixture) newClient() *metastore.Client {
	transport := &http.Transport{DialContext: b.net.dial}
	b.t.Cleanup(transport.CloseIdleConnections)
	o := b.options
	o.HTTPClient = &http.Client{Transport: transport}
	c, err := metastore.NewClient(o)
	b.NoErr(err)
	return c
}

// create creates a key.
func (b *fixture) create(key, value string) metastore.Entry {
	b.t.Helper()
	e, err := b.client.CompareAndSwap(b.t.Context(), key, 0, []byte(value), 0)
	b.NoErr(err)
	return e
}

// swap replaces the value of e.
func (b *fixture) swap(e metastore.Entry, value string) metastore.Entry {
	b.t.Helper()
	e, err := b.client.CompareAndSwap(b.t.Context(), e.Key, e.Revision, []byte(value), 0)
	b.NoErr(err)
	return e
}
