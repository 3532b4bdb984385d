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
	// tellEvery is the time between two words to the peers that tell of reads
	// and clocks beside the load.
	tellEvery = 250 * time.Millisecond
	// tellGap is the least time between two words: choices made within it go
	// out together.
	tellGap = 10 * time.Millisecond
	// digestEvery is how many words that are due pass between two with digests.
	digestEvery = 2
)

// occasion is why a word is sent.
type occasion uint8

const (
	changed    occasion = iota // load has changed
	proved                     // something was read that others wait for
	due                        // it is time
	dueDigests                 // it is time, also for digests
)

// message is a word and who gets it.
type message struct {
	word peers.Word
	to   []netip.AddrPort
}

// tell sends this gateway's load to its peers: soon after it changed, and now
// and then while it does not.
func (g *Gateway) tell() {
	if g.deps.Mesh == nil {
		return
	}
	heartbeat := time.NewTicker(tellEvery)
	defer heartbeat.Stop()
	beats := 0
	for {
		why := changed
		select {
		case <-g.ctx.Done():
			return
		case <-heartbeat.C:
			why = due
			if beats++; beats%digestEvery == 0 {
				why = dueDigests
			}
		case <-g.news:
			why = proved
		case <-g.picker.urgent:
		}
		now := time.Now()
		g.send(g.outgoing(g.audience(now), why, now))
		if !g.pause(tellGap) {
			return
		}
	}
}

// tellNews makes a whole word go out soon, since others wait for what was read.
func (g *Gateway) tellNews() {
	select {
	case g.news <- struct{}{}:
	default:
	}
}

func (g *Gateway) send(outgoing []message) {
	now := time.Now()
	for _, l := range outgoing {
		if err := g.deps.Mesh.Send(l.word, l.to, now); err != nil {
			g.meter.tellFailures.Inc()
		}
	}
}

// outgoing returns what is to be told to the audience on an occasion.
func (g *Gateway) outgoing(a audience, why occasion, now time.Time) []message {
	g.quarantined.speaks.Store(a.speaks)
	g.picker.setFleet(a.gateways, int(g.listedGateways.Load()))
	g.keepLimits(a, now)
	told := g.picker.ownLoad(why != changed, now)
	base := peers.Word{
		Leaving: g.leaving.Load(), DataCentre: g.config.DataCentre, Partial: why == changed,
		ProofAgeMs: -1, Version: g.state.Version(), NoStore: g.sharing.storeLost(), StoreEra: g.state.StoreEra(),
	}
	if why != changed {
		g.fill(&base, now)
		base.Echo = a.speaks
	}
	out := []message{g.near(base, a, why, told, now)}
	cells := slices.Sorted(maps.Keys(a.far))
	// One cell in turn is told again of quarantined requests, each by another one: so each
	// hears as much whatever their number.
	home, _ := slices.BinarySearch(cells, a.home)
	for n, c := range cells {
		repeat := why == dueDigests && n == (home+g.quarantined.turn)%len(cells)
		if l, ok := g.far(base, a, c, why, told.by[c], repeat, now); ok {
			out = append(out, l)
		}
	}
	if why == dueDigests {
		g.quarantined.turn++
	}
	return out
}

// near returns the word for the own cell: it tells of all load, wherever it is.
func (g *Gateway) near(w peers.Word, a audience, why occasion, told ownLoad, now time.Time) message {
	w.Loads, w.Waiting, w.Signs = told.all, told.waiting, told.signs
	g.limits.fill(&w, why != changed, now)
	w.Leaves = g.state.TellLeaves(why == dueDigests, now)
	if a.speaks && why == dueDigests {
		w.Digests = g.picker.passOn(now)
	}
	w.Crashes = g.crashReports(quarantine.OwnCell, a.speaks, why == changed, a.speaks && why == dueDigests, now)
	return message{w, a.near}
}

// far returns the word for another cell, if there is anything to tell it: load at its
// endpoints, and what those who speak across cells tell each other.
func (g *Gateway) far(w peers.Word, a audience, c string, why occasion, loads map[string]balance.Load, repeat bool, now time.Time) (message, bool) {
	w.Loads = loads
	speaks := a.speaks && (why == dueDigests || why == proved)
	if speaks && why == dueDigests {
		w.Digests = []peers.Digest{g.picker.offer(c, g.config.DataCentre, a.gateways, now)}
	}
	if speaks {
		w.Crashes = g.crashReports(quarantine.OtherCells, true, false, repeat, now)
	}
	switch {
	case len(loads) > 0:
		return message{w, a.far[c]}, true
	case speaks:
		return message{w, a.across[c]}, true
	default:
		return message{}, false
	}
}

// crashReports returns what is to be told of requests that were on endpoints that crashed;
// repeat adds what stands against the quarantined ones.
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

// hear takes in what peers say.
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
