package hostclock

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestSuspended checks that only the time by which the boot-time clock advances more than the
// monotonic one counts as a suspension.
func TestSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start, suspended := time.Now(), time.Duration(0)
		var failure error
		c, err := newClock(func() (time.Duration, error) { return time.Since(start) + suspended, failure })
		is.NoErr(err)
		time.Sleep(time.Hour)
		is.Equal(c.Suspended(), time.Duration(0))
		suspended = 5 * time.Second
		is.Equal(c.Suspended(), suspended)
		time.Sleep(time.Hour)
		is.Equal(c.Suspended(), suspended)
		failure = errors.New("no such clock")
		is.Equal(c.Suspended(), time.Duration(0))
		_, err = newClock(func() (time.Duration, error) { return 0, failure })
		is.True(err != nil)
	})
}

// TestHostWithoutSuspension checks that this host, which was not suspended, has the clock.
func TestHostWithoutSuspension(t *testing.T) {
	is := is.New(t)
	c, err := New()
	is.NoErr(err)
	for range 1000 {
		is.True(c.Suspended() < time.Second)
	}
}
