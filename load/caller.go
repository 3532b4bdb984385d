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
	// reattachWait is the pause before a caller asks again after a broken
	// connection.
	reattachWait = 100 * time.Millisecond
	// maxPresentations bounds how often one caller asks for one request.
	maxPresentations = 100
	// maxAsks bounds how often a caller asks for a run that may have run.
	maxAsks = 3
)

// caller carries one request through to its end, as a careful application
// does: it presents the request, attaches to its run again when the connection
// breaks, comes back after a refusal if its flow says so, and loses patience if
// its flow says so.
type caller struct {
	client *client
	flow   Flow
	body   []byte
	now    func() time.Duration // since the start of the run

	ticket string
	fresh  func(context.Context) string // fetches another ticket; nil without
	key    string
	sent   bool // whether a gateway ever took a connection
	asked  int  // times the run was asked for after "may have run"
	rec    *Record
	asm    *assembly
}

// run carries the request to its end and completes the record. ctx ends when
// the request's deadline and grace are over.
func (c *caller) run(ctx context.Context) {
	c.rec.Sent = c.now()
	if c.flow.Keyed {
		c.key = uuid.NewString()
	}
	attach := false
	for c.rec.Presentations < maxPresentations {
		r := c.ask(ctx, attach)
		next, wait := c.decide(ctx, r, attach)
		if next == stop {
			break
		}
		attach = next == reattach
		if !sleep.For(ctx, wait) {
			break
		}
	}
	c.complete()
}

// step is what a caller does after a presentation ended.
type step int

const (
	stop     step = iota
	again         // present the request again
	reattach      // ask for the run by its ticket
)

// decide judges a reply and says what the caller does next and after which
// pause.
func (c *caller) decide(ctx context.Context, r reply, attached bool) (step, time.Duration) {
	if r.ticket != "" {
		c.ticket = r.ticket
	}
	c.sent = c.sent || !r.refused
	c.rec.Code = r.problem.Code
	switch {
	case r.refused && ctx.Err() == nil:
		return c.sameAgain(attached), reattachWait
	case r.final == "":
		return c.afterBreak(ctx)
	case attached && r.problem.Code == result.UnknownRun:
		// Presented again under the same name, it runs at most once.
		return again, reattachWait
	case r.final == Unknown && c.neverPresented(r.problem.Code):
		c.renew(ctx)
		return again, reattachWait
	case r.final == Unknown && c.mayAsk(r.problem.Code):
		c.asked++
		return reattach, reattachWait
	case r.final == Refused && c.mayRetry(r.problem.retryAfter()):
		c.renew(ctx)
		return again, r.problem.retryAfter()
	}
	c.rec.Final = r.final
	c.rec.Detail = r.problem.Detail
	c.rec.RetryAfter = r.problem.retryAfter()
	return stop, 0
}

// afterBreak decides after a connection that broke off or was given up.
func (c *caller) afterBreak(ctx context.Context) (step, time.Duration) {
	switch {
	case ctx.Err() != nil:
		return stop, 0
	case c.ticket != "" && c.rec.FirstToken > 0:
		return reattach, reattachWait
	case c.ticket != "" || c.key != "" || c.flow.Resubmit == ResubmitNew && c.rec.Resubmits > 0:
		return again, reattachWait
	default:
		return stop, 0
	}
}

func (c *caller) sameAgain(attached bool) step {
	if attached {
		return reattach
	}
	return again
}

// neverPresented tells whether a ticket's agent was gone before the ticket was
// first presented: the request certainly did not run, and only its caller can
// know that.
func (c *caller) neverPresented(code result.Code) bool {
	return code == result.IncarnationGone && c.fresh != nil && c.rec.Presentations == 1
}

// mayAsk tells whether the caller asks for its run after "may have run".
func (c *caller) mayAsk(code result.Code) bool {
	return c.ticket != "" && c.asked < maxAsks && result.Lookup(code).Advice == result.AdviceTicket
}

// renew takes another ticket for a request that was not run: its old one is
// refused from now on.
func (c *caller) renew(ctx context.Context) {
	if c.fresh != nil {
		c.ticket = c.fresh(ctx)
	}
}

// mayRetry tells whether a refused request comes back.
func (c *caller) mayRetry(wait time.Duration) bool {
	if c.rec.Presentations > c.flow.Retries {
		return false
	}
	return c.now()+wait < c.rec.Due+c.rec.Deadline
}

// ask sends the request, or asks for its run, once.
func (c *caller) ask(ctx context.Context, attach bool) reply {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	impatience := c.arm(cancel)
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
		impatience.disarm()
		if c.rec.FirstToken == 0 {
			c.rec.FirstToken = c.now()
		}
	})
	if impatience.disarm() && r.final == "" {
		c.resubmit()
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

func (c *caller) complete() {
	if c.rec.Final == "" {
		c.rec.Final = c.unfinished()
	}
	c.rec.End = c.now()
	c.rec.Restarts = c.asm.restarts
	if c.rec.Detail == "" {
		c.rec.Detail = c.asm.damage
	}
}

// unfinished judges a request that neither an answer nor an outcome ended.
func (c *caller) unfinished() Final {
	if !c.sent {
		return Unsent
	}
	return c.asm.broken()
}
