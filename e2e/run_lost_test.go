package e2e

import (
	"testing"
	"time"

	"github.com/matryer/is"

	standengine "github.com/micarudder/micarudder/internal/standin/engine"
)

// TestRunThatNeverBegins: an engine takes the order for a run, and neither begins nor answers. The
// agent kept the run's slot and memory until the caller's deadline, since it took the order
// that was under way for work, and the caller waited as long. A request that may be repeated is
// answered by another engine; the caller of one that may not hears that it may have run.
func TestRunThatNeverBegins(t *testing.T) {
	for _, repeatable := range []string{"true", "false"} {
		t.Run(repeatable, func(t *testing.T) {
			run(t, func(b *bubble) {
				is := is.New(b.t)
				b.fleet(2)
				set := func(f standengine.Faults) {
					for _, e := range b.engines {
						e.SetFaults(f)
					}
				}
				set(standengine.Faults{LoseCompletion: true})
				time.AfterFunc(time.Second, func() { set(standengine.Faults{}) })
				began := time.Now()
				r := b.ask("gw1", "POST", chatPath, chat("question", 8, true), map[string]string{"Rudder-Deadline": "60s", "Rudder-Repeatable": repeatable})
				took := time.Since(began)
				b.t.Log(r.status, r.problem, r.done, r.text, r.err, "after", took)
				is.True(took <= mostUnused)
				is.Equal(r.text == answerTo("question", 8), repeatable == "true")
				time.Sleep(10 * time.Second)
				b.allFree()
			})
		})
	}
}
