package agent

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	"github.com/micarudder/micarudder/inner"
	"github.com/micarudder/micarudder/membership"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
	"github.com/micarudder/micarudder/rudderv1/rudderv1connect"
)

const (
	// handoverTimeout limits a complete handover, including all peers that are tried.
	handoverTimeout = 10 * time.Second
	// partTimeout limits the sending of one part, and partAttempts the number of attempts.
	partTimeout  = 2 * time.Second
	partAttempts = 2
	// partBytes and partRecords limit the size of one part.
	partBytes   = 1 << 20
	partRecords = 1000
	// maxResponseBytes is the size of the longest response that is handed over. For a longer one
	// only the end is.
	maxResponseBytes = inner.MaxMessage - partBytes - 1<<16
	// maxSuccessors is the maximum number of peers that are tried.
	maxSuccessors = 8
	// successorNoticeTimeout is how long a draining agent waits until its gateways have
	// received its successor's address.
	successorNoticeTimeout = time.Second
	// cancelWait is how long canceled runs may take to end.
	cancelWait = 2 * time.Second
)

// errNoSuccessor is returned if no peer accepted the records.
var errNoSuccessor = errors.New("agent: no peer accepted the run records")

// recordSet is a snapshot of the records of one incarnation.
type recordSet struct {
	from       string
	clockMS    int64 // clock of the incarnation, in milliseconds
	at         time.Time
	runs       []*run
	tombstones map[string]time.Time
}

func (e *recordSet) size() uint64 { return uint64(len(e.runs) + len(e.tombstones)) }

// HandOver sends the records of this incarnation, and those that it inherited, to a peer. It
// is called when the agent refuses all new work and no run is left, so that the records are
// final; a run that is left is canceled. It returns when the gateways have received the
// successor's address.
func (a *Agent) HandOver(ctx context.Context) error {
	if a.deps.Client == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	a.cancelRemaining()
	sets := a.recordSets()
	start := time.Now()
	peer, err := a.handOverTo(ctx, a.successors(), sets)
	if err != nil {
		a.deps.Log.Warn("Records were not handed over.", "records", sets[0].size(), "err", err)
		return err
	}
	a.deps.Log.Info("Handed over.", "to", peer.Endpoint, "records", sets[0].size(), "took", time.Since(start))
	a.mu.Lock()
	a.successor = peer.Address
	a.notify()
	a.mu.Unlock()
	a.awaitSuccessorNotices()
	return nil
}

// cancelRemaining cancels the runs that are left when a drain times out. It first breaks the
// connections of their readers, so that they do not receive the cancellation: a repeatable
// request then continues at another endpoint.
func (a *Agent) cancelRemaining() {
	close(a.drainEnded)
	a.mu.Lock()
	a.draining.stopping, a.draining.admissionClosed = true, true
	for _, r := range a.records.runs {
		if _, final := r.final(); !final {
			defer a.cancelRun(r)
		}
	}
	a.mu.Unlock()
	timeout := time.NewTimer(cancelWait)
	defer timeout.Stop()
	for {
		a.mu.Lock()
		busy, ch := a.records.unfinishedRuns(), a.changed
		a.mu.Unlock()
		if busy == 0 {
			return
		}
		select {
		case <-ch:
		case <-timeout.C:
			return
		}
	}
}

// recordSets returns the records of all incarnations, starting with this one.
func (a *Agent) recordSets() []*recordSet {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	own := &recordSet{from: a.incarnation, clockMS: a.clockMS(), at: now, tombstones: a.records.tombstones}
	for _, r := range a.records.runs {
		own.runs = append(own.runs, r)
	}
	all := []*recordSet{own}
	for from, h := range a.inherited {
		if !h.complete {
			continue
		}
		e := &recordSet{from: from, clockMS: now.Sub(h.startedAt).Milliseconds(), at: now, tombstones: h.tombstones}
		for _, r := range h.runs {
			e.runs = append(e.runs, r)
		}
		all = append(all, e)
	}
	return all
}

// successors returns the peers to try, best first.
func (a *Agent) successors() []membership.Peer {
	doc := a.deps.Tracker.Document()
	self := membership.Peer{Endpoint: a.cfg.Endpoint, Host: a.cfg.Host, DataCentre: a.cfg.DataCentre}
	var peers []membership.Peer
	for _, e := range doc.Endpoints {
		peers = append(peers, membership.Peer{
			Endpoint: e.Name, Host: e.Host, DataCentre: e.DataCentre, Address: e.AgentAddress, Draining: documentDraining(doc, e.Name, e.Host),
		})
	}
	list := membership.Successors(self, a.incarnation, peers)
	return list[:min(len(list), maxSuccessors)]
}

