package e2e

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestShortBesideMillion: short requests beside a prompt of a million tokens
// over the same four engines, against the same requests alone.
func TestShortBesideMillion(t *testing.T) {
	run(t, func(b *bubble) {
		is := is.New(b.t)
		b.fleet(4)
		alone := b.shortTimes(func() bool { return false }, 200)
		prompt := longPrompt("archive", 1_000_000)
		done := make(chan reply, 1)
		began := time.Now()
		go func() { done <- b.ask("gw1", "POST", chatPath, chat(prompt, 1, true), patient) }()
		beside := b.shortTimes(func() bool { return len(done) > 0 }, 10_000)
		took := time.Since(began)
		is.True((<-done).done)
		b.t.Logf("first token of a million: %v beside %d short requests", took.Round(time.Millisecond), len(beside))
		b.t.Logf("short alone: p50 %v p95 %v max %v", at(alone, 50), at(alone, 95), at(alone, 100))
		b.t.Logf("short beside: p50 %v p95 %v p99 %v max %v", at(beside, 50), at(beside, 95), at(beside, 99), at(beside, 100))
		slowdown := float64(at(beside, 95)) / float64(at(alone, 95))
		b.t.Logf("p95 slowdown %.2f", slowdown)
		is.True(slowdown < 1.2)
	})
}

// shortTimes asks a short question every 100 ms until stop or n of them, and
// returns the times to the whole answer, shortest first.
func (b *bubble) shortTimes(stop func() bool, n int) []time.Duration {
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

// at returns a percentile of sorted times.
func at(sorted []time.Duration, percent int) time.Duration {
	return sorted[min(len(sorted)*percent/100, len(sorted)-1)].Round(time.Millisecond)
}
