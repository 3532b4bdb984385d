package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/heldmemory"
	"github.com/micarudder/micarudder/internal/memtest"
	"github.com/micarudder/micarudder/result"
)

// TestManyLargeBodies guards against callers whose bodies, each within the limit, fill the memory of the gateway
// together.
func TestManyLargeBodies(t *testing.T) {
	const (
		maxBody = 1 << 20
		room    = 4
		uploads = 16
	)
	is := is.New(t)
	// A quarter of the memory is for small bodies.
	g := &Gateway{cfg: Config{MaxBody: maxBody, BodyTime: time.Minute}, bodies: heldmemory.NewBodies(room * maxBody * 4 / 3)}
	var done, finished sync.WaitGroup
	done.Add(uploads)
	outcomes := make(chan result.Code, uploads)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{w: w, r: r, raw: w}
		defer func() { x.body.Release() }()
		body, err := g.readBody(x)
		switch {
		case err != nil:
			outcomes <- err.Code
		case len(body) == maxBody:
			outcomes <- result.OK
		}
		done.Done()
		done.Wait() // all requests are under way at once
	}))
	defer server.Close()
	for i := range uploads {
		finished.Go(func() {
			length := int64(maxBody)
			if i%2 == 0 {
				length = -1 // chunked
			}
			r, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, io.NopCloser(io.LimitReader(memtest.Zeros{}, maxBody)))
			r.ContentLength = length
			if res, err := http.DefaultClient.Do(r); err == nil { // the server may close the connection before it has read the body
				_ = res.Body.Close()
			}
		})
	}
	finished.Wait()
	close(outcomes)
	counts := make(map[result.Code]int)
	for code := range outcomes {
		counts[code]++
	}
	is.True(counts[result.OK] >= 1)
	is.True(counts[result.OK] <= room)
	is.Equal(counts[result.OK]+counts[result.BodyMemoryFull], uploads)
	is.Equal(g.bodies.Held(), int64(0))
}
