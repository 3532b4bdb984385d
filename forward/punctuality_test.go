package forward

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPunctuality guards against a gateway with too little processor time that goes on forwarding,
// and against one that never forwards again after a pause.
func TestPunctuality(t *testing.T) {
	const onTime, late = maxDelay, maxDelay + time.Millisecond
	for name, c := range map[string]struct {
		delays []time.Duration
		want   bool
	}{
		"none":                        {nil, true},
		"on time":                     {[]time.Duration{0, onTime, 0, onTime}, true},
		"one pause":                   {[]time.Duration{0, 3 * time.Second, 0}, true},
		"often late":                  {[]time.Duration{0, late, 0, 0, late, 0}, false},
		"always late":                 {[]time.Duration{late, late, late, late, late, late, late, late, late, late}, false},
		"one of the two is forgotten": {[]time.Duration{late, 0, 0, 0, 0, 0, 0, 0, late}, true},
	} {
		t.Run(name, func(t *testing.T) {
			var p Punctuality
			for _, d := range c.delays {
				p.Record(d)
			}
			is.New(t).Equal(p.Punctual(), c.want)
		})
	}
}
