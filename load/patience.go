package load

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
)

// impatience gives up one presentation that brings no first token in time.
type impatience struct {
	mu       sync.Mutex
	timer    *time.Timer
	disarmed bool
	fired    bool
}

// arm starts the caller's patience, if it has any left, over one presentation.
func (c *caller) arm(cancel context.CancelFunc) *impatience {
	p := new(impatience)
	if c.flow.Patience <= 0 || c.rec.FirstToken > 0 || c.rec.Resubmits >= c.flow.MaxResubmits {
		return p
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = time.AfterFunc(c.flow.Patience, func() { p.fire(cancel) })
	return p
}

func (p *impatience) fire(cancel context.CancelFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.disarmed {
		p.fired = true
		cancel()
	}
}

// disarm ends the watch and tells whether patience had run out before.
func (p *impatience) disarm() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disarmed = true
	if p.timer != nil {
		p.timer.Stop()
	}
	return p.fired
}

// resubmit notes that the caller lost patience. A new request gets a new name.
func (c *caller) resubmit() {
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
