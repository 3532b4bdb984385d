package relay

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/upstream"
)

const (
	// holdTime is how long memory stays set aside without renewal. It bounds
	// what a killed gateway or an order that is carried out late can leave
	// behind; endpoints want unused memory back within four seconds.
	holdTime = 3 * time.Second
	// renewEvery leaves two tries before the memory lapses.
	renewEvery = holdTime / 3
	// orderTime bounds an order about memory; it takes one round trip.
	orderTime = 400 * time.Millisecond
)

// reservation is memory set aside at one endpoint for one request.
type reservation struct {
	endpoint catalog.Endpoint
	id       string
	tokens   int
}

// reservations is the memory set aside for one send.
type reservations struct {
	g       *Gateway
	request string
	// generating is the endpoint that the request goes to.
	generating catalog.Endpoint
	list       []*reservation
	use        memoryUse
	stop       context.CancelFunc // of the renewals
	done       sync.WaitGroup
}

// noMemory is a failure to set memory aside.
type noMemory struct {
	endpoints []string // that failed
	err       error    // of one of them
}

// Error implements error.
func (n *noMemory) Error() string { return n.err.Error() }

// Unwrap returns the cause.
func (n *noMemory) Unwrap() error { return n.err }

// reserve sets memory aside at every helper that the choice names. On failure,
// which is a *noMemory, nothing stays set aside.
func (g *Gateway) reserve(ctx context.Context, request string, at *place) (*reservations, error) {
	type ending struct {
		endpoint string
		err      error
	}
	r := &reservations{g: g, request: request, generating: at.endpoint}
	endings := make(chan ending, len(at.reserve))
	for _, want := range at.reserve {
		one := &reservation{endpoint: want.endpoint, id: uuid.NewString(), tokens: want.tokens}
		r.list = append(r.list, one)
		go func() {
			err := g.order(ctx, one, g.deps.Protocol.Reserve(one.endpoint.ID, one.id, one.tokens, holdTime))
			endings <- ending{one.endpoint.ID, err}
		}()
	}
	var failed noMemory
	for range r.list {
		if e := <-endings; e.err != nil {
			failed.endpoints = append(failed.endpoints, e.endpoint)
			failed.err = e.err
		}
	}
	g.deps.Log.Request("Memory set aside.", "request", request, "generating", at.endpoint.ID, "endpoints", r.endpoints(), "reservations", r.ids(),
		"failed", failed.endpoints, "err", failed.err)
	if failed.err != nil {
		g.meter.reserveFailures.Inc()
		r.release()
		return nil, &failed
	}
	r.use.begin(time.Now())
	renewing, stop := context.WithCancel(g.ctx)
	r.stop = stop
	r.done.Go(func() { r.renew(renewing) })
	return r, nil
}

// endpoints returns where memory is set aside, and ids under which names, for the log.
func (r *reservations) endpoints() []string {
	out := make([]string, len(r.list))
	for i, one := range r.list {
		out[i] = one.endpoint.ID
	}
	return out
}

func (r *reservations) ids() []string {
	out := make([]string, len(r.list))
	for i, one := range r.list {
		out[i] = one.id
	}
	return out
}

// helpers returns the helpers of a send with the memory set aside there.
func (r *reservations) helpers(at *place) []Helper {
	out := make([]Helper, 0, len(at.helpers))
	for _, e := range at.helpers {
		h := Helper{Address: e.Address}
		if r != nil {
			for _, one := range r.list {
				if one.endpoint.ID == e.ID {
					h.Reservation = one.id
				}
			}
		}
		out = append(out, h)
	}
	return out
}

// renew keeps the memory set aside until ctx ends.
func (r *reservations) renew(ctx context.Context) {
	tick := time.NewTicker(renewEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		r.askUse(ctx)
		for _, one := range r.list {
			if !r.g.state.SameLife(one.endpoint) {
				continue // it holds nothing of this, and must not set it aside anew
			}
			r.done.Go(func() {
				if err := r.g.order(ctx, one, r.g.deps.Protocol.Reserve(one.endpoint.ID, one.id, one.tokens, holdTime)); err != nil && ctx.Err() == nil {
					r.g.deps.Log.Request("Memory was not renewed.", "endpoint", one.endpoint.ID, "reservation", one.id, "err", err)
				}
			})
		}
	}
}

// release gives the memory back in the background. An order that gets no answer
// is not repeated: the memory lapses by itself.
func (r *reservations) release() {
	if r == nil {
		return
	}
	if r.stop != nil {
		r.stop()
	}
	for _, one := range r.list {
		r.g.tasks.Go(func() {
			r.done.Wait() // a renewal must not overtake the release
			if err := r.g.order(context.WithoutCancel(r.g.ctx), one, r.g.deps.Protocol.Release(one.endpoint.ID, one.id)); err != nil {
				r.g.deps.Log.Request("Memory was not released; it lapses.", "endpoint", one.endpoint.ID, "reservation", one.id, "err", err)
			}
		})
	}
}

// order gives one order about memory.
func (g *Gateway) order(ctx context.Context, r *reservation, o *upstream.Request) error {
	ctx, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	g.meter.orders.Inc()
	res, err := g.deps.Endpoints.Do(ctx, r.endpoint.ID, r.endpoint.Address, o)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return trace.Wrap(err)
	}
	if res.StatusCode != http.StatusOK {
		return trace.Errorf("endpoint %s answered %s", r.endpoint.ID, res.Status)
	}
	return nil
}
