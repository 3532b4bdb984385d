package limits

import "time"

// bucket is a token bucket that may be overdrawn: a request passes while a unit is left,
// whatever the request's size, and its whole size is then deducted. Otherwise prompts
// larger than one second's allowance could never pass.
type bucket struct {
	rate    float64 // units per second; 0 means no limit
	level   float64
	updated time.Time
}

// burstPeriod is the time for which unused allowance is kept.
const burstPeriod = time.Second

// minBurst lets a share below one unit per second still pass single requests.
const minBurst = 1

func (b *bucket) burst() float64 { return max(minBurst, b.rate*burstPeriod.Seconds()) }

// setRate changes the rate and keeps what is overdrawn.
func (b *bucket) setRate(rate float64, now time.Time) {
	if b.updated.IsZero() {
		b.rate, b.updated = rate, now
		b.level = b.burst()
		return
	}
	b.refill(now)
	b.rate = rate
	b.level = min(b.level, b.burst())
}

func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.level = min(b.burst(), b.level+b.rate*elapsed.Seconds())
		b.updated = now
	}
}

// wait returns the time until a request may pass; 0 means that it may pass now.
func (b *bucket) wait(now time.Time) time.Duration {
	if b.rate <= 0 {
		return 0
	}
	b.refill(now)
	if b.level >= minBurst {
		return 0
	}
	return time.Duration((minBurst - b.level) / b.rate * float64(time.Second))
}

func (b *bucket) take(n float64) {
	if b.rate > 0 {
		b.level -= n
	}
}

// timeFor returns the time in which n units accrue.
func (b *bucket) timeFor(n float64) time.Duration {
	if b.rate <= 0 {
		return 0
	}
	return time.Duration(n / b.rate * float64(time.Second))
}
