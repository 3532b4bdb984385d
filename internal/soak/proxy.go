package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Weather is what a proxy does to the connections that pass it.
type Weather struct {
	Delay       time.Duration // added to each piece, both ways
	SilenceUp   bool          // bytes towards the target are held back
	SilenceDown bool          // bytes from the target are held back
}

// proxy passes TCP connections on and harms them from outside.
type proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	weather Weather
	conns   map[*net.TCPConn]bool
}

// newProxy starts a proxy before target on a free port of the address.
func newProxy(host, target string) (*proxy, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: make(map[*net.TCPConn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(w Weather) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.weather = w
}

// resetAll resets every connection that passes now.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.resetAll()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(c.(*net.TCPConn))
	}
}

func (p *proxy) pass(near *net.TCPConn) {
	c, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = near.SetLinger(0)
		_ = near.Close()
		return
	}
	far := c.(*net.TCPConn)
	p.mu.Lock()
	p.conns[near], p.conns[far] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(far, near, true) })
	both.Go(func() { p.copy(near, far, false) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, near)
	delete(p.conns, far)
	p.mu.Unlock()
	_ = near.Close()
	_ = far.Close()
}

// pieceWait is how often a silenced direction is looked at again.
const pieceWait = 5 * time.Millisecond

// copy passes bytes on in one direction until an end or an error, which it
// passes on as well.
func (p *proxy) copy(to, from *net.TCPConn, up bool) {
	buf := make([]byte, 8<<10)
	for {
		n, err := from.Read(buf)
		p.hold(up)
		if n > 0 {
			if _, e := to.Write(buf[:n]); e != nil {
				_ = from.SetLinger(0)
				_ = from.Close()
				return
			}
		}
		if err == io.EOF {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
	}
}

// hold waits as the weather says.
func (p *proxy) hold(up bool) {
	for {
		p.mu.Lock()
		w := p.weather
		p.mu.Unlock()
		if !(up && w.SilenceUp || !up && w.SilenceDown) {
			time.Sleep(w.Delay)
			return
		}
		time.Sleep(pieceWait)
	}
}
