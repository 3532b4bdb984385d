package e2e

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestShortRequestsBesideLongPrompt compares short requests beside a prompt of
// a million tokens on the same four engines with the same requests alone.
func TestShortRequestsBesideLongPrompt(t *testing.T) {
	runSession(t, func(b *cluster) {
		is := is.New(b.t)
		b.fleet(4)
		alone := b.shortLatencies(func() bool { return false }, 200)
		prompt := longPrompt("archive", 1_000_000)
		done := make(chan reply, 1)
		began := time.Now()
		go func() { done <- b.ask("gw1", "POST", chatPath, chat(prompt, 1, true), longDeadline) }()
		beside := b.shortLatencies(func() bool { return len(done) > 0 }, 10_000)
		took := time.Since(began)
		is.True((<-done).done)
		b.t.Logf("first token of a million: %v beside %d short requests", took.Round(time.Millisecond), len(beside))
		b.t.Logf("short alone: p50 %v p95 %v max %v", percentile(alone, 50), percentile(alone, 95), percentile(alone, 100))
		b.t.Logf("short beside: p50 %v p95 %v p99 %v max %v", percentile(beside, 50), percentile(beside, 95), percentile(beside, 99), percentile(beside, 100))
		slowdown := float64(percentile(beside, 95)) / float64(percentile(alone, 95))
		b.t.Logf("p95 slowdown %.2f", slowdown)
		is.True(slowdown < 1.2)
	})
}

// shortLatencies sends a short request every 100 ms until stop reports true or
// n were sent, and returns the times to the whole answers in ascending order.
func (b *cluster) shortLatencies(stop func() bool, n int) []time.Duration {
	is := is.New(b.t)
	var out []time.Duration
	for i := 0; i < n && !stop(); i++ {
		began := time.Now()
		r := b.ask("gw1", "POST", chatPath, chat(longPrompt(fmt.Sprint("question ", i, began), 1000), 1, true), nil)
		is.True(r.done)
		out = append(out, time.Since(began))
		time.Sleep(100 * time.Millisecond)
	}
	slices.Sort(out)
	return out
}

// percentile returns a percentile of ascending times.
func percentile(sorted []time.Duration, percent int) time.Duration {
	return sorted[min(len(sorted)*percent/100, len(sorted)-1)].Round(time.Millisecond)
}
