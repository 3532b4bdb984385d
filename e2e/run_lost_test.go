package e2e

import (
	"testing"
	"time"

	"github.com/matryer/is"

	standengine "github.com/micarudder/micarudder/internal/standin/engine"
)

// TestRunThatNeverBegins: an engine accepts the order for a run and never starts or answers. The
// agent counted it as work and kept its slot and memory, and the caller waiting, until the
// deadline. Another engine must answer a repeatable request; the caller of an unrepeatable one
// must be told "may have run".
func TestRunThatNeverBegins(t *testing.T) {
	for _, repeatable := range []string{"true", "false"} {
		t.Run(repeatable, func(t *testing.T) {
			runSession(t, func(b *cluster) {
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
				is.True(took <= maxUnusedReservation)
				is.Equal(r.text == answerTo("question", 8), repeatable == "true")
				time.Sleep(10 * time.Second)
				b.requireMemoryFree()
			})
		})
	}
}
