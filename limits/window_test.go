package limits

import (
	"testing"
	"time"
	"unsafe"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var windowBounds = RetryWindowConfig{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}

func TestWindowSlackIsShared(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	granted := 0
	w := NewRetryWindow(windowBounds)
	for w.AllowRetry(now, 4) {
		granted++
	}
	is.Equal(granted, int(usableFraction*windowBounds.Slack/4))
}

// TestWindowOfGatewaysThatStartTogether: 24 gateways whose processes started at the same
// moment each used the complete slack before they had heard from each other: 1,440 retries
// where 100 are allowed. A gateway that does not know how many share the slack must use
// none of it, but still the ratio of its own requests.
func TestWindowOfGatewaysThatStartTogether(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	granted := 0
	for range 24 {
		w := NewRetryWindow(windowBounds)
		for w.AllowRetry(now, UnknownGateways) {
			granted++
		}
	}
	is.True(granted <= int(windowBounds.Slack))
	w := NewRetryWindow(windowBounds)
	for range 100 {
		w.RecordRequest(now)
	}
	is.True(w.AllowRetry(now, UnknownGateways))
}

func TestWindowExpires(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	w := NewRetryWindow(windowBounds)
	for w.AllowRetry(now, 4) {
	}
	is.True(!w.AllowRetry(now.Add(9*time.Second), 4))
	is.True(w.AllowRetry(now.Add(12*time.Second), 4))
}

// atWallClock returns the same moment as read from a wall clock that was set forward by so many seconds.
func atWallClock(t time.Time, forward uint64) time.Time {
	const secondsShift = 30 // of the seconds in the first field of a time that has a monotonic reading
	*(*uint64)(unsafe.Pointer(&t)) += forward << secondsShift
	return t
}

// TestWindowIgnoresWallClock guards against a wall clock that is set forward and renews the retry budget.
func TestWindowIgnoresWallClock(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	is.Equal(atWallClock(now, 60).Round(0).Sub(now.Round(0)), time.Minute)
	is.Equal(atWallClock(now, 60).Sub(now), time.Duration(0))
	w := NewRetryWindow(windowBounds)
	for w.AllowRetry(now, 4) {
	}
	is.True(!w.AllowRetry(atWallClock(now, 60), 4))
	is.True(w.AllowRetry(now.Add(12*time.Second), 4))
}

// TestWindowBound checks that no window holds more retries than the bound allows, whatever
// the order of requests and retries at several gateways.
func TestWindowBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gateways := rapid.IntRange(1, 6).Draw(t, "gateways")
		windows := make([]*RetryWindow, gateways)
		for i := range windows {
			windows[i] = NewRetryWindow(windowBounds)
		}
		now := time.Unix(1000, 0)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			w := windows[rapid.IntRange(0, gateways-1).Draw(t, "gateway")]
			if rapid.Bool().Draw(t, "request") {
				w.RecordRequest(now)
				requests = append(requests, now)
			} else if w.AllowRetry(now, gateways) {
				retries = append(retries, now)
			}
			recent := func(list []time.Time) (n float64) {
				for _, at := range list {
					if now.Sub(at) < windowBounds.Window {
						n++
					}
				}
				return n
			}
			// A sub-window may reach back a tenth of a window further.
			all := float64(len(requests))
			if bound := windowBounds.Ratio*all + windowBounds.Slack; recent(retries) > bound {
				t.Fatalf("%v retries in a window, want at most %v", recent(retries), bound)
			}
		}
	})
}
