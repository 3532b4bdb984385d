package gateway

import (
	"errors"

	"github.com/google/uuid"

	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

// issueTicket issues a ticket that binds the request to the agent's
// incarnation.
func (g *Gateway) issueTicket(l *link, cr *callerRequest) (string, error) {
	incarnation, clock := l.incarnation()
	if incarnation == "" {
		return "", errors.New("agent not heard yet")
	}
	return g.deps.Signer.Sign(&rudderv1.TicketClaims{
		RequestId: cr.id, Workspace: cr.workspace.Name, Endpoint: l.declared.Name, AgentAddress: l.declared.AgentAddress,
		Incarnation: incarnation, ExpiresAgentMs: clock + g.cfg.TicketLife.Milliseconds(), Repeatable: cr.repeatable,
	})
}

// linkForClaims returns the link to the agent that is responsible for a ticket:
// the agent that it names, or the successor of that agent. An agent that is no
// longer declared is still asked, because it may have the run.
func (g *Gateway) linkForClaims(c *rudderv1.TicketClaims) *link {
	address := c.AgentAddress
	if owner := g.members.recordOwner(c.Incarnation); owner != "" {
		address = owner
	}
	g.links.mu.RLock()
	l, ok := g.links.byAddr[address]
	g.links.mu.RUnlock()
	if ok {
		return l
	}
	return newLink(g, &rudderv1.Endpoint{Name: c.Endpoint, AgentAddress: address})
}

// linkForTicket returns the link to the agent that is responsible for a ticket,
// or l if the ticket cannot be verified.
func (g *Gateway) linkForTicket(ticket string, l *link) *link {
	claims, err := g.deps.Signer.Parse(ticket)
	if err != nil {
		return l
	}
	return g.linkForClaims(claims)
}

// readTicket verifies a ticket that a caller presents.
func (g *Gateway) readTicket(text string, ws *rudderv1.Workspace) (*rudderv1.TicketClaims, *result.Err) {
	claims, err := g.deps.Signer.Parse(text)
	if err != nil || claims.Workspace != ws.Name {
		return nil, result.New(result.BadTicket, "")
	}
	return claims, nil
}

func newID() string { return uuid.NewString() }
