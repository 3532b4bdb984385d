package main

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestQuantiles(t *testing.T) {
	is := is.New(t)
	var x propagation
	for i := range 30 {
		x.took = append(x.took, time.Duration(i+1)*time.Millisecond)
	}
	is.Equal(x.quantile(0.5), 15*time.Millisecond)
	is.Equal(x.quantile(0.99), 30*time.Millisecond)
	is.Equal(x.quantile(0), time.Millisecond)
	is.Equal(x.quantile(1), 30*time.Millisecond)
}

func TestSlope(t *testing.T) {
	is := is.New(t)
	var calls []callRates
	for _, g := range callGateways {
		for _, a := range callAgents {
			calls = append(calls, callRates{gateways: g, agents: a, reads: 0.2 * float64(g)})
		}
	}
	reads := func(c callRates) float64 { return c.reads }
	near := func(a, b float64) bool { return a-b < 1e-9 && b-a < 1e-9 }
	is.True(near(slope(calls, gatewaysOf, reads), 0.2))
	is.True(near(slope(calls, agentsOf, reads), 0))
}
