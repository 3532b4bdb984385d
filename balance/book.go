package balance

import (
	"time"
)

// Load is what is under way at one endpoint.
type Load struct {
	ReadMs  float64 `msgpack:"r"` // time of prompts that are still to be read
	Short   int     `msgpack:"s"` // requests with short prompts
	Long    int     `msgpack:"l"` // requests with long prompts
	Tokens  int     `msgpack:"t"` // memory that the requests need
	Pending int     `msgpack:"p"` // of Short, those whose first event has not come
}

func (l *Load) add(o Load, sign int) {
	l.ReadMs += float64(sign) * o.ReadMs
	l.Short += sign * o.Short
	l.Long += sign * o.Long
	l.Tokens += sign * o.Tokens
	l.Pending += sign * o.Pending
}

// peerLife is how long a peer's last word counts. A live peer speaks several
// times a second.
const peerLife = 1500 * time.Millisecond

type peer struct {
	at    time.Time
	loads map[string]Load
}

// Book keeps the load by endpoint. It is not safe for concurrent use.
type Book struct {
	own   map[string]*Load
	peers map[string]peer
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{own: make(map[string]*Load), peers: make(map[string]peer)}
}

// Add counts load at an endpoint; Remove takes the same load off again.
func (b *Book) Add(endpoint string, l Load) { b.change(endpoint, l, 1) }

// Remove takes load off an endpoint.
func (b *Book) Remove(endpoint string, l Load) { b.change(endpoint, l, -1) }

func (b *Book) change(endpoint string, l Load, sign int) {
	own := b.own[endpoint]
	if own == nil {
		own = new(Load)
		b.own[endpoint] = own
	}
	own.add(l, sign)
	if own.Short == 0 && own.Long == 0 && own.ReadMs < 0.01 && own.Tokens == 0 {
		delete(b.own, endpoint)
	}
}

// Own returns a copy of this gateway's load, to be told to its peers.
func (b *Book) Own() map[string]Load {
	out := make(map[string]Load, len(b.own))
	for id, l := range b.own {
		out[id] = *l
	}
	return out
}

// Peer takes in a peer's whole load.
func (b *Book) Peer(name string, loads map[string]Load, now time.Time) {
	b.peers[name] = peer{at: now, loads: loads}
}

// Peers returns how many peers were heard lately.
func (b *Book) Peers(now time.Time) int {
	for name, p := range b.peers {
		if now.Sub(p.at) > peerLife {
			delete(b.peers, name)
		}
	}
	return len(b.peers)
}

// Load returns what all gateways together have at an endpoint.
func (b *Book) Load(endpoint string, now time.Time) Load {
	var sum Load
	if own := b.own[endpoint]; own != nil {
		sum = *own
	}
	for _, p := range b.peers {
		if now.Sub(p.at) <= peerLife {
			sum.add(p.loads[endpoint], 1)
		}
	}
	return sum
}
