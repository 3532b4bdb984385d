package e2e

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	standengine "github.com/micarudder/micarudder/internal/standin/engine"
)

// TestEngineThatAsksForRest: an engine that refuses a request and names a retry
// time gets no requests until then. Other engines serve them, or callers are
// told a Retry-After time after which they are served.
func TestEngineThatAsksForRest(t *testing.T) {
	for name, engines := range map[string]int{"another engine is there": 2, "it is the only one": 1} {
		t.Run(name, func(t *testing.T) {
			runSession(t, func(b *cluster) {
				is := is.New(b.t)
				b.fleet(engines)
				number := 0
				ask := func() (r reply, served bool) {
					number++
					question := fmt.Sprint("question ", number)
					r = b.ask("gw1", "POST", chatPath, chat(question, 8, true), map[string]string{"Rudder-Deadline": "20s", "Rudder-Repeatable": "true"})
					return r, r.text == answerTo(question, 8)
				}
				var resting *standengine.Server
				for _, resting = range b.engines {
					resting.SetFaults(standengine.Faults{Refuse: true, RetryAfterSeconds: 3})
					_, served := ask()
					is.Equal(served, engines > 1)
					if resting.Refused() > 0 {
						break
					}
					resting.SetFaults(standengine.Faults{}) // the request went to the other engine
				}
				var last reply
				for range 20 {
					r, served := ask()
					is.Equal(served, engines > 1)
					last = r
				}
				is.Equal(resting.Refused(), 1)
				resting.SetFaults(standengine.Faults{})
				if engines == 1 {
					is.Equal(last.status, http.StatusServiceUnavailable)
					retryAfter, err := strconv.Atoi(last.header.Get("Retry-After"))
					is.NoErr(err)
					time.Sleep(time.Duration(retryAfter) * time.Second)
					_, served := ask()
					is.True(served)
				}
				b.requireMemoryFree()
			})
		})
	}
}
