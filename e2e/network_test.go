package e2e

import (
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// latency is what each part of a message takes on its way.
	latency = time.Millisecond
	// inFlight bounds the parts on their way over one connection.
	inFlight = 1 << 12
)

// network joins processes by connections that take time and can be held back.
// A held process neither gets nor gives a byte; what was sent before is
// delivered when it is let go, even if the sender is gone by then.
type network struct {
	mu    sync.Mutex
	holds map[string]chan struct{} // by process; closed when let go
	dead  map[string]bool
	wires []*wire
}

// wire is one connection.
type wire struct {
	from, to string
	turn     int         // among the wires between the two
	ends     [3]net.Conn // of the client, of the network towards it, of the server
}

func newNetwork() *network {
	return &network{holds: make(map[string]chan struct{}), dead: make(map[string]bool)}
}

// join puts a wire between a client and a server's connection.
func (n *network) join(from, to string, far net.Conn) net.Conn {
	if n == nil {
		return far
	}
	near, mid := net.Pipe()
	w := &wire{from: from, to: to, ends: [3]net.Conn{near, mid, far}}
	n.mu.Lock()
	for _, o := range n.wires {
		if o.from == from && o.to == to {
			w.turn++
		}
	}
	n.wires = append(n.wires, w)
	n.mu.Unlock()
	go n.pump(w, mid, far)
	go n.pump(w, far, mid)
	return near
}

// parcel is one part of a message on its way.
type parcel struct {
	data []byte
	due  time.Time
}

// pump carries bytes one way; the end of src follows after the last of them.
func (n *network) pump(w *wire, src, dst net.Conn) {
	way := make(chan parcel, inFlight)
	go func() {
		defer close(way)
		for {
			buf := make([]byte, 4096)
			k, err := src.Read(buf)
			if err != nil {
				return
			}
			way <- parcel{buf[:k], time.Now().Add(latency)}
		}
	}()
	for p := range way {
		time.Sleep(time.Until(p.due))
		n.passable(w)
		if _, err := dst.Write(p.data); err != nil {
			break
		}
	}
	n.passable(w)
	_ = dst.Close()
	for range way { // lets the reader end
	}
}

// passable waits until neither end is held.
func (n *network) passable(w *wire) {
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
		time.Sleep(w.lag())
	}
}

// lag spreads what is let go at once, always in the same order.
func (w *wire) lag() time.Duration {
	pair := xxhash.Sum64String(w.from+" "+w.to) % 1000
	return time.Duration(pair)*100*time.Microsecond + time.Duration(w.turn)*2*latency
}

// outgoing names what a process sends over the connections that it made.
func outgoing(process string) string { return process + " outgoing" }

// hold freezes a process as the others see it.
func (n *network) hold(process string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.holds[process] == nil {
		n.holds[process] = make(chan struct{})
	}
}

// release lets every held process go.
func (n *network) release() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for process, hold := range n.holds {
		close(hold)
		delete(n.holds, process)
	}
}

// bury breaks the connections that a process made and refuses it new ones.
func (n *network) bury(process string) {
	n.mu.Lock()
	n.dead[process] = true
	n.mu.Unlock()
	n.each(func(w *wire) {
		if w.from == process {
			_ = w.ends[0].Close()
		}
	})
}

// revive lets a restarted process connect again.
func (n *network) revive(process string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.dead, process)
}

func (n *network) isDead(process string) bool {
	if n == nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dead[process]
}

// sever breaks the connections to a process from another, or from all when
// from is empty; what is on its way is lost.
func (n *network) sever(from, to string) {
	n.each(func(w *wire) {
		if w.to == to && (from == "" || w.from == from) {
			for _, c := range w.ends {
				_ = c.Close()
			}
		}
	})
}

func (n *network) each(f func(*wire)) {
	n.mu.Lock()
	wires := append([]*wire(nil), n.wires...)
	n.mu.Unlock()
	for _, w := range wires {
		f(w)
	}
}
