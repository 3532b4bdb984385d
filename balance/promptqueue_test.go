package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// afterMinWait is the earliest time at which a prompt that joined at start may have its
// turn.
var afterMinWait = start.Add(minQueueWait)

func TestPromptQueueByDueTime(t *testing.T) {
	is := is.New(t)
	queue := NewPromptQueue()
	later := queue.Join("s", InTime, start.Add(3*time.Second), start)
	sooner := queue.Join("s", InTime, start.Add(time.Second), start)
	other := queue.Join("t", InTime, start.Add(9*time.Second), start)
	is.True(!queue.First(later, InTime, afterMinWait))
	is.True(queue.First(sooner, InTime, afterMinWait))
	is.True(queue.First(other, InTime, afterMinWait)) // another service
	queue.Leave(sooner)
	is.True(queue.First(later, InTime, afterMinWait))
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
	is.True(queue.First(inTime, InTime, afterMinWait))
	is.True(!queue.First(oversize, Oversize, afterMinWait))
	queue.Leave(inTime)
	is.True(queue.First(oversize, Oversize, afterMinWait))
	is.True(!queue.First(late, Late, afterMinWait))
	// The oversize prompt is late too now, and due later.
	is.True(!queue.First(oversize, Late, afterMinWait))
	is.True(queue.First(late, Late, afterMinWait))
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
	is.True(a.First(first, InTime, afterMinWait))
	is.True(!b.First(second, InTime, afterMinWait))
	a.Leave(first)
	b.SetPeerHeads("a", a.LocalHeads(afterMinWait), afterMinWait.Add(time.Millisecond))
	is.True(b.First(second, InTime, afterMinWait.Add(time.Millisecond)))
}

// TestPromptQueueWaitsForMessages: a new prompt waits until a message about a placement
// that a peer makes at the same time would have arrived.
func TestPromptQueueWaitsForMessages(t *testing.T) {
	is := is.New(t)
	queue := NewPromptQueue()
	entry := queue.Join("s", InTime, start, start)
	is.True(queue.First(entry, InTime, start)) // no peers
	queue.SetPeerHeads("p", nil, start)
	is.True(!queue.First(entry, InTime, afterMinWait.Add(-time.Millisecond)))
	is.True(queue.First(entry, InTime, afterMinWait))
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
