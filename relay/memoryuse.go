package relay

import (
	"sync"
	"time"
)

const (
	// askUseAfter is how long an answer may bring nothing before an endpoint is asked whether the
	// memory set aside there is used. Events come every 100 to 500 ms, so that streams cause no
	// questions; the reading of a prompt, one to four seconds, causes one each second.
	askUseAfter = renewEvery
	// tickSlack is by how much the ticks of the renewals may come early. Proofs are dated at one
	// tick and judged at a later one: without it every second judgement came a tick late.
	tickSlack = renewEvery / 4
	// unusedAtEnd is how long memory that was used may be unused before it is given back: its
	// request is over then, and the answer lost. A request that an engine put off and reads
	// anew uses it again within a pass or two, well below a second. With a question a second
	// the memory is back in three at most; the users allow four.
	unusedAtEnd = 2 * time.Second
)

// useLimits say how long memory may stay set aside without a proof that it is used.
type useLimits struct {
	// lost holds where it was never used, and nothing waits at the endpoint that is to use it;
	// queued where something does, or where nobody answers.
	lost, queued time.Duration
}

// newUseLimits returns the limits below which no memory is unused for longer than most. What
// remains of most is for a release that is lost: the memory lapses a holdTime after the last
// renewal. Where nothing waits, half of that is enough to know that the request is lost. In the queue of an
// engine that works for others a prompt may well be begun: one that was begun after three seconds was
// served, while its engine still worked for a gateway that had been killed.
func newUseLimits(most time.Duration) useLimits {
	queued := max(most-holdTime, 2*askUseAfter) // two questions at least
	return useLimits{lost: queued / 2, queued: queued}
}

// useStep is what to do about memory set aside at a tick of its renewals.
type useStep uint8

const (
	keepMemory useStep = iota // renew it
	askUse                    // renew it, and ask whether it is used
	giveBack                  // it is not used: end the send and release it
)

// memoryUse is what a gateway knows of whether the memory set aside for one send is used. Time
// comes in as an argument. Its methods may be called concurrently.
type memoryUse struct {
	limits useLimits

	mu     sync.Mutex
	proved time.Time // the newest proof of use; without one, when the memory was set aside
	used   bool      // whether there was one
	queued time.Time // when something waited last where it is to be used, as far as is known
	asked  int       // how often an endpoint was asked
}

func newMemoryUse(l useLimits, now time.Time) *memoryUse {
	return &memoryUse{limits: l, proved: now, queued: now}
}

// prove notes that the memory was used then: a part of the answer came, or an endpoint said so.
func (u *memoryUse) prove(at time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if at.After(u.proved) {
		u.proved, u.used = at, true
	}
}

// next returns what to do now, whatever endpoints said: no memory is kept without a proof for
// longer than they may have it in a queue.
func (u *memoryUse) next(now time.Time) useStep {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch unproved := now.Sub(u.proved) + tickSlack; {
	case unproved >= u.limits.queued:
		return giveBack
	case unproved >= askUseAfter:
		return askUse
	default:
		return keepMemory
	}
}

// unused takes in that an endpoint said, to a question asked then, that no request uses its
// memory; queued is set when something waits at the endpoint that is to use it, or when that
// does not answer. It reports whether the memory is to be given back.
func (u *memoryUse) unused(asked time.Time, queued bool) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !asked.After(u.proved) {
		return false
	}
	if queued {
		u.queued = asked
	}
	if u.used {
		return asked.Sub(u.proved)+tickSlack >= min(unusedAtEnd, u.limits.queued)
	}
	return asked.Sub(u.queued)+tickSlack >= u.limits.lost
}

// unproved returns for how long there has been no proof of use.
func (u *memoryUse) unproved(now time.Time) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return now.Sub(u.proved)
}

// question returns which of n endpoints to ask next: each in turn, since one may not answer.
func (u *memoryUse) question(n int) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.asked++
	return (u.asked - 1) % n
}
