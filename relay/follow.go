package relay

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/micarudder/micarudder/availability"
)

const (
	// readInterval is the interval between reads of configuration and endpoints in normal operation:
	// less than half of the two seconds within which a change must be in force.
	readInterval = 800 * time.Millisecond
	// readRetryInterval is the pause after a failed read.
	readRetryInterval = 300 * time.Millisecond
	// readDeferral is how long a gateway leaves the store to peers that query it without reaching
	// it, in case only they cannot reach it. It is a little less than the time that a key may be
	// used without a proof on the strictest installations.
	readDeferral = 4 * time.Second
	// silentAfter is how long the store may take for one response before peers are told that it is
	// unavailable: twice the time of a slow response.
	silentAfter = 600 * time.Millisecond
	// readTimeout bounds one read; a slow store answers within a quarter of it.
	readTimeout = 1500 * time.Millisecond
	// listTimeout bounds the read of a complete list, which has many pages.
	listTimeout = 8 * time.Second
	// peerQueryAge is the age of this gateway's proof at which it asks peers for theirs.
	peerQueryAge = 1600 * time.Millisecond
)

// followConfiguration keeps the configuration and its proof up to date.
func (g *Gateway) followConfiguration() {
	lost := false
	for {
		wait := readInterval
		if g.shouldReadStore(g.state.ReadAge(time.Now())) {
			sent := time.Now()
			err := g.readConfiguration(sent)
			g.storeReads.recordRead(err, time.Now())
			if (err != nil) != lost {
				lost = err != nil
				g.logDependency("configuration store", lost, err)
			}
			if err != nil {
				g.queryPeers()
				wait = readRetryInterval
			}
			g.broadcastSoon()
		} else {
			wait = readRetryInterval
		}
		if !g.pauseOrResume(wait) {
			return
		}
	}
}

// shouldReadStore reports whether this gateway reads the store now, given the age of its data, which is
// noDataAge if it has none.
func (g *Gateway) shouldReadStore(age time.Duration) bool {
	now := time.Now()
	switch {
	case g.deps.Mesh == nil:
		return true
	case age == noDataAge && now.Before(g.firstReadAt):
		return false
	default:
		return g.storeReads.shouldRead(g.config.Name, age, frequentReadTimes, now)
	}
}

// noDataAge stands for the age of data that a gateway does not have.
const noDataAge time.Duration = math.MaxInt64

func (g *Gateway) proofAge() time.Duration {
	age, _ := g.state.ProofAge(time.Now())
	return age
}

func (g *Gateway) readConfiguration(sent time.Time) error {
	ctx, cancel := context.WithTimeout(g.ctx, readTimeout)
	defer cancel()
	g.checkSuspension()
	if !g.suspensions.NotBefore(sent) {
		sent = time.Now() // the host was suspended just before
	}
	g.loadSettledEra()
	g.storeReads.recordQuery(sent)
	silent := time.AfterFunc(silentAfter, func() {
		g.storeReads.recordRead(errSilent, time.Now())
		g.broadcastSoon()
	})
	defer silent.Stop()
	settings, err := g.deps.Source.OperatorSettings(ctx)
	g.checkStoreEra()
	g.applyEvacuations(settings.Evacuations, "store")
	if isUnusableConfiguration(err) {
		g.handleUnusableConfiguration(err, sent)
		return nil
	}
	if err != nil {
		g.meter.storeFailures.Inc()
		return err
	}
	g.recordConfigurationProblem(nil)
	c := settings.Configuration
	if c == nil {
		// Peers may know a newer one that an older copy of the store does not contain.
		g.state.RecordOwnProof(g.lastReadVersion.Load(), sent)
		return nil
	}
	g.lastReadVersion.Store(c.Version)
	if g.state.ApplyConfiguration(c) {
		g.deps.Log.Logger().Info("Configuration in force.", "version", c.Version, "from", "store", "read_ms", time.Since(sent).Milliseconds())
	}
	g.state.RecordOwnProof(c.Version, sent)
	return nil
}

// logDependency logs that a dependency of the gateway was lost or regained.
func (g *Gateway) logDependency(name string, lost bool, err error) {
	age, _ := g.state.ProofAge(time.Now())
	if lost {
		g.deps.Log.Logger().Warn("Dependency lost.", "dependency", name, "err", err, "proof_age_ms", age.Milliseconds())
		return
	}
	g.deps.Log.Logger().Info("Dependency regained.", "dependency", name, "proof_age_ms", age.Milliseconds())
}

// followEndpoints keeps the list of endpoints up to date.
func (g *Gateway) followEndpoints() {
	for {
		wait := readRetryInterval
		if g.shouldReadStore(g.storeReads.endpointsAge(time.Now())) {
			if g.readEndpoints() {
				wait = readInterval
			}
		}
		if !g.pauseOrResume(wait) {
			return
		}
	}
}

// errSilent is the result of a read that has been unanswered for silentAfter.
var errSilent = errors.New("the store has not answered yet")

// readEndpoints reads the list from the store; it reports false on failure.
func (g *Gateway) readEndpoints() bool {
	ctx, cancel := context.WithTimeout(g.ctx, listTimeout)
	defer cancel()
	g.checkSuspension()
	sent := time.Now()
	g.storeReads.recordQuery(sent)
	g.storeReads.cancelAtList(cancel) // a peer may have it sooner
	list, err := g.deps.Source.Endpoints(ctx)
	g.checkStoreEra()
	if err != nil && g.storeReads.endpointsAge(time.Now()) < takeoverAge {
		return true
	}
	g.storeReads.recordRead(err, time.Now())
	if err != nil {
		g.meter.storeFailures.Inc()
		g.deps.Log.Logger().Debug("The list of endpoints could not be read.", "err", err)
		return false
	}
	g.storeReads.recordList(list, sent)
	g.applyEndpoints()
	g.broadcastSoon()
	return true
}

func (g *Gateway) handleEndpointChange(c availability.Change) {
	e := c.Endpoint
	g.deps.Log.Logger().Info("Endpoint changed.", "endpoint", e.ID, "change", string(c.Kind), "from", c.Source, "born", e.Born, "service", e.Service, "address", e.Address)
	if c.Kind == availability.ChangeRestarted && g.state.DrainUncertain(e) {
		g.background.Go(func() { g.resolveUncertainDrain(e) })
	}
	if c.Kind == availability.ChangeDraining {
		g.deps.Endpoints.CloseIdleTo(e.ID) // close idle connections
	}
	if c.Kind == availability.ChangeGone || c.Kind == availability.ChangeRestarted {
		g.deps.Endpoints.CloseIdleTo(e.ID)
		g.picker.forget(e.ID)
		g.endpointLimits.Forget(e.ID)
	}
}
