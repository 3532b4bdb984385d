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

// TestEngineThatAsksForRest: it gets nothing until then; others serve, or callers are told a time at which they are served.
func TestEngineThatAsksForRest(t *testing.T) {
	for name, engines := range map[string]int{"another engine is there": 2, "it is the only one": 1} {
		t.Run(name, func(t *testing.T) {
			run(t, func(b *bubble) {
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
					resting.SetFaults(standengine.Faults{Refuse: true, RestSeconds: 3})
					_, served := ask()
					is.Equal(served, engines > 1)
					if resting.Refused() > 0 {
						break
					}
					resting.SetFaults(standengine.Faults{}) // requests go to the other one
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
					told, err := strconv.Atoi(last.header.Get("Retry-After"))
					is.NoErr(err)
					time.Sleep(time.Duration(told) * time.Second)
					_, served := ask()
					is.True(served)
				}
				b.allFree()
			})
		})
	}
}
