package forward

import "time"

const (
	// maxDelay is how much later than due a regular message of a punctual gateway may be sent. Two
	// messages are at least 10 ms apart, so half of it is usual.
	maxDelay = 20 * time.Millisecond
	// delaysKept is the number of regular messages that count, those of two seconds.
	delaysKept = 8
	// maxDelayed is how many of these may be late. After a single pause a gateway still forwards.
	maxDelayed = 1
)

// Punctuality decides whether a gateway offers to forward messages, from the delays of its own regular
// messages. A gateway that gets too little processor time would delay every message that it forwards.
// The zero value is punctual.
type Punctuality struct {
	late [delaysKept]bool
	next int
}

// Record records how much later than due a regular message was sent.
func (p *Punctuality) Record(delay time.Duration) {
	p.late[p.next] = delay > maxDelay
	p.next = (p.next + 1) % delaysKept
}

// Punctual reports whether the gateway may forward messages.
func (p *Punctuality) Punctual() bool {
	late := 0
	for _, l := range p.late {
		if l {
			late++
		}
	}
	return late <= maxDelayed
}
