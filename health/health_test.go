package health

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// TestHealth: an endpoint that fails part of its requests is left alone after a
// few, tried again after a rest, and left alone longer if it fails again.
func TestHealth(t *testing.T) {
	is := is.New(t)
	h := NewTable()
	now := start
	is.True(!h.Note("e", Bad, now))
	is.True(!h.Suspect("e", now))
	h.Note("e", Bad, now)
	is.True(h.Suspect("e", now))
	now = now.Add(firstRest + time.Millisecond)
	is.True(!h.Suspect("e", now))
	h.Note("e", Bad, now)
	is.True(h.Suspect("e", now.Add(firstRest)))
	is.True(!h.Suspect("e", now.Add(2*firstRest)))
	h.Forget("e")
	is.True(!h.Suspect("e", now))
}

func TestHealthUnreachableAtOnce(t *testing.T) {
	is := is.New(t)
	h := NewTable()
	is.True(h.Note("e", Unreachable, start))
	is.True(h.Suspect("e", start))
}

func TestHealthForgives(t *testing.T) {
	is := is.New(t)
	h := NewTable()
	for range 20 {
		h.Note("e", Bad, start)
		for range 4 {
			h.Note("e", Good, start)
		}
	}
	is.True(!h.Suspect("e", start))
}
