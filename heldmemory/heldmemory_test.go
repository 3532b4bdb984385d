package heldmemory

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_000_000, 0)

// waiting is a reader that has not read since a time.
type waiting time.Time

func (w waiting) WaitingSince() time.Time { return time.Time(w) }

// TestAdmit guards against more memory than the limit, and against disconnecting a caller that reads or
// has only just stopped.
func TestAdmit(t *testing.T) {
	reading, stopped, stoppedLonger, justStopped := waiting{}, waiting(start.Add(-time.Second)), waiting(start.Add(-2*time.Second)), waiting(start.Add(-100*time.Millisecond))
	cases := []struct {
		name     string
		present  []Reader
		admitted bool
		evicted  Reader
	}{
		{"room", []Reader{reading, stopped}, true, nil},
		{"all read", []Reader{reading, reading, reading}, false, nil},
		{"one has just stopped", []Reader{reading, justStopped, reading}, false, nil},
		{"one has stopped", []Reader{reading, stopped, justStopped}, true, stopped},
		{"two have stopped", []Reader{stopped, stoppedLonger, reading}, true, stoppedLonger},
		{"unknown readers", []Reader{nil, nil, nil}, false, nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			l := NewLedger(350, 100, 500*time.Millisecond)
			var requests []*Request
			for _, r := range tc.present {
				admitted, _, _ := l.Admit(r, start.Add(-time.Hour))
				requests = append(requests, admitted)
			}
			admitted, evicted, ok := l.Admit(reading, start)
			is.Equal(ok, tc.admitted)
			is.Equal(admitted != nil, tc.admitted)
			is.Equal(evicted, tc.evicted)
			is.True(l.Held() <= 350)
			for _, r := range append(requests, admitted) {
				l.Release(r) // also the evicted one, and nil
			}
			is.Equal(l.Held(), int64(0))
		})
	}
}
