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
	// maxTickets bounds one batch of tickets fetched in advance.
	maxTickets = 100
	// pathRuns is where runs are found by their ticket.
	pathRuns = "/v1/runs/"
)

// ticketRequest is the body of POST /v1/tickets.
type ticketRequest struct {
	Count   int    `json:"count"`
	Model   string `json:"model"`
	Service string `json:"service"`
	// PromptTokens is the expected prompt length, for choosing the endpoint.
	PromptTokens uint64 `json:"prompt_tokens"`
	Repeatable   bool   `json:"repeatable"`
}

// serveTickets hands out tickets in advance.
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
	tickets, end := g.tickets(x, req)
	if end != nil {
		writeProblem(x.w, problemOf(end, "", ""))
		return
	}
	writeJSON(x.w, map[string]any{"tickets": tickets, "expires_in_ms": g.cfg.TicketLife.Milliseconds()})
}

func (g *Gateway) tickets(x *exchange, req ticketRequest) ([]string, *rudderv1.End) {
	if req.Model != "" && !g.mayUse(x.workspace, req.Model) {
		return nil, endOf(result.New(result.UnknownModel, req.Model))
	}
	if req.Service != "" && !allowed(x.workspace.Services, req.Service) {
		return nil, endOf(result.New(result.UnknownService, req.Service))
	}
	var out []string
	for range req.Count {
		o := &order{id: newID(), workspace: x.workspace, repeatable: req.Repeatable, deadline: time.Now().Add(g.cfg.DefaultDeadline)}
		if req.Model != "" {
			o.completion = &rudderv1.Completion{Model: req.Model, PromptTokens: req.PromptTokens, MaxTokens: g.cfg.DefaultTokens}
		} else {
			o.call = &rudderv1.ServiceCall{Service: req.Service}
		}
		s := &session{g: g, o: o}
		if _, end := s.place(); end != nil {
			return nil, end
		}
		out = append(out, s.ticket)
	}
	return out, nil
}

// serveAttach reads the answer of a known run again, from Last-Event-ID.
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
	o := &order{
		id: claims.RequestId, workspace: x.workspace, ticket: x.param("ticket"), claims: claims,
		repeatable: claims.Repeatable, deadline: deadline, skip: skip,
	}
	out := &attachWriter{g: g, x: x, o: o, stream: x.r.URL.Query().Get("stream") != "false"}
	if !out.stream {
		o.skip = 0
	}
	out.finish(g.attach(x, o, out))
}

// attach relays a run's answer without ever starting one.
func (g *Gateway) attach(x *exchange, o *order, out sink) *rudderv1.End {
	s := &session{g: g, o: o, out: out, ticket: o.ticket, began: time.Now()}
	s.life = lifecycle.Dispatch{Repeatable: o.repeatable, HasName: true}
	ctx, cancel := context.WithDeadline(x.r.Context(), o.deadline)
	defer cancel()
	l := g.linkOf(o.claims)
	end := s.attach(ctx, l)
	if s.forwarded(l, end) {
		end = s.attach(ctx, g.linkOf(o.claims))
	}
	return s.settle(end)
}

func (s *session) attach(ctx context.Context, l *link) *rudderv1.End {
	stream, err := l.client.Attach(ctx, connect.NewRequest(&rudderv1.AttachRequest{
		Ticket: s.ticket, RemainingMs: time.Until(s.o.deadline).Milliseconds(),
	}))
	if err != nil {
		return s.broken(ctx, err, true)
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		if stream.Msg().GetAccepted() != nil {
			s.accepted(l, stream.Msg())
			continue
		}
		if end := s.frame(l, stream.Msg()); end != nil {
			return end
		}
	}
	return s.broken(ctx, stream.Err(), true)
}

// voidReply is the body of DELETE /v1/runs/{ticket}.
type voidReply struct {
	Code     uint32 `json:"code"`
	Outcome  string `json:"outcome"`
	Finished bool   `json:"finished"`
}

// serveVoid turns an unknown outcome into a certain "not run", or says what ran.
func (g *Gateway) serveVoid(x *exchange) {
	text := x.param("ticket")
	claims, err := g.readTicket(text, x.workspace)
	if err != nil {
		g.refuse(x.w, x.r, err)
		return
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), voidTime)
	defer cancel()
	resp, rpcErr := g.linkOf(claims).client.Void(ctx, connect.NewRequest(&rudderv1.VoidRequest{Ticket: text}))
	if rpcErr != nil {
		writeProblem(x.w, problemOf(endOf(result.New(result.AgentLost, rpcErr.Error())), claims.RequestId, text))
		return
	}
	writeJSON(x.w, voidReply{resp.Msg.Code, result.Outcome(resp.Msg.Outcome).String(), resp.Msg.Finished})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	_ = json.NewEncoder(w).Encode(v)
}
