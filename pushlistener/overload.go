package pushlistener

import (
	"errors"
	"net"
	"sync"
	"time"
)

// Overload is a Shedder that learns of the delays as they are seen. It is safe for concurrent use.
type Overload struct {
	mu      sync.Mutex
	shedder Shedder
	usual   UsualDials
}

// Accept reports whether to accept a connection that comes now. One that is not accepted was reset, so that the
// caller knows that nothing of its request was read.
func (o *Overload) Accept(c net.Conn, now time.Time) bool {
	o.mu.Lock()
	accepted := o.shedder.Accept(now)
	o.mu.Unlock()
	if accepted {
		return true
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
	return false
}

// Timer records how much later than planned a timer ran. It returns the share of the new connections that is
// turned away, and whether that changed to or from zero.
func (o *Overload) Timer(delay time.Duration, now time.Time) (refused float64, changed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	changed = o.shedder.ObserveTimer(delay, now)
	return o.shedder.Refused(), changed
}

// Dialed records how long a connection to an endpoint took, or that it did not come about. A host that refuses
// it tells nothing of the link.
func (o *Overload) Dialed(address string, took time.Duration, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var failure net.Error
	switch {
	case err == nil:
		if delay, ok := o.usual.Record(address, took); ok {
			o.shedder.ObserveDial(delay, false)
		}
	case errors.As(err, &failure) && failure.Timeout():
		o.shedder.ObserveDial(took, true)
	}
}

// Responded records how long an endpoint took to respond to a request, the connection included.
func (o *Overload) Responded(took time.Duration) {
	if took > dialPeriod {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.shedder.ObserveResponse()
}
