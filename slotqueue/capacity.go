package slotqueue

import "time"

const (
	// nearlyFullDivisor is the part of all slots, as a divisor, at or below which the free ones
	// make a service nearly full, and roomyDivisor the part at which that state ends.
	nearlyFullDivisor = 10
	roomyDivisor      = 5
)

// Fullness tells whether a service is nearly full, so that its requests queue.
type Fullness struct{ nearlyFull bool }

// Update takes the free slots and all slots of a service and the number of requests that are known
// to wait. It reports whether the service is nearly full.
func (f *Fullness) Update(free, total, waiting int) bool {
	switch {
	case total == 0:
		f.nearlyFull = false
	case free*nearlyFullDivisor <= total || free < waiting:
		f.nearlyFull = true
	case free*roomyDivisor >= total && waiting == 0:
		f.nearlyFull = false
	}
	return f.nearlyFull
}

// NearlyFull reports the state after the last Update.
func (f *Fullness) NearlyFull() bool { return f.nearlyFull }

const (
	// releaseWindow is the time over which releases of slots are counted: about as long as a short
	// stream, so that a change of the rate shows within one stream.
	releaseWindow = 2 * time.Second
	releaseBucket = 100 * time.Millisecond
	bucketCount   = int(releaseWindow / releaseBucket)
	// holdWeight is the weight of the newest stream in the mean duration.
	holdWeight = 0.05
	// initialHold is the mean duration that is assumed until a stream has ended.
	initialHold = 2 * time.Second
)

// Releases measures the rate at which slots of a service become free. The zero value is ready for
// use.
type Releases struct {
	buckets [bucketCount]int
	newest  time.Time // start of the newest bucket
	next    int       // index of the newest bucket
	hold    time.Duration
}

// Record counts slots that became free.
func (r *Releases) Record(n int, now time.Time) {
	r.advance(now)
	r.buckets[r.next] += n
}

// RecordHold records how long a request of this gateway held its slot.
func (r *Releases) RecordHold(d time.Duration) {
	if r.hold == 0 {
		r.hold = d
		return
	}
	r.hold += time.Duration(holdWeight * float64(d-r.hold))
}

// advance clears the buckets that have left the window.
func (r *Releases) advance(now time.Time) {
	if r.newest.IsZero() || now.Sub(r.newest) >= 2*releaseWindow {
		r.buckets, r.newest = [bucketCount]int{}, now
		return
	}
	for now.Sub(r.newest) >= releaseBucket {
		r.newest = r.newest.Add(releaseBucket)
		r.next = (r.next + 1) % bucketCount
		r.buckets[r.next] = 0
	}
}

// PerSecond returns the rate over the last two seconds. It is at least one slot per mean duration of
// a stream.
func (r *Releases) PerSecond(now time.Time) float64 {
	r.advance(now)
	sum := 0
	for _, n := range r.buckets {
		sum += n
	}
	hold := r.hold
	if hold <= 0 {
		hold = initialHold
	}
	return max(float64(sum)/releaseWindow.Seconds(), 1/hold.Seconds())
}

// lateShare is the share of the slots that become free which is assumed to remain for late requests.
// While a service is nearly full, requests that can be in time take most of them.
const lateShare = 0.1

// maxPredictedWait bounds predictions, so that a rate near zero does not overflow.
const maxPredictedWait = time.Minute

// Outlook is what the prediction of a start depends on.
type Outlook struct {
	Ticket    Ticket
	Position  int // of the request in the queue
	Waiting   int // all requests that are known to wait, including this one
	Late      int // late ones that go before this request once their callers will soon give up
	Free      int // free slots
	PerSecond float64
}

// Wait predicts how long the request waits for a slot. One that would start too late to be in time
// is assumed to let those pass that can be.
func (o Outlook) Wait(now time.Time) time.Duration {
	if o.Ticket.Urgency == InTime {
		// Those that are late go first before their callers give up, so they need slots too.
		if wait := o.waitFor(o.Position+o.Late, 1); !now.Add(wait).After(o.Ticket.StartBy) {
			return wait
		}
	}
	return o.waitFor(max(o.Position, o.Waiting-1), lateShare)
}

// waitFor returns the time until a slot is free for the request at a position, if a share of the
// released slots is available.
func (o Outlook) waitFor(position int, share float64) time.Duration {
	missing := position + 1 - o.Free
	if missing <= 0 {
		return 0
	}
	seconds := min(float64(missing)/(share*o.PerSecond), maxPredictedWait.Seconds())
	return time.Duration(seconds * float64(time.Second))
}