// handOverTo sends the record sets to the first peer that accepts all of them.
func (a *Agent) handOverTo(ctx context.Context, peers []membership.Peer, sets []*recordSet) (membership.Peer, error) {
	err := errNoSuccessor
	for _, p := range peers {
		client := rudderv1connect.NewAgentServiceClient(a.deps.Client, a.deps.Client.URL(p.Address), inner.ClientOptions()...)
		if err = a.sendAll(ctx, client, sets); err == nil {
			return p, nil
		}
		a.deps.Log.Warn("A peer did not accept the run records.", "peer", p.Endpoint, "err", err)
		if ctx.Err() != nil {
			break
		}
	}
	return membership.Peer{}, err
}

func (a *Agent) sendAll(ctx context.Context, client rudderv1connect.AgentServiceClient, sets []*recordSet) error {
	for _, e := range sets {
		if err := e.send(ctx, client, a.cfg.Endpoint); err != nil {
			return err
		}
	}
	return nil
}

// send sends the record set in parts.
func (e *recordSet) send(ctx context.Context, client rudderv1connect.AgentServiceClient, endpoint string) error {
	part := e.newPart(endpoint)
	bytes := 0
	add := func(rec *rudderv1.RunRecord) error {
		size := len(rec.Answer)
		if len(part.Records) > 0 && (bytes+size > partBytes || len(part.Records) >= partRecords) {
			if err := sendPart(ctx, client, part); err != nil {
				return err
			}
			part, bytes = e.newPart(endpoint), 0
		}
		part.Records = append(part.Records, rec)
		bytes += size
		return nil
	}
	for _, r := range e.runs {
		if err := add(r.record(e)); err != nil {
			return err
		}
	}
	for id, expires := range e.tombstones {
		rec := &rudderv1.RunRecord{RequestId: id, Incarnation: e.from, Tombstone: true, ExpiresInMs: expires.Sub(e.at).Milliseconds()}
		if err := add(rec); err != nil {
			return err
		}
	}
	part.Last, part.Total = true, e.size()
	return sendPart(ctx, client, part)
}

func (e *recordSet) newPart(endpoint string) *rudderv1.HandoverRequest {
	return &rudderv1.HandoverRequest{From: e.from, AgentMs: e.clockMS, Endpoint: endpoint}
}

// record returns the run in the form that is sent to the successor.
func (r *run) record(e *recordSet) *rudderv1.RunRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := &rudderv1.RunRecord{
		RequestId: r.req.RequestId, Attempt: r.req.Attempt, Workspace: r.req.Workspace, Repeatable: r.req.Repeatable,
		Incarnation: e.from, ExpiresInMs: r.expires.Sub(e.at).Milliseconds(), Digest: r.digest, Head: r.head, End: r.end,
	}
	if len(r.buf) <= maxResponseBytes && r.end != nil {
		rec.Answer = r.buf
	}
	return rec
}

// sendPart sends one part and retries on failure; a part may arrive more than once.
func sendPart(ctx context.Context, client rudderv1connect.AgentServiceClient, part *rudderv1.HandoverRequest) error {
	var err error
	for range partAttempts {
		var resp *connect.Response[rudderv1.HandoverResponse]
		resp, err = sendPartOnce(ctx, client, part)
		if err != nil {
			continue
		}
		if !resp.Msg.Accepted {
			return trace.Errorf("peer refused the run records: %v", result.Code(resp.Msg.Code))
		}
		return nil
	}
	return trace.Wrap(err)
}

func sendPartOnce(ctx context.Context, client rudderv1connect.AgentServiceClient, part *rudderv1.HandoverRequest) (*connect.Response[rudderv1.HandoverResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	return client.Handover(ctx, connect.NewRequest(part))
}

// subscription is a gateway that receives the agent's reports.
type subscription struct{ sentSuccessor string } // successor in the last report sent

// awaitSuccessorNotices waits until the successor was sent to every subscribed gateway.
func (a *Agent) awaitSuccessorNotices() {
	timeout := time.NewTimer(successorNoticeTimeout)
	defer timeout.Stop()
	for {
		a.mu.Lock()
		missing := 0
		for s := range a.subscriptions {
			if s.sentSuccessor != a.successor {
				missing++
			}
		}
		ch := a.changed
		a.mu.Unlock()
		if missing == 0 {
			return
		}
		select {
		case <-ch:
		case <-timeout.C:
			a.deps.Log.Warn("Some gateways were not sent the successor's address.", "gateways", missing)
			return
		}
	}
}

// subscribe registers a gateway until the returned function is called.
func (a *Agent) subscribe() (*subscription, func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := new(subscription)
	a.subscriptions[s] = struct{}{}
	return s, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.subscriptions, s)
		a.wakeNoticeWait()
	}
}

// recordSent records which successor was sent to a gateway.
func (a *Agent) recordSent(s *subscription, r *rudderv1.AgentReport) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.sentSuccessor != r.Successor {
		s.sentSuccessor = r.Successor
		a.wakeNoticeWait()
	}
}

// wakeNoticeWait wakes awaitSuccessorNotices; the caller holds mu.
func (a *Agent) wakeNoticeWait() {
	if a.successor != "" {
		a.notify()
	}
}
