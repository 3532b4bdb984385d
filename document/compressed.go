package document

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"sync"

	"github.com/gravitational/trace"
)

// Compressed is the compressed JSON form of a value that many clients request. It is made once for each
// value. The zero value holds none. It is safe for concurrent use.
type Compressed struct {
	mu   sync.Mutex
	key  uint64 // identifies the content of body; 0: none
	body []byte
}

// Get returns the gzip-compressed JSON form of v, which key identifies; key is not 0.
func (c *Compressed) Get(key uint64, v any) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.key == key {
		return c.body, nil
	}
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if err := errors.Join(json.NewEncoder(z).Encode(v), z.Close()); err != nil {
		return nil, trace.Wrap(err)
	}
	c.key, c.body = key, b.Bytes()
	return c.body, nil
}
