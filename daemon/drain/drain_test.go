package drain

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPhaseAt: the process refuses requests once the load balancer has noticed the shutdown, and exits in time.
func TestPhaseAt(t *testing.T) {
	s := Schedule{DrainTime: 8 * time.Second, NoticeTime: 3 * time.Second}
	for name, c := range map[string]struct {
		elapsed time.Duration
		want    Phase
	}{
		"at the signal":       {0, Leaving},
		"not noticed":         {2999 * time.Millisecond, Leaving},
		"noticed":             {3 * time.Second, Refusing},
		"requests end":        {6900 * time.Millisecond, Answering},
		"drain time ends":     {7 * time.Second, Exiting},
		"drain time is over":  {9 * time.Second, Exiting},
		"shortly before exit": {6899 * time.Millisecond, Refusing},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(s.PhaseAt(c.elapsed), c.want)
		})
	}
}
