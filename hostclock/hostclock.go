// Package hostclock measures how long the host was suspended. The monotonic clock, which
// time.Now and timers use, stops while the host is suspended. The boot-time clock continues
// and, unlike the wall clock, is never set.
package hostclock

import (
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

// Clock compares the two clocks since its creation.
type Clock struct {
	start time.Time     // on the monotonic clock
	boot  time.Duration // on the boot-time clock, at start
	read  func() (time.Duration, error)
}

// New returns a clock, or an error if the host has no boot-time clock.
func New() (*Clock, error) { return newClock(readBootTime) }

func newClock(read func() (time.Duration, error)) (*Clock, error) {
	start := time.Now()
	boot, err := read()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Clock{start: start, boot: boot, read: read}, nil
}

// Suspended returns how long the host was suspended since the clock was created. It reads the
// boot-time clock first, so that a process that is delayed between the two reads detects a
// suspension late, but never one that did not happen. If the read fails it returns 0, which
// callers that keep the highest value ignore.
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
