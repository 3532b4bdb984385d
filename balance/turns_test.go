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
	queue := NewPromptQueue()
	later := queue.Join("s", InTime, start.Add(3*time.Second), start)
	sooner := queue.Join("s", InTime, start.Add(time.Second), start)
	other := queue.Join("t", InTime, start.Add(9*time.Second), start)
	is.True(!queue.First(later, InTime, settled))
	is.True(queue.First(sooner, InTime, settled))
	is.True(queue.First(other, InTime, settled)) // another service
	queue.Leave(sooner)
	is.True(queue.First(later, InTime, settled))
	is.Equal(queue.Waiting(), 2)
}

// TestPromptQueueByUrgency: a prompt that can be in time goes before an oversize one,
// and that before a late one, regardless of their due times.
func TestPromptQueueByUrgency(t *testing.T) {
	is := is.New(t)
	queue := NewPromptQueue()
	late := queue.Join("s", Late, start.Add(-time.Second), start)
	oversize := queue.Join("s", Oversize, start.Add(time.Second), start)
	inTime := queue.Join("s", InTime, start.Add(2*time.Second), start)
	is.True(queue.First(inTime, InTime, settled))
	is.True(!queue.First(oversize, Oversize, settled))
	queue.Leave(inTime)
	is.True(queue.First(oversize, Oversize, settled))
	is.True(!queue.First(late, Late, settled))
	// The oversize prompt is late too now, and due later.
	is.True(!queue.First(oversize, Late, settled))
	is.True(queue.First(late, Late, settled))
}

// TestPromptQueueWithPeers: two gateways with one prompt each never place them at the
// same time, as long as each receives the other's messages in time.
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

// TestPromptQueueWaitsForMessages: a new prompt waits until a message about a placement
// that a peer makes at the same time would have arrived.
func TestPromptQueueWaitsForMessages(t *testing.T) {
	is := is.New(t)
	queue := NewPromptQueue()
	entry := queue.Join("s", InTime, start, start)
	is.True(queue.First(entry, InTime, start)) // no peers
	queue.SetPeerHeads("p", nil, start)
	is.True(!queue.First(entry, InTime, settled.Add(-time.Millisecond)))
	is.True(queue.First(entry, InTime, settled))
}

// TestPromptQueueIgnoresSilentPeers: a peer that has fallen silent blocks no prompts.
func TestPromptQueueIgnoresSilentPeers(t *testing.T) {
	is := is.New(t)
	queue := NewPromptQueue()
	entry := queue.Join("s", InTime, start.Add(time.Second), start)
	queue.SetPeerHeads("p", map[string]QueueHead{"s": {Urgency: InTime, DueInMs: 10}}, start)
	is.True(!queue.First(entry, InTime, start.Add(headTTL)))
	is.True(queue.First(entry, InTime, start.Add(headTTL+time.Millisecond)))
	queue.ExpirePeers(start.Add(peerTTL + time.Millisecond))
	is.Equal(len(queue.peers), 0)
}

func TestLocalHeads(t *testing.T) {
	is := is.New(t)
	queue := NewPromptQueue()
	queue.Join("s", Late, start, start)
	queue.Join("s", InTime, start.Add(2*time.Second), start)
	queue.Join("s", InTime, start.Add(time.Second), start)
	is.Equal(queue.LocalHeads(start), map[string]QueueHead{"s": {Urgency: InTime, DueInMs: 1000}})
}
