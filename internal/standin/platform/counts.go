package platform

import "sync"

// Counts holds the numbers of calls received since the start, by kind. Calls refused by the rate
// limits are also counted under their kind.
type Counts struct {
	Range     int64 `json:"range"`
	Txn       int64 `json:"txn"`
	Grant     int64 `json:"grant"`
	KeepAlive int64 `json:"keepalive"`
	Revoke    int64 `json:"revoke"`
	Watch     int64 `json:"watch"`
	Hosts     int64 `json:"hosts"`
	Limited   int64 `json:"limited"`  // refused by the rate limits
	Watching  int64 `json:"watching"` // watches open now
}

// Reads returns the calls that count as reads.
func (c Counts) Reads() int64 { return c.Range + c.Watch + c.Hosts }

// Writes returns the calls that count as writes.
func (c Counts) Writes() int64 { return c.Txn + c.Grant + c.KeepAlive + c.Revoke }

// counter guards Counts.
type counter struct {
	mu     sync.Mutex
	counts Counts
}

func (c *counter) get() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

func (c *counter) add(field func(*Counts) *int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*field(&c.counts)++
}

func (c *counter) addWatching(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Watching += n
}
