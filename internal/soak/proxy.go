package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Impairment is what a proxy does to the connections through it.
type Impairment struct {
	Delay    time.Duration // added to each chunk, in both directions
	HoldUp   bool          // hold back bytes towards the target
	HoldDown bool          // hold back bytes from the target
}

// proxy forwards TCP connections and impairs them.
type proxy struct {
	listener net.Listener
	target   string

	mu         sync.Mutex
	impairment Impairment
	conns      map[*net.TCPConn]bool
}

// newProxy starts a proxy for target on a free port of host.
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

func (p *proxy) setImpairment(w Impairment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.impairment = w
}

// resetAll resets every open connection.
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
		go p.forward(c.(*net.TCPConn))
	}
}

func (p *proxy) forward(downstream *net.TCPConn) {
	c, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = downstream.SetLinger(0)
		_ = downstream.Close()
		return
	}
	upstream := c.(*net.TCPConn)
	p.mu.Lock()
	p.conns[downstream], p.conns[upstream] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(upstream, downstream, true) })
	both.Go(func() { p.copy(downstream, upstream, false) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, downstream)
	delete(p.conns, upstream)
	p.mu.Unlock()
	_ = downstream.Close()
	_ = upstream.Close()
}

// holdPollInterval is how often a direction that is held back is checked again.
const holdPollInterval = 5 * time.Millisecond

// copy forwards bytes in one direction until end of file or an error, which it forwards as well.
func (p *proxy) copy(to, from *net.TCPConn, up bool) {
	buf := make([]byte, 8<<10)
	for {
		n, err := from.Read(buf)
		p.applyImpairment(up)
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

// applyImpairment waits as the impairment demands.
func (p *proxy) applyImpairment(up bool) {
	for {
		p.mu.Lock()
		w := p.impairment
		p.mu.Unlock()
		if !(up && w.HoldUp || !up && w.HoldDown) {
			time.Sleep(w.Delay)
			return
		}
		time.Sleep(holdPollInterval)
	}
}
