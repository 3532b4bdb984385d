package agent

import (
	"bytes"
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/micarudder/micarudder/inner"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
	"github.com/micarudder/micarudder/rudderv1/rudderv1connect"
)

// exportPartBytes limits the bytes of a span in one message.
const exportPartBytes = 1 << 20

// Export sends the cache of a span that a live lease owns.
func (s *server) Export(ctx context.Context, req *connect.Request[rudderv1.ExportRequest], stream *connect.ServerStream[rudderv1.ExportPart]) error {
	a := s.a
	a.mu.Lock()
	live := a.mem.leases.Live(req.Msg.Reservation, time.Now())
	a.mu.Unlock()
	if !live || a.deps.Engine == nil {
		return connect.NewError(connect.CodeFailedPrecondition, result.New(result.LeaseLost, ""))
	}
	data, err := a.deps.Engine.Export(ctx, req.Msg.Span)
	if err != nil {
		return connect.NewError(connect.CodeUnavailable, err)
	}
	for len(data) > 0 {
		n := min(len(data), exportPartBytes)
		if err := stream.Send(&rudderv1.ExportPart{Data: data[:n]}); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// spanImport is the import of one span into this engine. err is valid once done is closed.
type spanImport struct {
	reservation string
	done        chan struct{}
	err         error
}

// importSpan returns when the span is in this engine under the job's lease. The first job that
// needs a span imports it; if that fails, another waiting job tries.
func (a *Agent) importSpan(j *spanJob, h *rudderv1.KVHandle) error {
	for {
		a.mu.Lock()
		m, exists := a.mem.imports[h.Id]
		if !exists {
			m = &spanImport{reservation: j.req.Reservation, done: make(chan struct{})}
			a.mem.imports[h.Id] = m
		}
		a.mu.Unlock()
		if !exists {
			return a.finishImport(h.Id, m, a.fetchAndImport(j, h))
		}
		select {
		case <-m.done:
		case <-j.ctx.Done():
			return context.Cause(j.ctx)
		}
		if m.err == nil {
			return nil
		}
	}
}

func (a *Agent) finishImport(id string, m *spanImport, err error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		delete(a.mem.imports, id)
	}
	m.err = err
	close(m.done)
	return err
}

// fetchAndImport fetches a span from the agent that holds it and imports it into this engine
// under the job's lease.
func (a *Agent) fetchAndImport(j *spanJob, h *rudderv1.KVHandle) error {
	data, err := a.fetchSpan(j.ctx, j.req.Reservation, h)
	if err != nil {
		if j.ctx.Err() != nil {
			return context.Cause(j.ctx)
		}
		return result.New(result.AgentLost, h.Endpoint+": "+err.Error())
	}
	if err := a.deps.Engine.Import(j.ctx, h.Id, j.req.Reservation, data); err != nil {
		if j.ctx.Err() != nil {
			return context.Cause(j.ctx)
		}
		return err
	}
	return nil
}

// fetchSpan reads the cache of a span from the agent of the endpoint that holds it.
func (a *Agent) fetchSpan(ctx context.Context, reservation string, h *rudderv1.KVHandle) ([]byte, error) {
	address := a.peerAddress(h.Endpoint)
	if address == "" || a.deps.Client == nil {
		return nil, result.New(result.NoEndpoint, "no such endpoint")
	}
	client := rudderv1connect.NewAgentServiceClient(a.deps.Client, a.deps.Client.URL(address), inner.ClientOptions()...)
	stream, err := client.Export(ctx, connect.NewRequest(&rudderv1.ExportRequest{Reservation: reservation, Span: h.Id}))
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	var b bytes.Buffer
	for stream.Receive() {
		_, _ = b.Write(stream.Msg().Data)
	}
	return b.Bytes(), stream.Err()
}

// peerAddress returns the declared address of an endpoint's agent.
func (a *Agent) peerAddress(endpoint string) string {
	for _, e := range a.deps.Tracker.Document().GetEndpoints() {
		if e.Name == endpoint {
			return e.AgentAddress
		}
	}
	return ""
}
