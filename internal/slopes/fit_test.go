package main

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestLine(t *testing.T) {
	is := is.New(t)
	x := []float64{1, 2, 3, 4}
	good := fitLine("bytes", "B/s", x, []float64{12, 14, 16, 18})
	is.True(strings.Contains(good, "10.0000 +  2.00000 n"))
	is.True(!strings.Contains(good, "bad fit"))
	is.True(strings.Contains(fitLine("bytes", "B/s", x[:2], []float64{12, 14}), "too few points"))
	is.True(strings.Contains(fitLine("bytes", "B/s", x, []float64{1, 9, 0, 8}), "bad fit"))
}
