package gateway

import (
	"errors"

	"github.com/google/uuid"

	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

// mint makes a ticket that binds the order to the agent's incarnation.
func (g *Gateway) mint(l *link, o *order) (string, error) {
	incarnation, clock := l.incarnation()
	if incarnation == "" {
		return "", errors.New("agent not heard yet")
	}
	return g.deps.Signer.Sign(&rudderv1.TicketClaims{
		RequestId: o.id, Workspace: o.workspace.Name, Endpoint: l.declared.Name, AgentAddress: l.declared.AgentAddress,
		Incarnation: incarnation, ExpiresAgentMs: clock + g.cfg.TicketLife.Milliseconds(), Repeatable: o.repeatable,
	})
}

// linkOf returns the link to the agent that answers for a ticket: the one it
// names, or that one's successor. An agent that is no longer declared is still
// asked: it may hold the run.
func (g *Gateway) linkOf(c *rudderv1.TicketClaims) *link {
	address := c.AgentAddress
	if heir := g.members.heir(c.Incarnation); heir != "" {
		address = heir
	}
	g.links.mu.RLock()
	l, ok := g.links.byAddr[address]
	g.links.mu.RUnlock()
	if ok {
		return l
	}
	return newLink(g, &rudderv1.Endpoint{Name: c.Endpoint, AgentAddress: address})
}

// linkOfTicket returns the link to the agent that answers for a ticket of this
// installation, or l when that cannot be told.
func (g *Gateway) linkOfTicket(ticket string, l *link) *link {
	claims, err := g.deps.Signer.Parse(ticket)
	if err != nil {
		return l
	}
	return g.linkOf(claims)
}

// readTicket checks a ticket that a caller presents.
func (g *Gateway) readTicket(text string, ws *rudderv1.Workspace) (*rudderv1.TicketClaims, *result.Err) {
	claims, err := g.deps.Signer.Parse(text)
	if err != nil || claims.Workspace != ws.Name {
		return nil, result.New(result.BadTicket, "")
	}
	return claims, nil
}

func newID() string { return uuid.NewString() }
