package cell

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
)

func TestGroup(t *testing.T) {
	for name, c := range map[string]struct {
		endpoints map[string]int
		want      map[string]string
	}{
		"no endpoints are one cell": {nil, map[string]string{"a": "", "b": ""}},
		"small data centres are one cell": {
			map[string]int{"a": 6, "b": 6, "c": 6}, map[string]string{"a": "a", "b": "a", "c": "a"}},
		"large ones are a cell each": {
			map[string]int{"a": 30, "b": 30, "c": 24}, map[string]string{"a": "a", "b": "b", "c": "c"}},
		"small ones go together": {
			map[string]int{"a": 15, "b": 15, "c": 15, "d": 15}, map[string]string{"a": "a", "b": "a", "c": "c", "d": "c"}},
		"a remainder joins the last one": {
			map[string]int{"a": 20, "b": 20, "c": 20}, map[string]string{"a": "a", "b": "a", "c": "a"}},
		"one that lost its endpoints joins a neighbour": {
			map[string]int{"a": 30, "b": 3, "c": 30}, map[string]string{"a": "a", "b": "b", "c": "b"}},
		"one without endpoints belongs to the one before it": {
			map[string]int{"b": 30, "d": 30}, map[string]string{"a": "b", "b": "b", "c": "b", "d": "d", "e": "d"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := Group(c.endpoints)
			for dataCentre, want := range c.want {
				is.Equal(m.Of(dataCentre), want) // the cell of the data centre
			}
		})
	}
}

// FuzzGroup checks that each data centre belongs to one cell and that every cell has
// minEndpoints if the fleet has. The loss of one endpoint may regroup data centres only
// if it was the last one of its data centre, or a cell had exactly minEndpoints.
func FuzzGroup(f *testing.F) {
	for seed := range uint64(20) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		r := rand.New(rand.NewPCG(seed, 0))
		fleet := make(map[string]int)
		total := 0
		for n := range r.IntN(20) {
			fleet[fmt.Sprint("dc", n)] = r.IntN(60)
		}
		for _, n := range fleet {
			total += n
		}
		m := Group(fleet)
		sizes := make(map[string]int)
		for dataCentre, n := range fleet {
			sizes[m.Of(dataCentre)] += n
		}
		for c, n := range sizes {
			if n < minEndpoints && total >= minEndpoints {
				t.Fatalf("cell %s of %v has %d endpoints", c, fleet, n)
			}
			if !slices.Contains(m.Cells(), c) && len(fleet) > 0 {
				t.Fatalf("%s is not a cell of %v", c, fleet)
			}
		}
		if anyCellExactlyFull(fleet) {
			return
		}
		for dataCentre, n := range fleet {
			if n <= 1 {
				continue // a data centre without endpoints joins the cell before it
			}
			fewer := maps.Clone(fleet)
			fewer[dataCentre]--
			checkSameGrouping(t, fleet, m, Group(fewer))
		}
	})
}

// checkSameGrouping checks that both maps put the same pairs of data centres into one cell.
func checkSameGrouping(t *testing.T, fleet map[string]int, before, after Map) {
	t.Helper()
	for a := range fleet {
		for b := range fleet {
			if (before.Of(a) == before.Of(b)) != (after.Of(a) == after.Of(b)) {
				t.Fatalf("the loss of one endpoint of %v separates or joins %s and %s", fleet, a, b)
			}
		}
	}
}

// anyCellExactlyFull reports whether a cell has exactly minEndpoints when it is closed, so
// that with one endpoint fewer it takes in the next data centre.
func anyCellExactlyFull(fleet map[string]int) bool {
	size := 0
	for _, name := range slices.Sorted(maps.Keys(fleet)) {
		size += fleet[name]
		if size == minEndpoints {
			return true
		}
		if size > minEndpoints {
			size = 0
		}
	}
	return false
}

// TestSharedWith checks that about half of a cell's endpoints are shared, about evenly with
// the other cells and never with their own, and all with the one cell that has none to spare.
func TestSharedWith(t *testing.T) {
	is := is.New(t)
	m := Group(map[string]int{"a": 30, "b": 30, "c": 30})
	count := func(noSpare map[string]bool) map[string]int {
		count := make(map[string]int)
		for i := range 1000 {
			if other, ok := m.SharedWith(fmt.Sprint("e", i), "b", noSpare); ok {
				count[other]++
			}
		}
		return count
	}
	even := count(nil)
	is.Equal(len(even), 2)
	is.True(even["a"] > 200 && even["c"] > 200)
	is.True(even["a"]+even["c"] < 600)
	is.Equal(count(map[string]bool{"c": true, "b": true}), map[string]int{"c": even["a"] + even["c"]})
	_, ok := Group(map[string]int{"a": 30}).SharedWith("e", "a", nil)
	is.True(!ok)
}
