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
	// handoverTime bounds a whole handover, with all peers that are tried.
	handoverTime = 10 * time.Second
	// partTime bounds one part, and partTries how often it is sent.
	partTime  = 2 * time.Second
	partTries = 2
	// partBytes and partRecords bound one part.
	partBytes   = 1 << 20
	partRecords = 1000
	// maxAnswer is the longest answer that is handed over, in bytes; of a
	// longer one only the end is.
	maxAnswer = inner.MaxMessage - partBytes - 1<<16
	// maxSuccessors bounds the peers that are tried.
	maxSuccessors = 8
	// farewell is how long a leaving agent waits for its gateways to hear who
	// its successor is.
	farewell = time.Second
	// settleTime is how long cancelled runs may take to end.
	settleTime = 2 * time.Second
)

// errNoSuccessor is returned when no peer took the records.
var errNoSuccessor = errors.New("agent: no peer took the run records")

// estate is the records of one incarnation at one moment.
type estate struct {
	from  string
	clock int64 // of the incarnation, in milliseconds
	at    time.Time
	runs  []*run
	tombs map[string]time.Time
}

func (e *estate) size() uint64 { return uint64(len(e.runs) + len(e.tombs)) }

// HandOver gives the records of this incarnation, and of those it answers for,
// to a peer. It is called once the agent refuses everything new and nothing
// runs, so that the records are final; what still runs is cancelled. It
// returns when the gateways know the successor.
func (a *Agent) HandOver(ctx context.Context) error {
	if a.deps.Client == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTime)
	defer cancel()
	a.cutOff()
	estates := a.estates()
	began := time.Now()
	peer, err := a.giveTo(ctx, a.successors(), estates)
	if err != nil {
		a.deps.Log.Warn("Records were not handed over.", "records", estates[0].size(), "err", err)
		return err
	}
	a.deps.Log.Info("Handed over.", "to", peer.Endpoint, "records", estates[0].size(), "took", time.Since(began))
	a.mu.Lock()
	a.successor = peer.Address
	a.notify()
	a.mu.Unlock()
	a.sayFarewell()
	return nil
}

// cutOff ends what a drain that ran out of time left running. Readers lose
// their connection instead of reading the cancel: a repeatable answer then
// goes on elsewhere.
func (a *Agent) cutOff() {
	close(a.cut)
	a.mu.Lock()
	a.leave.stopped, a.leave.closed = true, true
	for _, r := range a.records.runs {
		if _, final := r.final(); !final {
			defer a.cancelRun(r)
		}
	}
	a.mu.Unlock()
	over := time.NewTimer(settleTime)
	defer over.Stop()
	for {
		a.mu.Lock()
		busy, ch := a.records.busy(), a.changed
		a.mu.Unlock()
		if busy == 0 {
			return
		}
		select {
		case <-ch:
		case <-over.C:
			return
		}
	}
}

// estates takes the records of all incarnations, its own first.
func (a *Agent) estates() []*estate {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	own := &estate{from: a.incarnation, clock: a.clockMS(), at: now, tombs: a.records.tombs}
	for _, r := range a.records.runs {
		own.runs = append(own.runs, r)
	}
	all := []*estate{own}
	for from, h := range a.inherited {
		if !h.complete {
			continue
		}
		e := &estate{from: from, clock: now.Sub(h.began).Milliseconds(), at: now, tombs: h.tombs}
		for _, r := range h.runs {
			e.runs = append(e.runs, r)
		}
		all = append(all, e)
	}
	return all
}

// successors returns the peers to try, best first.
func (a *Agent) successors() []membership.Peer {
	doc := a.deps.Keeper.Document()
	self := membership.Peer{Endpoint: a.cfg.Endpoint, Host: a.cfg.Host, DataCentre: a.cfg.DataCentre}
	var peers []membership.Peer
	for _, e := range doc.Endpoints {
		peers = append(peers, membership.Peer{
			Endpoint: e.Name, Host: e.Host, DataCentre: e.DataCentre, Address: e.AgentAddress, Leaving: leavesIn(doc, e.Name, e.Host),
		})
	}
	list := membership.Successors(self, a.incarnation, peers)
	return list[:min(len(list), maxSuccessors)]
}

