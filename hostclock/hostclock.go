// Package hostclock tells how long the host was suspended. The monotonic clock, by which
// time.Now reckons ages and timers run, stands still meanwhile; the boot-time clock goes on,
// and unlike the time of day it is never set.
package hostclock

import (
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

// Clock compares the two clocks since it was made.
type Clock struct {
	start time.Time     // of the monotonic clock
	boot  time.Duration // of the boot-time clock, at start
	read  func() (time.Duration, error)
}

// New returns a clock, or an error where the host has no boot-time clock.
func New() (*Clock, error) { return newClock(readBootTime) }

func newClock(read func() (time.Duration, error)) (*Clock, error) {
	start := time.Now()
	boot, err := read()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Clock{start: start, boot: boot, read: read}, nil
}

// Suspended returns how long the host was suspended since the clock was made. The boot-time
// clock is read first, so that a process that is held up between the two readings sees a
// suspension later, never one that was not. Where the reading fails it returns 0, which callers
// that keep the highest value pass over.
func (c *Clock) Suspended() time.Duration {
	boot, err := c.read()
	if err != nil {
		return 0
	}
	return max(0, boot-c.boot-time.Since(c.start))
}

func readBootTime() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}
