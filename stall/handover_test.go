package stall

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestHandover guards against a stream that neither of two endpoints delivers to its end, and against one
// that both deliver, so that events are repeated.
func TestHandover(t *testing.T) {
	cases := []struct {
		name               string
		events             []string
		kept, moved, isCut bool
	}{
		{"next endpoint first", []string{"begun", "delivered"}, false, true, true},
		{"first endpoint first", []string{"delivered", "begun"}, true, false, false},
		{"first endpoint broke before", []string{"broke", "begun"}, false, true, false},
		{"first endpoint is cut", []string{"begun", "broke"}, false, true, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var h Handover
			kept, moved, isCut := false, false, false
			for _, event := range tc.events {
				switch event {
				case "delivered":
					kept = h.Delivered()
				case "broke":
					is.Equal(h.Broke(), tc.events[0] == event)
				case "begun":
					moved, isCut = h.Begun()
				}
			}
			is.Equal(kept, tc.kept)
			is.Equal(moved, tc.moved)
			is.Equal(isCut, tc.isCut)
		})
	}
}

// TestHandoverHasOneOwner: in whatever order the endpoints deliver, exactly one keeps the stream.
func TestHandoverHasOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h Handover
		kept, moved := false, false
		if rapid.Bool().Draw(t, "next endpoint first") {
			moved, _ = h.Begun()
			kept = h.Delivered()
		} else {
			kept = h.Delivered()
			moved, _ = h.Begun()
		}
		if kept == moved {
			t.Fatalf("kept %v, moved %v", kept, moved)
		}
	})
}
