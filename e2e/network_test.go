package e2e

import (
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// latency is the delay of each chunk of bytes.
	latency = time.Millisecond
	// maxInFlight limits the chunks in transit on one connection per direction.
	maxInFlight = 1 << 12
)

// network connects processes by connections that add latency and can be held
// back. A held process neither receives nor sends a byte. Bytes sent before are
// delivered when it is released, even if the sender has died by then.
type network struct {
	mu           sync.Mutex
	holds        map[string]chan struct{} // by process; closed at release
	disconnected map[string]bool
	links        []*link
}

// link is one connection.
type link struct {
	from, to string
	index    int         // among the links from the one to the other
	conns    [3]net.Conn // client side, the network's end of that pipe, server side
}

func newNetwork() *network {
	return &network{holds: make(map[string]chan struct{}), disconnected: make(map[string]bool)}
}

// connect puts a link between a client and the connection to a server. It
// returns the client's side.
func (n *network) connect(from, to string, far net.Conn) net.Conn {
	if n == nil {
		return far
	}
	near, relayEnd := net.Pipe()
	w := &link{from: from, to: to, conns: [3]net.Conn{near, relayEnd, far}}
	n.mu.Lock()
	for _, o := range n.links {
		if o.from == from && o.to == to {
			w.index++
		}
	}
	n.links = append(n.links, w)
	n.mu.Unlock()
	go n.forward(w, relayEnd, far)
	go n.forward(w, far, relayEnd)
	return near
}

// packet is a chunk of bytes in transit.
type packet struct {
	data []byte
	due  time.Time
}

// forward carries bytes in one direction and closes dst after the last of them.
func (n *network) forward(w *link, src, dst net.Conn) {
	packets := make(chan packet, maxInFlight)
	go func() {
		defer close(packets)
		for {
			buf := make([]byte, 4096)
			size, err := src.Read(buf)
			if err != nil {
				return
			}
			packets <- packet{buf[:size], time.Now().Add(latency)}
		}
	}()
	for p := range packets {
		time.Sleep(time.Until(p.due))
		n.awaitRelease(w)
		if _, err := dst.Write(p.data); err != nil {
			break
		}
	}
	n.awaitRelease(w)
	_ = dst.Close()
	for range packets { // drains the queue so that the reader can end
	}
}

// awaitRelease waits until neither end is held.
func (n *network) awaitRelease(w *link) {
	for {
		n.mu.Lock()
		hold := n.holds[w.from]
		if hold == nil {
			hold = n.holds[w.to]
		}
		if hold == nil {
			hold = n.holds[outgoing(w.from)]
		}
		n.mu.Unlock()
		if hold == nil {
			return
		}
		<-hold
		time.Sleep(w.releaseDelay())
	}
}

// releaseDelay spreads the traffic that a release sets free, always in the same
// order.
func (w *link) releaseDelay() time.Duration {
	pair := xxhash.Sum64String(w.from+" "+w.to) % 1000
	return time.Duration(pair)*100*time.Microsecond + time.Duration(w.index)*2*latency
}

// outgoing is the key in holds of what a process sends over the connections
// that it opened.
func outgoing(process string) string { return process + " outgoing" }

// hold freezes a process as seen by the others.
func (n *network) hold(process string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.holds[process] == nil {
		n.holds[process] = make(chan struct{})
	}
}

// release ends all holds.
func (n *network) release() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for process, hold := range n.holds {
		close(hold)
		delete(n.holds, process)
	}
}

// disconnect breaks the connections that a process opened and refuses it new
// ones.
func (n *network) disconnect(process string) {
	n.mu.Lock()
	n.disconnected[process] = true
	n.mu.Unlock()
	n.eachLink(func(w *link) {
		if w.from == process {
			_ = w.conns[0].Close()
		}
	})
}

// reconnect allows a restarted process to open connections again.
func (n *network) reconnect(process string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.disconnected, process)
}

func (n *network) isDisconnected(process string) bool {
	if n == nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.disconnected[process]
}

// breakLinks breaks the connections from a process to another, or all
// connections to it when from is empty; bytes in transit are lost.
func (n *network) breakLinks(from, to string) {
	n.eachLink(func(w *link) {
		if w.to == to && (from == "" || w.from == from) {
			for _, c := range w.conns {
				_ = c.Close()
			}
		}
	})
}

func (n *network) eachLink(f func(*link)) {
	n.mu.Lock()
	links := append([]*link(nil), n.links...)
	n.mu.Unlock()
	for _, w := range links {
		f(w)
	}
}
