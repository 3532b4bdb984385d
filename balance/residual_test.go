package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/residual"
)

// TestResidualLoad checks when the load of a peer's process counts as that of a process that is gone, and
// that it never counts twice.
func TestResidualLoad(t *testing.T) {
	start := time.Unix(1000, 0)
	peer := residual.Message{Name: "p", Incarnation: 1, Complete: true}
	next, leaving := peer, peer
	next.Incarnation, leaving.Leaving = 2, true
	loads := func() map[string]Load {
		return map[string]Load{"e": {PrefillMs: 20, Short: 3, Long: 1, MemoryTokens: 9000}}
	}
	for name, c := range map[string]struct {
		first residual.Message
		then  residual.Message // its next message; the zero value: none
		after time.Duration
		want  Load
	}{
		"live":       {peer, residual.Message{}, time.Second, loads()["e"]},
		"silent":     {peer, residual.Message{}, peerTTL + time.Millisecond, Load{Short: 4, MemoryTokens: 9000}},
		"left":       {leaving, residual.Message{}, peerTTL + time.Millisecond, Load{}},
		"replaced":   {peer, next, 100 * time.Millisecond, Load{Short: 4, MemoryTokens: 9000}},
		"comes back": {peer, peer, 2 * peerTTL, Load{}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tracker := NewLoadTracker()
			table := residual.NewTable(1)
			table.Due(nil, 1, start.Add(-time.Minute))
			tracker.CountResidual(table)
			record := func(m residual.Message, loads map[string]Load, now time.Time) {
				tracker.RecordPeerProcess(m, loads, now)
				tracker.SetPeerLoad("p", "dc", loads, now)
			}
			record(c.first, loads(), start)
			now := start.Add(c.after)
			if c.then.Name != "" {
				tracker.Load("e", now) // so that the silence is noticed first
				record(c.then, nil, now)
			}
			is.Equal(tracker.Load("e", now), c.want)
			is.Equal(tracker.LoadExcluding("e", nil, now), c.want)
		})
	}
}

// TestPartialMessageAfterSilence guards against endpoints that look free because the first message of a
// gateway that was silent has only the load that changed.
func TestPartialMessageAfterSilence(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	tracker, table := NewLoadTracker(), residual.NewTable(1)
	table.Due(nil, 1, start.Add(-time.Minute))
	tracker.CountResidual(table)
	peer := residual.Message{Name: "p", Incarnation: 1, Complete: true}
	tracker.RecordPeerProcess(peer, nil, start)
	tracker.SetPeerLoad("p", "dc", map[string]Load{"e": {Short: 4}}, start)
	back := start.Add(peerTTL + time.Millisecond)
	peer.Complete = false
	tracker.RecordPeerProcess(peer, nil, back)
	tracker.UpdatePeerLoad("p", "dc", map[string]Load{"f": {Short: 1}}, back)
	is.Equal(tracker.Load("e", back).Short, 4)
	is.Equal(tracker.Load("f", back).Short, 1)
	peer.Complete = true
	tracker.RecordPeerProcess(peer, nil, back)
	tracker.SetPeerLoad("p", "dc", map[string]Load{"e": {Short: 2}}, back)
	is.Equal(tracker.Load("e", back).Short, 2)
	is.Equal(tracker.Load("f", back).Short, 0)
}
