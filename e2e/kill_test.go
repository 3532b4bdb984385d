package e2e

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestKilledMidStream: if the agent or the engine dies in the middle of a
// repeatable answer, the caller gets the whole answer exactly once.
func TestKilledMidStream(t *testing.T) {
	cases := []struct {
		name string
		addr func(string) string
	}{{"agent", agentAddr}, {"engine", engineAddr}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runSession(t, func(b *cluster) {
				is := is.New(b.t)
				b.engine("a", nil)
				b.engine("b", nil)
				b.gateway("gw1")
				b.publish()
				got := make(chan reply)
				go func() { got <- b.ask("gw1", "POST", chatPath, chat("settlement", 200, true), nil) }()
				time.Sleep(time.Second) // about half of the answer
				for name, e := range b.engines {
					if len(e.State().Running) > 0 {
						b.kill(c.addr(name))
						break // the run continues at the other endpoint at once
					}
				}
				r := <-got
				is.NoErr(r.err)
				is.Equal(r.problem, "")
				is.True(!r.restart)
				is.Equal(r.text, answerTo("settlement", 200))
				is.True(r.done)
			})
		})
	}
}