// giveTo hands the estates to the first peer that takes them all.
func (a *Agent) giveTo(ctx context.Context, peers []membership.Peer, estates []*estate) (membership.Peer, error) {
	err := errNoSuccessor
	for _, p := range peers {
		client := rudderv1connect.NewAgentServiceClient(a.deps.Client, a.deps.Client.URL(p.Address), inner.ClientOptions()...)
		if err = a.giveAll(ctx, client, estates); err == nil {
			return p, nil
		}
		a.deps.Log.Warn("A peer did not take the records.", "peer", p.Endpoint, "err", err)
		if ctx.Err() != nil {
			break
		}
	}
	return membership.Peer{}, err
}

func (a *Agent) giveAll(ctx context.Context, client rudderv1connect.AgentServiceClient, estates []*estate) error {
	for _, e := range estates {
		if err := e.give(ctx, client, a.cfg.Endpoint); err != nil {
			return err
		}
	}
	return nil
}

// give sends the estate in parts.
func (e *estate) give(ctx context.Context, client rudderv1connect.AgentServiceClient, endpoint string) error {
	part := e.part(endpoint)
	bytes := 0
	add := func(rec *rudderv1.RunRecord) error {
		size := len(rec.Answer)
		if len(part.Records) > 0 && (bytes+size > partBytes || len(part.Records) >= partRecords) {
			if err := send(ctx, client, part); err != nil {
				return err
			}
			part, bytes = e.part(endpoint), 0
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
	for id, expires := range e.tombs {
		rec := &rudderv1.RunRecord{RequestId: id, Incarnation: e.from, Tombstone: true, ExpiresInMs: expires.Sub(e.at).Milliseconds()}
		if err := add(rec); err != nil {
			return err
		}
	}
	part.Last, part.Total = true, e.size()
	return send(ctx, client, part)
}

func (e *estate) part(endpoint string) *rudderv1.HandoverRequest {
	return &rudderv1.HandoverRequest{From: e.from, AgentMs: e.clock, Endpoint: endpoint}
}

// record is the run as its successor gets it.
func (r *run) record(e *estate) *rudderv1.RunRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := &rudderv1.RunRecord{
		RequestId: r.req.RequestId, Attempt: r.req.Attempt, Workspace: r.req.Workspace, Repeatable: r.req.Repeatable,
		Incarnation: e.from, ExpiresInMs: r.expires.Sub(e.at).Milliseconds(), Digest: r.digest, Head: r.head, End: r.end,
	}
	if len(r.buf) <= maxAnswer && r.end != nil {
		rec.Answer = r.buf
	}
	return rec
}

// send sends one part; it is safe to repeat.
func send(ctx context.Context, client rudderv1connect.AgentServiceClient, part *rudderv1.HandoverRequest) error {
	var err error
	for range partTries {
		var resp *connect.Response[rudderv1.HandoverResponse]
		resp, err = sendOnce(ctx, client, part)
		if err != nil {
			continue
		}
		if !resp.Msg.Accepted {
			return trace.Errorf("refused: %v", result.Code(resp.Msg.Code))
		}
		return nil
	}
	return trace.Wrap(err)
}

func sendOnce(ctx context.Context, client rudderv1connect.AgentServiceClient, part *rudderv1.HandoverRequest) (*connect.Response[rudderv1.HandoverResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, partTime)
	defer cancel()
	return client.Handover(ctx, connect.NewRequest(part))
}

// subscription is one gateway that listens to the agent's reports.
type subscription struct{ told string } // the successor last reported

// sayFarewell waits until every listening gateway was told the successor.
func (a *Agent) sayFarewell() {
	over := time.NewTimer(farewell)
	defer over.Stop()
	for {
		a.mu.Lock()
		missing := 0
		for s := range a.subscriptions {
			if s.told != a.successor {
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
		case <-over.C:
			a.deps.Log.Warn("Some gateways were not told the successor.", "gateways", missing)
			return
		}
	}
}

// subscribe counts a gateway in until the returned function is called.
func (a *Agent) subscribe() (*subscription, func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := new(subscription)
	a.subscriptions[s] = struct{}{}
	return s, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.subscriptions, s)
		a.heard()
	}
}

// told records what a gateway was told.
func (a *Agent) told(s *subscription, r *rudderv1.AgentReport) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.told != r.Successor {
		s.told = r.Successor
		a.heard()
	}
}

// heard wakes who waits for gateways to be told; the caller holds mu.
func (a *Agent) heard() {
	if a.successor != "" {
		a.notify()
	}
}
