package relay

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"strconv"
	"time"
)

const (
	// readEvery is how often configuration and endpoints are read while all is
	// well: half of the two seconds within which a change must be in force.
	readEvery = 800 * time.Millisecond
	// readAgain is the pause after a failed read.
	readAgain = 300 * time.Millisecond
	// readCut is how long a gateway leaves a store to peers that ask for it and do not
	// reach it: a little less than a key may be used without a proof on the strictest
	// installations, in case that only they do not reach it.
	readCut = 4 * time.Second
	// silentAfter is how long the store may take for one answer until peers are told that
	// it is away: twice what a slow one takes.
	silentAfter = 600 * time.Millisecond
	// readTime bounds one read; a slow store answers within a quarter of it.
	readTime = 1500 * time.Millisecond
	// listTime bounds the read of a whole list, which comes in pages: 3,000 endpoints are
	// 61 pages, by reckoning too many for readTime on a host with 0.144 of a core.
	listTime = 8 * time.Second
	// askPeersAfter is the age of the own proof at which peers are asked for
	// theirs.
	askPeersAfter = 1600 * time.Millisecond
	// gatewaysEvery is how often the list of gateways is read and the own entry
	// renewed, a third of its lease; gatewaysSoon is the first time, when gateways that
	// started together have entries. Between reads gateways know each other by
	// what they hear.
	gatewaysEvery = 10 * time.Second
	gatewaysSoon  = 3 * time.Second
)

// followConfiguration keeps the configuration and its proof young.
func (g *Gateway) followConfiguration() {
	lost := false
	for {
		wait := readEvery
		if g.mustRead(g.proofAge()) {
			sent := time.Now()
			err := g.readConfiguration(sent)
			g.sharing.note(err, time.Now())
			if (err != nil) != lost {
				lost = err != nil
				g.logDependency("configuration store", lost, err)
			}
			if err != nil {
				g.askPeers()
				wait = readAgain
			}
			g.tellNews()
		} else {
			wait = readAgain
		}
		if !g.pauseAwake(wait) {
			return
		}
	}
}

// mustRead reports whether this gateway reads the store now, given the age of
// what it knows.
func (g *Gateway) mustRead(age time.Duration) bool {
	return g.deps.Mesh == nil || g.sharing.reads(g.config.Name, age, time.Now())
}

func (g *Gateway) proofAge() time.Duration {
	age, _ := g.state.ProofAge(time.Now())
	return age
}

func (g *Gateway) readConfiguration(sent time.Time) error {
	ctx, cancel := context.WithTimeout(g.ctx, readTime)
	defer cancel()
	g.suspendedTime()
	if !g.suspension.after(sent) {
		sent = time.Now() // the host was suspended just before
	}
	g.sharing.asks(sent)
	silent := time.AfterFunc(silentAfter, func() {
		g.sharing.note(errSilent, time.Now())
		g.tellNews()
	})
	defer silent.Stop()
	c, err := g.deps.Source.Configuration(ctx)
	g.sawStore()
	if err != nil {
		g.meter.storeFailures.Inc()
		return err
	}
	if c == nil {
		// Peers may know a newer one, which an older copy of the store does not hold.
		g.state.Prove(g.lastRead.Load(), sent)
		return nil
	}
	g.lastRead.Store(c.Version)
	if g.state.Take(c) {
		g.deps.Log.Logger().Info("Configuration in force.", "version", c.Version, "from", "store", "read_ms", time.Since(sent).Milliseconds())
	}
	g.state.Prove(c.Version, sent)
	return nil
}

// logDependency logs that something the gateway needs was lost or regained.
func (g *Gateway) logDependency(name string, lost bool, err error) {
	age, _ := g.state.ProofAge(time.Now())
	if lost {
		g.deps.Log.Logger().Warn("Dependency lost.", "dependency", name, "err", err, "proof_age_ms", age.Milliseconds())
		return
	}
	g.deps.Log.Logger().Info("Dependency regained.", "dependency", name, "proof_age_ms", age.Milliseconds())
}

// followEndpoints keeps the list of endpoints young.
func (g *Gateway) followEndpoints() {
	for {
		wait := readAgain
		if g.mustRead(g.sharing.endpointsAge(time.Now())) {
			if g.readEndpoints() {
				wait = readEvery
			}
		}
		if !g.pauseAwake(wait) {
			return
		}
	}
}

// errSilent is how a read counts that has had no answer for silentAfter.
var errSilent = errors.New("no answer so far")

// readEndpoints reads the list from the store; it reports false on failure.
func (g *Gateway) readEndpoints() bool {
	ctx, cancel := context.WithTimeout(g.ctx, listTime)
	defer cancel()
	g.suspendedTime()
	sent := time.Now()
	g.sharing.asks(sent)
	g.sharing.stopAtList(cancel) // a peer may have it sooner
	list, err := g.deps.Source.Endpoints(ctx)
	g.sawStore()
	if err != nil && g.sharing.endpointsAge(time.Now()) < takeOver {
		return true
	}
	g.sharing.note(err, time.Now())
	if err != nil {
		g.meter.storeFailures.Inc()
		g.deps.Log.Logger().Debug("The list of endpoints could not be read.", "err", err)
		return false
	}
	g.sharing.read(list, sent)
	g.applyEndpoints()
	g.tellNews()
	return true
}

func (g *Gateway) memberChanged(c MemberChange) {
	e := c.Endpoint
	g.deps.Log.Logger().Info("Endpoint changed.", "endpoint", e.ID, "change", string(c.Kind), "from", c.Source, "born", e.Born, "service", e.Service, "address", e.Address)
	if c.Kind == changeRestarted && g.state.LeaveDoubted(e) {
		g.tasks.Go(func() { g.settleLeave(e) })
	}
	if c.Kind == changeDraining {
		g.deps.Endpoints.Forget(e.ID) // connections without use
	}
	if c.Kind == changeGone || c.Kind == changeRestarted {
		g.deps.Endpoints.Forget(e.ID)
		g.picker.forget(e.ID)
		g.limits.forget(e.ID)
	}
}

// followGateways keeps the own entry and the list of peers young.
func (g *Gateway) followGateways() {
	if g.deps.Mesh == nil {
		return
	}
	lost := false
	for wait := gatewaysSoon; ; wait = gatewaysEvery {
		ctx, cancel := context.WithTimeout(g.ctx, readTime)
		list, err := g.deps.Source.Gateways(ctx)
		cancel()
		g.sawStore()
		if (err != nil) != lost {
			lost = err != nil
			g.logDependency("gateway list", lost, err)
		}
		if len(list) > 0 {
			g.deps.Mesh.SetMembers(list)
			g.listedGateways.Store(int64(len(list)))
			if !g.config.FirstStart {
				g.picker.fleetListed(len(list), time.Now()) // entries outlive their processes
			}
		}
		if err != nil {
			wait = gatewaysSoon
		}
		if !g.pause(wait) {
			return
		}
	}
}

// peerURL returns where another gateway answers.
func (g *Gateway) peerURL(a netip.AddrPort, path string) string {
	return "http://" + net.JoinHostPort(a.Addr().String(), strconv.Itoa(g.deps.PeerPort)) + path
}
