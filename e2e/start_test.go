package e2e

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRequestBeforeConfiguration: a request that reaches a gateway just started
// waits a moment for the configuration; without one it is refused.
func TestRequestBeforeConfiguration(t *testing.T) {
	cases := []struct {
		name   string
		after  time.Duration // until the document is accepted
		status int
	}{{"soon", time.Second, 200}, {"late", time.Minute, 503}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(b *bubble) {
				b.engine("a", nil)
				b.gateway("gw1")
				got := make(chan reply)
				go func() { got <- b.ask("gw1", "POST", chatPath, chat("early", 5, false), nil) }()
				time.Sleep(c.after)
				b.accept()
				r := <-got
				t.Log(r.body)
				is.New(b.t).Equal(r.status, c.status)
			})
		})
	}
}
