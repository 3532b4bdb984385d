package report

import (
	"bytes"
	"strings"
	"testing"
	"time"

	vm "github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/micarudder/micarudder/heldmemory"
)

// TestSteps guards against memory that grows without a log line, and against a line for each small change.
func TestSteps(t *testing.T) {
	is := is.New(t)
	var s steps
	var logged []int64
	for _, mib := range []int64{8, 40, 60, 45, 71, 73, 200, 190, 120, 140, 160} {
		if s.grew(mib << 20) {
			logged = append(logged, mib)
		}
	}
	is.Equal(logged, []int64{40, 73, 200, 160})
}

// TestReportNamesWhatIsHeld guards against a process that is killed for its memory and whose log does not say what
// filled it.
func TestReportNamesWhatIsHeld(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	responses := heldmemory.NewResponses(0)
	r := New(heldmemory.NewBodies(0), responses, vm.NewSet(), log.New(&out))
	is.NoErr(responses.Begin().Resize(heldmemory.Event, 1<<20))
	held := make([]byte, 2*stepBytes)
	for i := range held {
		held[i] = 1
	}
	now := time.Now()
	r.Check(7, now)
	is.True(strings.Contains(out.String(), "Memory use grew."))
	is.True(strings.Contains(out.String(), "event_bytes=1048576"))
	is.True(strings.Contains(out.String(), "in_flight=7"))
	before := out.Len()
	r.Check(7, now.Add(checkInterval))
	is.Equal(out.Len(), before)
	is.Equal(held[0], byte(1))
}
