package health

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// TestHealth checks that an endpoint is avoided after a few failed requests, receives requests
// again after a backoff, and is avoided for longer if it fails again.
func TestHealth(t *testing.T) {
	is := is.New(t)
	h := NewTable()
	now := start
	is.True(!h.RecordOutcome("e", BadResponse, now))
	is.True(!h.Suspect("e", now))
	h.RecordOutcome("e", BadResponse, now)
	is.True(h.Suspect("e", now))
	now = now.Add(initialBackoff + time.Millisecond)
	is.True(!h.Suspect("e", now))
	h.RecordOutcome("e", BadResponse, now)
	is.True(h.Suspect("e", now.Add(initialBackoff)))
	is.True(!h.Suspect("e", now.Add(2*initialBackoff)))
	h.Forget("e")
	is.True(!h.Suspect("e", now))
}

// TestHealthUnreachableAtOnce checks that a single Unreachable makes an endpoint suspect.
func TestHealthUnreachableAtOnce(t *testing.T) {
	is := is.New(t)
	h := NewTable()
	is.True(h.RecordOutcome("e", Unreachable, start))
	is.True(h.Suspect("e", start))
}

// TestHealthToleratesRareFailures checks that one failure in five does not make an endpoint
// suspect.
func TestHealthToleratesRareFailures(t *testing.T) {
	is := is.New(t)
	h := NewTable()
	for range 20 {
		h.RecordOutcome("e", BadResponse, start)
		for range 4 {
			h.RecordOutcome("e", Success, start)
		}
	}
	is.True(!h.Suspect("e", start))
}
