package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// settled is the earliest time at which a prompt that joined at start may have its
// turn.
var settled = start.Add(settleDelay)

func TestPromptQueueByDueTime(t *testing.T) {
	is := is.New(t)
	turns := NewPromptQueue()
	later := turns.Join("s", InTime, start.Add(3*time.Second), start)
	sooner := turns.Join("s", InTime, start.Add(time.Second), start)
	other := turns.Join("t", InTime, start.Add(9*time.Second), start)
	is.True(!turns.First(later, InTime, settled))
	is.True(turns.First(sooner, InTime, settled))
	is.True(turns.First(other, InTime, settled)) // another service
	turns.Leave(sooner)
	is.True(turns.First(later, InTime, settled))
	is.Equal(turns.Waiting(), 2)
}

// TestPromptQueueByUrgency: a prompt that can be in time goes before an oversize one, and that
// before a late one, regardless of their due times.
func TestPromptQueueByUrgency(t *testing.T) {
	is := is.New(t)
	turns := NewPromptQueue()
	late := turns.Join("s", Late, start.Add(-time.Second), start)
	oversize := turns.Join("s", Oversize, start.Add(time.Second), start)
	inTime := turns.Join("s", InTime, start.Add(2*time.Second), start)
	is.True(turns.First(inTime, InTime, settled))
	is.True(!turns.First(oversize, Oversize, settled))
	turns.Leave(inTime)
	is.True(turns.First(oversize, Oversize, settled))
	is.True(!turns.First(late, Late, settled))
	// The oversize prompt is late too now, and due later.
	is.True(!turns.First(oversize, Late, settled))
	is.True(turns.First(late, Late, settled))
}

// TestPromptQueueWithPeers: two gateways with one prompt each never place them at the same
// time, as long as each receives the other's messages in time.
func TestPromptQueueWithPeers(t *testing.T) {
	is := is.New(t)
	a, b := NewPromptQueue(), NewPromptQueue()
	first := a.Join("s", InTime, start.Add(time.Second), start)
	second := b.Join("s", InTime, start.Add(2*time.Second), start)
	a.SetPeerHeads("b", b.LocalHeads(start), start.Add(time.Millisecond))
	b.SetPeerHeads("a", a.LocalHeads(start), start.Add(time.Millisecond))
	is.True(a.First(first, InTime, settled))
	is.True(!b.First(second, InTime, settled))
	a.Leave(first)
	b.SetPeerHeads("a", a.LocalHeads(settled), settled.Add(time.Millisecond))
	is.True(b.First(second, InTime, settled.Add(time.Millisecond)))
}

// TestPromptQueueWaitsForMessages: a new prompt waits until a message about a placement that a
// peer makes at the same time would have arrived.
func TestPromptQueueWaitsForMessages(t *testing.T) {
	is := is.New(t)
	turns := NewPromptQueue()
	turn := turns.Join("s", InTime, start, start)
	is.True(turns.First(turn, InTime, start)) // no peers
	turns.SetPeerHeads("p", nil, start)
	is.True(!turns.First(turn, InTime, settled.Add(-time.Millisecond)))
	is.True(turns.First(turn, InTime, settled))
}

// TestPromptQueueIgnoresSilentPeers: a peer that has fallen silent blocks no prompts.
func TestPromptQueueIgnoresSilentPeers(t *testing.T) {
	is := is.New(t)
	turns := NewPromptQueue()
	turn := turns.Join("s", InTime, start.Add(time.Second), start)
	turns.SetPeerHeads("p", map[string]QueueHead{"s": {Urgency: InTime, DueInMs: 10}}, start)
	is.True(!turns.First(turn, InTime, start.Add(headTTL)))
	is.True(turns.First(turn, InTime, start.Add(headTTL+time.Millisecond)))
	turns.ExpirePeers(start.Add(peerTTL + time.Millisecond))
	is.Equal(len(turns.peers), 0)
}

func TestLocalHeads(t *testing.T) {
	is := is.New(t)
	turns := NewPromptQueue()
	turns.Join("s", Late, start, start)
	turns.Join("s", InTime, start.Add(2*time.Second), start)
	turns.Join("s", InTime, start.Add(time.Second), start)
	is.Equal(turns.LocalHeads(start), map[string]QueueHead{"s": {Urgency: InTime, DueInMs: 1000}})
}
