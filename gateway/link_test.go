package gateway

import (
	"testing"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/rudderv1"
)

// TestShortReports checks that a short report keeps what it does not contain.
// If it contains no load, the last reported load replaces one that came with a
// response since then.
func TestShortReports(t *testing.T) {
	is := is.New(t)
	l := new(link)
	l.recordReport(&rudderv1.AgentReport{Endpoint: "a", Generation: 1, Load: &rudderv1.Load{Queued: 1}})
	got := l.recordReport(&rudderv1.AgentReport{GenerationOnly: true, Generation: 2, AgentMs: 7, Load: &rudderv1.Load{Queued: 2}})
	is.Equal(got.Endpoint, "a")
	is.Equal(got.Generation, uint64(2))
	is.Equal(got.AgentMs, int64(7))
	is.Equal(got.Load.Queued, uint32(2))
	l.recordLoad(&rudderv1.Load{Queued: 3})
	is.Equal(l.load.Queued, uint32(3))
	l.recordReport(&rudderv1.AgentReport{GenerationOnly: true, Generation: 2, AgentMs: 9})
	is.Equal(l.load.Queued, uint32(2))
}
