package agent

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/micarudder/micarudder/lifecycle"
	"github.com/micarudder/micarudder/rudderv1"
	"github.com/micarudder/micarudder/service"
)

// runCall executes a call at the plain service.
func (a *Agent) runCall(r *run) {
	started := time.Now()
	c := r.req.Call
	response, err := a.deps.Service.Do(r.ctx, service.Call{
		ID: r.req.RequestId, Method: c.Method, Path: c.Path, Header: toHeader(c.Headers), Body: r.req.Body,
	})
	if err != nil {
		a.recordFailure(r, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	r.apply(lifecycle.Event{Kind: lifecycle.EvResponse}, "")
	r.setHead(&rudderv1.ServiceHead{Status: uint32(response.Status), Headers: fromHeader(response.Header)})
	a.readBody(r, response.Body, started)
}

// readBody copies the body of the service's response into the buffer.
func (a *Agent) readBody(r *run, body io.Reader, started time.Time) {
	first := time.Now()
	buf := make([]byte, readChunkBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 && !a.bufferResponse(r, buf[:n]) {
			return
		}
		if errors.Is(err, io.EOF) {
			a.finishCall(r, started, first)
			return
		}
		if err != nil {
			a.recordFailure(r, service.ErrLost)
			return
		}
	}
}

func (a *Agent) finishCall(r *run, started, first time.Time) {
	now := time.Now()
	a.mu.Lock()
	a.queue.Done(r.item, started.Sub(r.admitted), first.Sub(started), now.Sub(first), 0)
	load := a.load()
	a.mu.Unlock()
	r.finishOK("", nil, &rudderv1.RunTimes{QueuedUs: started.Sub(r.admitted).Microseconds()}, load)
}

func toHeader(hs []*rudderv1.Header) http.Header {
	h := make(http.Header, len(hs))
	for _, kv := range hs {
		h.Add(kv.Name, kv.Value)
	}
	return h
}

func fromHeader(h http.Header) []*rudderv1.Header {
	var out []*rudderv1.Header
	for name, values := range h {
		for _, v := range values {
			out = append(out, &rudderv1.Header{Name: name, Value: v})
		}
	}
	return out
}
