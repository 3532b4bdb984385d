package catalog

import (
	"testing"

	"github.com/matryer/is"
)

// TestPickService guards against services that get another share of the requests than their weight.
func TestPickService(t *testing.T) {
	is := is.New(t)
	r := &Route{Targets: []Target{{Service: "a", Weight: 1}, {Service: "none", Weight: 0}, {Service: "b", Weight: 2}}}
	got := ""
	for i := range 3 {
		got += r.PickService(func(n int) int {
			is.Equal(n, 3)
			return i
		})
	}
	is.Equal(got, "abb")
	is.Equal((&Route{}).PickService(nil), "")
}

// TestSameTargets guards against a request in flight that keeps a route whose services have changed.
func TestSameTargets(t *testing.T) {
	is := is.New(t)
	r := &Route{Name: "r", Targets: []Target{{Service: "a", Weight: 1}}}
	is.True(r.SameTargets(r))
	is.True(r.SameTargets(&Route{Name: "r", Targets: []Target{{Service: "a", Weight: 2}}}))
	is.True(!r.SameTargets(&Route{Name: "other", Targets: r.Targets}))
	is.True(!r.SameTargets(&Route{Name: "r", Targets: []Target{{Service: "b", Weight: 1}}}))
	is.True(!r.SameTargets(&Route{Name: "r"}))
}
