package limits

import "time"

// bucket is a token bucket that may be overdrawn: a request passes while any
// credit is left, whatever its size, and its whole size is then paid off.
// Prompts larger than a second's allowance could never pass otherwise.
type bucket struct {
	rate  float64 // units per second; 0 means no limit
	level float64
	at    time.Time
}

// burstSpan is the time for which unused allowance is kept.
const burstSpan = time.Second

// minBurst lets a share below one unit a second still pass single requests.
const minBurst = 1

func (b *bucket) burst() float64 { return max(minBurst, b.rate*burstSpan.Seconds()) }

// setRate changes the rate and keeps what is owed.
func (b *bucket) setRate(rate float64, now time.Time) {
	if b.at.IsZero() {
		b.rate, b.at = rate, now
		b.level = b.burst()
		return
	}
	b.fill(now)
	b.rate = rate
	b.level = min(b.level, b.burst())
}

func (b *bucket) fill(now time.Time) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level = min(b.burst(), b.level+b.rate*elapsed.Seconds())
		b.at = now
	}
}

// wait returns the time until a request may pass; 0 means now.
func (b *bucket) wait(now time.Time) time.Duration {
	if b.rate <= 0 {
		return 0
	}
	b.fill(now)
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

// span returns the time that n units are worth.
func (b *bucket) span(n float64) time.Duration {
	if b.rate <= 0 {
		return 0
	}
	return time.Duration(n / b.rate * float64(time.Second))
}
