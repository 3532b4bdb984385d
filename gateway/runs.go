package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/micarudder/micarudder/lifecycle"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

const (
	// maxTickets is the maximum number of tickets in one request.
	maxTickets = 100
	// runsPath is the path prefix under which runs are found by their ticket.
	runsPath = "/v1/runs/"
)

// ticketRequest is the body of POST /v1/tickets.
type ticketRequest struct {
	Count   int    `json:"count"`
	Model   string `json:"model"`
	Service string `json:"service"`
	// PromptTokens is the expected prompt length, used to select the endpoint.
	PromptTokens uint64 `json:"prompt_tokens"`
	Repeatable   bool   `json:"repeatable"`
}

// serveTickets issues tickets in advance.
func (g *Gateway) serveTickets(x *exchange) {
	body, err := g.readBody(x)
	if err != nil {
		g.refuse(x.w, x.r, err)
		return
	}
	var req ticketRequest
	if json.Unmarshal(body, &req) != nil || (req.Model == "") == (req.Service == "") {
		g.refuse(x.w, x.r, result.New(result.BadRequest, "a ticket request names a model or a service"))
		return
	}
	if req.Count < 1 || req.Count > maxTickets {
		g.refuse(x.w, x.r, result.New(result.BadRequest, "count must be from 1 to 100"))
		return
	}
	tickets, end := g.issueTickets(x, req)
	if end != nil {
		writeProblem(x.w, problemOf(end, "", ""))
		return
	}
	writeJSON(x.w, map[string]any{"tickets": tickets, "expires_in_ms": g.cfg.TicketLife.Milliseconds()})
}

func (g *Gateway) issueTickets(x *exchange, req ticketRequest) ([]string, *rudderv1.End) {
	if req.Model != "" && !g.mayUseModel(x.workspace, req.Model) {
		return nil, endOf(result.New(result.UnknownModel, req.Model))
	}
	if req.Service != "" && !allowed(x.workspace.Services, req.Service) {
		return nil, endOf(result.New(result.UnknownService, req.Service))
	}
	var out []string
	for range req.Count {
		cr := &callerRequest{id: newID(), workspace: x.workspace, repeatable: req.Repeatable, deadline: time.Now().Add(g.cfg.DefaultDeadline)}
		if req.Model != "" {
			cr.completion = &rudderv1.Completion{Model: req.Model, PromptTokens: req.PromptTokens, MaxTokens: g.cfg.DefaultTokens}
		} else {
			cr.call = &rudderv1.ServiceCall{Service: req.Service}
		}
		s := &session{g: g, cr: cr}
		if _, end := s.selectEndpoint(x.r.Context()); end != nil {
			return nil, end
		}
		out = append(out, s.ticket)
	}
	return out, nil
}

// serveAttach sends the response of an existing run again, from the offset in
// Last-Event-ID.
func (g *Gateway) serveAttach(x *exchange) {
	claims, err := g.readTicket(x.param("ticket"), x.workspace)
	if err != nil {
		g.refuse(x.w, x.r, err)
		return
	}
	deadline, err := g.readDeadline(x.r, time.Now())
	if err != nil {
		g.refuse(x.w, x.r, err)
		return
	}
	skip, err := readOffset(x.r)
	if err != nil {
		g.refuse(x.w, x.r, err)
		return
	}
	o := &callerRequest{
		id: claims.RequestId, workspace: x.workspace, ticket: x.param("ticket"), claims: claims,
		repeatable: claims.Repeatable, deadline: deadline, resumeOffset: skip,
	}
	out := &reattachWriter{g: g, x: x, cr: o, stream: x.r.URL.Query().Get("stream") != "false"}
	if !out.stream {
		o.resumeOffset = 0
	}
	out.finish(g.relayRun(x, o, out))
}

// relayRun relays the response of an existing run. It never starts one.
func (g *Gateway) relayRun(x *exchange, cr *callerRequest, out sink) *rudderv1.End {
	s := &session{g: g, cr: cr, out: out, ticket: cr.ticket, start: time.Now()}
	s.dispatch = lifecycle.Dispatch{Repeatable: cr.repeatable, HasName: true}
	ctx, cancel := context.WithDeadline(x.r.Context(), cr.deadline)
	defer cancel()
	l := g.linkForClaims(cr.claims)
	end := s.attach(ctx, l)
	if s.movedToSuccessor(l, end) {
		end = s.attach(ctx, g.linkForClaims(cr.claims))
	}
	return s.reportableEnd(end)
}

func (s *session) attach(ctx context.Context, l *link) *rudderv1.End {
	stream, err := l.client.Attach(ctx, connect.NewRequest(&rudderv1.AttachRequest{
		Ticket: s.ticket, RemainingMs: time.Until(s.cr.deadline).Milliseconds(),
	}))
	if err != nil {
		return s.brokenEnd(ctx, err, true)
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		if stream.Msg().GetAccepted() != nil {
			s.handleAccepted(l, stream.Msg())
			continue
		}
		if end := s.handleFrame(l, stream.Msg()); end != nil {
			return end
		}
	}
	return s.brokenEnd(ctx, stream.Err(), true)
}

// voidResponse is the body of the response to DELETE /v1/runs/{ticket}.
type voidResponse struct {
	Code     uint32 `json:"code"`
	Outcome  string `json:"outcome"`
	Finished bool   `json:"finished"`
}

// serveVoid voids a ticket. It turns an unknown outcome into a definite "not
// run", or reports the outcome of the run.
func (g *Gateway) serveVoid(x *exchange) {
	text := x.param("ticket")
	claims, err := g.readTicket(text, x.workspace)
	if err != nil {
		g.refuse(x.w, x.r, err)
		return
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), voidTimeout)
	defer cancel()
	resp, rpcErr := g.linkForClaims(claims).client.Void(ctx, connect.NewRequest(&rudderv1.VoidRequest{Ticket: text}))
	if rpcErr != nil {
		writeProblem(x.w, problemOf(endOf(result.New(result.AgentLost, rpcErr.Error())), claims.RequestId, text))
		return
	}
	writeJSON(x.w, voidResponse{resp.Msg.Code, result.Outcome(resp.Msg.Outcome).String(), resp.Msg.Finished})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	_ = json.NewEncoder(w).Encode(v)
}
