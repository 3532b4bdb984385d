package load

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/micarudder/micarudder/internal/sleep"
	"github.com/micarudder/micarudder/result"
)

const (
	// retryDelay is the delay before a caller presents a request again or
	// reattaches to its run, unless the refusal states another.
	retryDelay = 100 * time.Millisecond
	// maxPresentations limits how often a caller presents one request.
	maxPresentations = 100
	// maxUnknownReattaches limits how often a caller reattaches to a run after
	// the outcome "may have run".
	maxUnknownReattaches = 3
)

// caller drives one request to its final state as a robust client application
// does: it presents the request and reattaches to the run when the connection
// breaks. If configured in the flow, it also retries refused requests and
// resubmits the request when no first token arrives in time.
type caller struct {
	client *client
	flow   Flow
	body   []byte
	now    func() time.Duration // since the start of the load run

	ticket            string
	replaceTicket     func(context.Context) string // fetches another ticket; nil if the flow uses none
	key               string
	sent              bool // whether a gateway ever accepted a connection
	unknownReattaches int  // reattachments after "may have run"
	rec               *Record
	asm               *assembly
}

// run drives the request to its final state and completes the record. ctx ends
// when the request's deadline plus the grace period has passed.
func (c *caller) run(ctx context.Context) {
	c.rec.Sent = c.now()
	if c.flow.Keyed {
		c.key = uuid.NewString()
	}
	attach := false
	for c.rec.Presentations < maxPresentations {
		r := c.send(ctx, attach)
		next, wait := c.nextStep(ctx, r, attach)
		if next == stop {
			break
		}
		attach = next == reattach
		if !sleep.For(ctx, wait) {
			break
		}
	}
	c.completeRecord()
}

// step is the caller's next action after a presentation ended.
type step int

const (
	stop     step = iota
	present       // present the request again
	reattach      // attach to the run by its ticket
)

// nextStep evaluates a reply and returns the caller's next step and the delay
// before it.
func (c *caller) nextStep(ctx context.Context, r reply, attached bool) (step, time.Duration) {
	if r.ticket != "" {
		c.ticket = r.ticket
	}
	c.sent = c.sent || !r.notConnected
	c.rec.Code = r.problem.Code
	switch {
	case r.notConnected && ctx.Err() == nil:
		return c.repeatStep(attached), retryDelay
	case r.final == "":
		return c.afterDisconnect(ctx)
	case attached && r.problem.Code == result.UnknownRun:
		// The request is presented again with the same ticket, so it runs at most once.
		return present, retryDelay
	case r.final == Unknown && c.neverPresented(r.problem.Code):
		c.renewTicket(ctx)
		return present, retryDelay
	case r.final == Unknown && c.mayReattach(r.problem.Code):
		c.unknownReattaches++
		return reattach, retryDelay
	case r.final == Refused && c.mayRetry(r.problem.retryAfter()):
		c.renewTicket(ctx)
		return present, r.problem.retryAfter()
	}
	c.rec.Final = r.final
	c.rec.Detail = r.problem.Detail
	c.rec.RetryAfter = r.problem.retryAfter()
	return stop, 0
}

// afterDisconnect returns the next step after a connection that broke or was
// canceled.
func (c *caller) afterDisconnect(ctx context.Context) (step, time.Duration) {
	switch {
	case ctx.Err() != nil:
		return stop, 0
	case c.ticket != "" && c.rec.FirstToken > 0:
		return reattach, retryDelay
	case c.ticket != "" || c.key != "" || c.flow.Resubmit == ResubmitNew && c.rec.Resubmits > 0:
		return present, retryDelay
	default:
		return stop, 0
	}
}

func (c *caller) repeatStep(attached bool) step {
	if attached {
		return reattach
	}
	return present
}

// neverPresented reports whether the ticket's agent was gone before the ticket
// was first presented. The request then did not run, and only its caller can
// know that.
func (c *caller) neverPresented(code result.Code) bool {
	return code == result.IncarnationGone && c.replaceTicket != nil && c.rec.Presentations == 1
}

// mayReattach reports whether the caller reattaches to its run after "may have
// run".
func (c *caller) mayReattach(code result.Code) bool {
	return c.ticket != "" && c.unknownReattaches < maxUnknownReattaches && result.Lookup(code).Advice == result.AdviceTicket
}

// renewTicket replaces the ticket of a request that did not run, because its old
// ticket is refused from now on.
func (c *caller) renewTicket(ctx context.Context) {
	if c.replaceTicket != nil {
		c.ticket = c.replaceTicket(ctx)
	}
}

// mayRetry reports whether a refused request is retried after wait: the flow's
// retries are not used up and wait ends before the deadline.
func (c *caller) mayRetry(wait time.Duration) bool {
	if c.rec.Presentations > c.flow.Retries {
		return false
	}
	return c.now()+wait < c.rec.Due+c.rec.Deadline
}

// send presents the request, or reattaches to its run, once.
func (c *caller) send(ctx context.Context, attach bool) reply {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := c.startPatience(cancel)
	req, err := c.request(ctx, attach)
	if err != nil {
		return reply{final: Unsent}
	}
	if attach {
		c.rec.Reattached++
	} else {
		c.rec.Presentations++
		c.asm.text = c.asm.text[:0]
	}
	r := c.client.present(req, c.asm, func() {
		timer.disarm()
		if c.rec.FirstToken == 0 {
			c.rec.FirstToken = c.now()
		}
	})
	if timer.disarm() && r.final == "" {
		c.recordResubmit()
	}
	return r
}

func (c *caller) request(ctx context.Context, attach bool) (*http.Request, error) {
	if attach {
		return c.attachRequest(ctx)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.client.gateway()+c.flow.Path, bytes.NewReader(c.body))
	if err != nil {
		return nil, err
	}
	c.client.authorize(req, c.flow)
	remaining := c.rec.Due + c.rec.Deadline - c.now()
	req.Header.Set(headerDeadline, remaining.Round(time.Millisecond).String())
	if !c.flow.Repeatable {
		req.Header.Set(headerRepeatable, "false")
	}
	if c.ticket != "" {
		req.Header.Set(headerTicket, c.ticket)
	}
	if c.key != "" {
		req.Header.Set(headerKey, c.key)
	}
	return req, nil
}

func (c *caller) attachRequest(ctx context.Context) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.client.gateway()+pathRuns+c.ticket, nil)
	if err != nil {
		return nil, err
	}
	c.client.authorize(req, c.flow)
	req.Header.Set(headerLastEvent, strconv.Itoa(len(c.asm.text)))
	return req, nil
}

func (c *caller) completeRecord() {
	if c.rec.Final == "" {
		c.rec.Final = c.finalWithoutOutcome()
	}
	c.rec.End = c.now()
	c.rec.Restarts = c.asm.restarts
	if c.rec.Detail == "" {
		c.rec.Detail = c.asm.damage
	}
}

// finalWithoutOutcome returns the final state of a request that ended without a
// complete answer or an outcome.
func (c *caller) finalWithoutOutcome() Final {
	if !c.sent {
		return Unsent
	}
	return c.asm.incomplete()
}
