package load

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
)

// patienceTimer cancels one presentation that yields no first token in time.
type patienceTimer struct {
	mu       sync.Mutex
	timer    *time.Timer
	disarmed bool
	fired    bool
}

// startPatience starts the timer for one presentation. The timer never fires if
// the flow sets no patience, a first token has arrived or no resubmissions are
// left.
func (c *caller) startPatience(cancel context.CancelFunc) *patienceTimer {
	p := new(patienceTimer)
	if c.flow.Patience <= 0 || c.rec.FirstToken > 0 || c.rec.Resubmits >= c.flow.MaxResubmits {
		return p
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = time.AfterFunc(c.flow.Patience, func() { p.fire(cancel) })
	return p
}

func (p *patienceTimer) fire(cancel context.CancelFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.disarmed {
		p.fired = true
		cancel()
	}
}

// disarm stops the timer and reports whether it had fired before.
func (p *patienceTimer) disarm() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disarmed = true
	if p.timer != nil {
		p.timer.Stop()
	}
	return p.fired
}

// recordResubmit counts a resubmission after the patience timer fired. A
// resubmission as a new request drops the ticket and gets a new idempotency key.
func (c *caller) recordResubmit() {
	c.rec.Resubmits++
	if c.flow.Resubmit != ResubmitNew {
		return
	}
	c.rec.Anew++
	c.ticket = ""
	if c.flow.Keyed {
		c.key = uuid.NewString()
	}
}
