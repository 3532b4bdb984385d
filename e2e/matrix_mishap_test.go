package e2e

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/micarudder/micarudder/inner"
	standengine "github.com/micarudder/micarudder/internal/standin/engine"
	standplatform "github.com/micarudder/micarudder/internal/standin/platform"
	standservice "github.com/micarudder/micarudder/internal/standin/service"
	"github.com/micarudder/micarudder/rudderv1/rudderv1connect"
)

// happen makes the cell's mishap happen.
func (p *play) happen() {
	b := p.b
	switch p.mishap {
	case gatewayDies:
		p.killGateway()
	case gatewayHeld:
		p.holdGateway()
	case agentDies:
		p.each(p.killAgent)
	case agentHeld:
		p.each(p.holdAgent)
	case endpointDies:
		p.each(p.killEndpoint)
	case endpointHeld:
		p.each(func(name string) { p.holdEndpoint(name, true) })
	case messageLost:
		p.each(func(name string) { b.net.sever("gw1", agentAddr(name)) })
	case orderDoubled:
		p.resend()
	case orderLate:
		p.late = append(p.late, bytes.NewReader(p.order))
	case storeAway:
		b.platform.SetFaults(standplatform.Faults{Outage: standplatform.OutageRefuse})
	case storeHeld:
		b.platform.SetFaults(standplatform.Faults{Outage: standplatform.OutageHang})
	case storeMute:
		b.platform.SetFaults(standplatform.Faults{LoseApplied: 2})
	case storeForgets:
		b.platform.SetFaults(standplatform.Faults{LoseUnapplied: 2})
	case everyoneHeld:
		for _, name := range pair {
			p.holdAgent(name)
		}
	case everythingOff:
		p.killGateway()
		p.each(p.killAgent)
	}
}

// each calls f for the endpoint that has the order, or for pair before.
func (p *play) each(f func(name string)) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	if target != "" {
		f(target)
		return
	}
	for _, name := range pair {
		f(name)
	}
}

// holdGateway freezes the first gateway; before the order it does so between
// its decision and the sending.
func (p *play) holdGateway() {
	if p.step == atOrdering {
		p.b.net.hold(outgoing("gw1"))
		return
	}
	p.b.net.hold("gw1")
}

// holdAgent freezes an agent, pair as a server and as its endpoint's client.
func (p *play) holdAgent(name string) {
	p.b.net.hold(agentAddr(name))
	p.b.net.hold(name)
}

func (p *play) killGateway() {
	p.b.net.bury("gw1")
	p.b.net.sever("", "gw1")
	p.b.kill("gw1")
	p.b.kill(innerAddr("gw1"))
	go p.b.gateways["gw1"].Close()
}

func (p *play) killAgent(name string) {
	addr := agentAddr(name)
	p.b.net.bury(name)
	p.b.net.sever("", addr)
	p.b.kill(addr)
	go p.b.agents[name].Close()
	time.AfterFunc(restartIn, func() {
		p.b.net.revive(name)
		p.restartAgent(name)
	})
}

func (p *play) restartAgent(name string) {
	if p.call {
		p.b.agent(name, "bid-api", 0)
		return
	}
	p.b.agent(name, "", standengine.Default().MemoryTokens)
}

func (p *play) killEndpoint(name string) {
	addr := engineAddr(name)
	p.b.kill(addr)
	if e := p.b.engines[name]; e != nil {
		e.Crash()
	}
	time.AfterFunc(restartIn, func() {
		if e := p.b.engines[name]; e != nil {
			p.b.serve(addr, e.Handler())
			return
		}
		p.b.serve(addr, p.b.services[name].Handler())
	})
}

func (p *play) holdEndpoint(name string, held bool) {
	if e := p.b.engines[name]; e != nil {
		e.SetFaults(standengine.Faults{Hang: held})
		return
	}
	p.b.services[name].SetFaults(standservice.Faults{Hang: held})
}

// mend ends whatever lasts: frozen processes go on, the platform comes back.
func (p *play) mend() {
	p.b.net.release()
	p.b.platform.SetFaults(standplatform.Faults{})
	for _, name := range pair {
		p.holdEndpoint(name, false)
	}
	time.Sleep(recovery)
}

// resend gives the agent the order once more, over another connection.
func (p *play) resend() {
	p.mu.Lock()
	order, addr := p.order, p.address
	p.mu.Unlock()
	go p.deliver(addr, bytes.NewReader(order))
}

func (p *play) deliverLate() {
	for _, order := range p.late {
		p.deliver(p.address, order)
	}
}

func (p *play) deliver(addr string, order io.Reader) {
	client, err := inner.NewClient(inner.KeyFiles{}, p.b.dialFrom("way"))
	if err != nil {
		p.b.t.Error(err)
		return
	}
	defer client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "POST", client.URL(addr)+rudderv1connect.AgentServiceRunProcedure, order)
	if err != nil {
		p.b.t.Error(err)
		return
	}
	req.Header.Set("Content-Type", "application/connect+proto")
	req.Header.Set("Connect-Protocol-Version", "1")
	resp, err := client.Do(req)
	if err != nil {
		return // the agent may be gone
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}
