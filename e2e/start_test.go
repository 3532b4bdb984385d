package e2e

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRequestBeforeConfiguration: a request to a gateway that has just started
// waits a short time for the configuration and is refused without one.
func TestRequestBeforeConfiguration(t *testing.T) {
	cases := []struct {
		name   string
		after  time.Duration // delay until the document is accepted
		status int
	}{{"soon", time.Second, 200}, {"late", time.Minute, 503}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runSession(t, func(b *cluster) {
				b.engine("a", nil)
				b.gateway("gw1")
				got := make(chan reply)
				go func() { got <- b.ask("gw1", "POST", chatPath, chat("early", 5, false), nil) }()
				time.Sleep(c.after)
				b.writeDocument()
				r := <-got
				t.Log(r.body)
				is.New(b.t).Equal(r.status, c.status)
			})
		})
	}
}
