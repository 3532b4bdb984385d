package e2e

import (
	"testing"
	"time"

	"github.com/matryer/is"

	standengine "github.com/micarudder/micarudder/internal/standin/engine"
)

// mostUnused is how long the users allow memory to stay reserved without use.
const mostUnused = 9 * time.Second

// TestPrefillThatNeverBegins: a prompt over four engines waits for one that took the order for
// its span and neither begins nor answers. The gateway renewed the leases over the memory of the
// other three for as long as it waited, fifty minutes here, since it took the order that was under
// way for use of the memory, and nobody else had it. Evidence: all engines are idle and their
// memory is reserved.
func TestPrefillThatNeverBegins(t *testing.T) {
	run(t, func(b *bubble) {
		is := is.New(b.t)
		b.fleet(5)
		b.engines["e2"].SetFaults(standengine.Faults{LosePrefill: true})
		prompt := longPrompt("archive", 1_000_000)
		got := make(chan reply, 1)
		go func() { got <- b.ask("gw1", "POST", chatPath, chat(prompt, 32, true), patient) }()
		var unused, longest time.Duration
		const step = 250 * time.Millisecond
		for range int(20 * time.Minute / step) {
			time.Sleep(step)
			select {
			case r := <-got:
				b.t.Log("reserved and unused for", longest)
				is.NoErr(r.err)
				is.Equal(r.status, 200)
				is.Equal(r.text, answerTo(prompt, 32))
				is.True(longest <= mostUnused)
				time.Sleep(10 * time.Second)
				b.allFree()
				return
			default:
			}
			if unused += step; !b.reservedUnused() {
				unused = 0
			}
			longest = max(longest, unused)
		}
		b.t.Errorf("no answer; memory was reserved and unused for %v", longest)
	})
}

// reservedUnused reports whether memory is reserved while no engine runs anything.
func (b *bubble) reservedUnused() bool {
	reserved := false
	for name := range b.engines {
		if b.runs(name) > 0 {
			return false
		}
		reserved = reserved || b.report(name).Load.ReservedTokens > 0
	}
	return reserved
}
