// Package sleep pauses what may be ended meanwhile.
package sleep

import (
	"context"
	"time"
)

// For waits for d; it reports false when ctx ended first.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
