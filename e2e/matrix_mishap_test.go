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

// injectFailure makes the cell's failure happen.
func (p *cellRun) injectFailure() {
	b := p.b
	switch p.failure {
	case gatewayDies:
		p.killGateway()
	case gatewayFrozen:
		p.freezeGateway()
	case agentDies:
		p.eachTarget(p.killAgent)
	case agentFrozen:
		p.eachTarget(p.freezeAgent)
	case endpointDies:
		p.eachTarget(p.killEndpoint)
	case endpointFrozen:
		p.eachTarget(func(name string) { p.setEndpointFrozen(name, true) })
	case connectionCut:
		p.eachTarget(func(name string) { b.network.breakLinks("gw1", agentAddr(name)) })
	case orderDuplicated:
		p.duplicateOrder()
	case orderLate:
		p.mu.Lock()
		p.lateOrders = append(p.lateOrders, bytes.NewReader(p.order))
		p.mu.Unlock()
	case platformRefuses:
		b.platform.SetFaults(standplatform.Faults{Outage: standplatform.OutageRefuse})
	case platformFrozen:
		b.platform.SetFaults(standplatform.Faults{Outage: standplatform.OutageHang})
	case platformAnswerLost:
		b.platform.SetFaults(standplatform.Faults{LoseApplied: 2})
	case platformWriteLost:
		b.platform.SetFaults(standplatform.Faults{LoseUnapplied: 2})
	case allAgentsFrozen:
		for _, name := range cellEndpoints {
			p.freezeAgent(name)
		}
	case gatewayAndAgentDie:
		p.killGateway()
		p.eachTarget(p.killAgent)
	}
}

// eachTarget calls f for the endpoint that received the order, or for both
// endpoints if there was no order yet.
func (p *cellRun) eachTarget(f func(name string)) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	if target != "" {
		f(target)
		return
	}
	for _, name := range cellEndpoints {
		f(name)
	}
}

// freezeGateway freezes the first gateway. Before the order, it freezes only
// the outgoing connections, so that the order stops between the gateway's
// decision and its sending.
func (p *cellRun) freezeGateway() {
	if p.step == atOrdering {
		p.b.network.hold(outgoing("gw1"))
		return
	}
	p.b.network.hold("gw1")
}

// freezeAgent freezes an agent both as a server and as its endpoint's client.
func (p *cellRun) freezeAgent(name string) {
	p.b.network.hold(agentAddr(name))
	p.b.network.hold(name)
}

func (p *cellRun) killGateway() {
	p.b.network.disconnect("gw1")
	p.b.network.breakLinks("", "gw1")
	p.b.kill("gw1")
	p.b.kill(innerAddr("gw1"))
	go p.b.gateways["gw1"].Close()
}

func (p *cellRun) killAgent(name string) {
	addr := agentAddr(name)
	p.b.network.disconnect(name)
	p.b.network.breakLinks("", addr)
	p.b.kill(addr)
	go p.b.agents[name].Close()
	time.AfterFunc(restartDelay, func() {
		p.b.network.reconnect(name)
		p.restartAgent(name)
	})
}

// restartAgent starts an agent again. Several may be due at the same moment.
func (p *cellRun) restartAgent(name string) {
	p.restarting.Lock()
	defer p.restarting.Unlock()
	if p.call {
		p.b.agent(name, "bid-api", 0)
		return
	}
	p.b.agent(name, "", standengine.Default().MemoryTokens)
}

func (p *cellRun) killEndpoint(name string) {
	addr := engineAddr(name)
	p.b.kill(addr)
	if e := p.b.engines[name]; e != nil {
		e.Crash()
	}
	time.AfterFunc(restartDelay, func() {
		if e := p.b.engines[name]; e != nil {
			p.b.serve(addr, e.Handler())
			return
		}
		p.b.serve(addr, p.b.services[name].Handler())
	})
}

func (p *cellRun) setEndpointFrozen(name string, frozen bool) {
	if e := p.b.engines[name]; e != nil {
		e.SetFaults(standengine.Faults{Hang: frozen})
		return
	}
	p.b.services[name].SetFaults(standservice.Faults{Hang: frozen})
}

// endFailures ends the lasting failures: frozen processes continue and the
// platform recovers.
func (p *cellRun) endFailures() {
	p.b.network.release()
	p.b.platform.SetFaults(standplatform.Faults{})
	for _, name := range cellEndpoints {
		p.setEndpointFrozen(name, false)
	}
	time.Sleep(recoveryTime)
}

// duplicateOrder sends the agent the order again over another connection.
func (p *cellRun) duplicateOrder() {
	p.mu.Lock()
	order, addr := p.order, p.address
	p.mu.Unlock()
	go p.deliver(addr, bytes.NewReader(order))
}

func (p *cellRun) deliverLate() {
	p.mu.Lock()
	orders, addr := p.lateOrders, p.address
	p.mu.Unlock()
	for _, order := range orders {
		p.deliver(addr, order)
	}
}

func (p *cellRun) deliver(addr string, order io.Reader) {
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
		return // the agent may have died
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}
