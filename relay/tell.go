package relay

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/peers"
	"github.com/micarudder/micarudder/quarantine"
)

const (
	// tellEvery is the time between two regular messages to the peers, which carry proofs and
	// clocks besides the load.
	tellEvery = 250 * time.Millisecond
	// tellGap is the least time between two messages; choices made within it are sent together.
	tellGap = 10 * time.Millisecond
	// digestEvery is how many regular messages are sent for each one with digests.
	digestEvery = 2
)

// trigger is the reason why a message is sent.
type trigger uint8

const (
	changed    trigger = iota // the load has changed
	proved                    // something was read that others wait for
	due                       // a regular message is due
	dueDigests                // a regular message with digests is due
)

// message is a message with its recipients.
type message struct {
	word peers.Word
	to   []netip.AddrPort
}

// tell sends this gateway's load to its peers: soon after it changed, and regularly while it does
// not.
func (g *Gateway) tell() {
	if g.deps.Mesh == nil {
		return
	}
	heartbeat := time.NewTicker(tellEvery)
	defer heartbeat.Stop()
	beats := 0
	for {
		cause := changed
		select {
		case <-g.ctx.Done():
			return
		case <-heartbeat.C:
			cause = due
			if beats++; beats%digestEvery == 0 {
				cause = dueDigests
			}
		case <-g.news:
			cause = proved
		case <-g.picker.urgent:
		}
		now := time.Now()
		g.send(g.outgoing(g.audience(now), cause, now))
		if !g.pause(tellGap) {
			return
		}
	}
}

// tellNews causes a complete message to be sent soon, since others wait for what was read.
func (g *Gateway) tellNews() {
	select {
	case g.news <- struct{}{}:
	default:
	}
}

func (g *Gateway) send(outgoing []message) {
	now := time.Now()
	for _, m := range outgoing {
		if err := g.deps.Mesh.Send(m.word, m.to, now); err != nil {
			g.meter.tellFailures.Inc()
		}
	}
}

// outgoing returns the messages to be sent for a trigger.
func (g *Gateway) outgoing(r recipients, cause trigger, now time.Time) []message {
	g.quarantined.speaks.Store(r.speaks)
	g.picker.setFleetSize(r.gateways, int(g.listedGateways.Load()))
	g.refreshLimits(r, now)
	load := g.picker.ownLoad(cause != changed, now)
	base := peers.Word{
		Leaving: g.leaving.Load(), DataCentre: g.config.DataCentre, Partial: cause == changed,
		ProofAgeMs: -1, Version: g.state.Version(), NoStore: g.sharing.storeUnreachable(), StoreEra: g.state.StoreEra(),
	}
	if cause != changed {
		g.fillReads(&base, now)
		base.Echo = r.speaks
	}
	out := []message{g.localMessage(base, r, cause, load, now)}
	cells := slices.Sorted(maps.Keys(r.remote))
	// The reports on quarantined requests are repeated to one cell in turn, a different one from
	// each cell, so that each cell receives the same number of repeats however many cells there
	// are.
	localIndex, _ := slices.BinarySearch(cells, r.localCell)
	for n, c := range cells {
		repeat := cause == dueDigests && n == (localIndex+g.quarantined.turn)%len(cells)
		if m, ok := g.remoteMessage(base, r, c, cause, load.byCell[c], repeat, now); ok {
			out = append(out, m)
		}
	}
	if cause == dueDigests {
		g.quarantined.turn++
	}
	return out
}

// localMessage returns the message for the local cell, with the load at all endpoints.
func (g *Gateway) localMessage(w peers.Word, r recipients, cause trigger, load ownLoad, now time.Time) message {
	w.Loads, w.Waiting, w.Signs = load.all, load.waiting, load.signs
	g.limits.fillMessage(&w, cause != changed, now)
	w.Leaves = g.state.DrainNotices(cause == dueDigests, now)
	if r.speaks && cause == dueDigests {
		w.Digests = g.picker.remoteDigests(now)
	}
	w.Crashes = g.crashReports(quarantine.OwnCell, r.speaks, cause == changed, r.speaks && cause == dueDigests, now)
	return message{w, r.local}
}

// remoteMessage returns the message for another cell, if there is one to send: the load at that
// cell's endpoints, and what representatives of cells tell each other.
func (g *Gateway) remoteMessage(w peers.Word, r recipients, c string, cause trigger, loads map[string]balance.Load, repeat bool, now time.Time) (message, bool) {
	w.Loads = loads
	representative := r.speaks && (cause == dueDigests || cause == proved)
	if representative && cause == dueDigests {
		w.Digests = []peers.Digest{g.picker.localDigest(c, g.config.DataCentre, r.gateways, now)}
	}
	if representative {
		w.Crashes = g.crashReports(quarantine.OtherCells, true, false, repeat, now)
	}
	switch {
	case len(loads) > 0:
		return message{w, r.remote[c]}, true
	case representative:
		return message{w, r.remoteRecipients[c]}, true
	default:
		return message{}, false
	}
}

// crashReports returns the reports on requests that were running on endpoints when these crashed;
// repeat adds all reports on quarantined requests.
func (g *Gateway) crashReports(to quarantine.Audience, speaks, urgent, repeat bool, now time.Time) []quarantine.Report {
	if g.quarantined.known.Load() == 0 {
		return nil
	}
	var out []quarantine.Report
	g.quarantined.change(func(t *quarantine.Table) {
		out = t.Tell(to, speaks, urgent, now)
		if repeat {
			out = append(out, t.Repeat(now)...)
		}
	})
	return out
}

// hear processes the messages of peers until the mesh is closed.
func (g *Gateway) hear() {
	if g.deps.Mesh == nil {
		return
	}
	g.deps.Mesh.Receive(func(w peers.Word, from netip.AddrPort) {
		g.picker.peer(w, time.Now())
		g.heardCrashes(w)
		g.heardLimits(w)
		g.heardLeaves(w)
		g.heardWord(w, from)
	})
}
