package relay

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/peers"
	"github.com/micarudder/micarudder/quarantine"
	"github.com/micarudder/micarudder/recipients"
)

const (
	// broadcastInterval is the time between two regular messages to the peers, which carry proofs and
	// clocks besides the load.
	broadcastInterval = 250 * time.Millisecond
	// minBroadcastGap is the least time between two messages; choices made within it are sent
	// together.
	minBroadcastGap = 10 * time.Millisecond
	// broadcastsPerDigest is how many regular messages are sent for each one with digests.
	broadcastsPerDigest = 2
	// broadcastsPerDirect is how many regular messages are sent for each one that is not forwarded, so
	// that what is lost with forwarders is repaired within a second. It is a multiple of
	// broadcastsPerDigest, so that this message has everything that is repeated.
	broadcastsPerDirect = 4
)

// trigger is the reason why a message is sent.
type trigger uint8

const (
	loadChanged  trigger = iota // the load has changed
	proofRead                   // something was read that others wait for
	broadcastDue                // a regular message is due
	digestsDue                  // a regular message with digests is due
)

// kind returns the kind of a message for the local cell.
func (t trigger) kind() peers.Kind {
	switch t {
	case proofRead:
		return peers.Proof
	case broadcastDue:
		return peers.Regular
	case digestsDue:
		return peers.RegularDigests
	default:
		return peers.LoadChange
	}
}

// outgoingMessage is a message with its recipients.
type outgoingMessage struct {
	message peers.Message
	to      []netip.AddrPort
}

// broadcastLoop sends this gateway's load to its peers: soon after it changed, and regularly while
// it does not.
func (g *Gateway) broadcastLoop() {
	if g.deps.Mesh == nil {
		return
	}
	heartbeat := time.NewTicker(broadcastInterval)
	defer heartbeat.Stop()
	heartbeats := 0
	for {
		cause, direct := loadChanged, false
		select {
		case <-g.ctx.Done():
			return
		case due := <-heartbeat.C:
			g.deps.Mesh.RecordDelay(time.Since(due))
			heartbeats++
			cause, direct = regularTrigger(heartbeats)
		case <-g.fullMessageDue:
			cause = proofRead
		case <-g.picker.sendSoon:
		}
		now := time.Now()
		g.send(g.outgoing(g.recipients(now), cause, now), direct)
		if !g.pause(minBroadcastGap) {
			return
		}
	}
}

// regularTrigger returns the trigger of the nth regular message, counted from 1, and whether it is not
// forwarded.
func regularTrigger(n int) (cause trigger, direct bool) {
	cause, direct = broadcastDue, n%broadcastsPerDirect == 1
	if n%broadcastsPerDigest == 1 {
		cause = digestsDue
	}
	return cause, direct
}

// broadcastSoon causes a complete message to be sent soon, since others wait for what was read.
func (g *Gateway) broadcastSoon() {
	select {
	case g.fullMessageDue <- struct{}{}:
	default:
	}
}

func (g *Gateway) send(outgoing []outgoingMessage, direct bool) {
	now := time.Now()
	for _, m := range outgoing {
		m.message.Direct = direct
		if err := g.deps.Mesh.Send(m.message, m.to, now); err != nil {
			g.meter.peerSendFailures.Inc()
		}
	}
}

// outgoing returns the messages to be sent for a trigger.
func (g *Gateway) outgoing(r recipients.Recipients, cause trigger, now time.Time) []outgoingMessage {
	g.quarantine.representative.Store(r.Representative)
	g.picker.setFleetSize(r.Gateways, int(g.listedGatewayCount.Load()))
	g.refreshLimits(r, now)
	load := g.picker.localLoad(cause != loadChanged, now)
	base := peers.Message{
		ShuttingDown: g.drain.Begun(), DataCentre: g.config.DataCentre, Partial: cause == loadChanged,
		ProofAgeMs: -1, Version: g.state.Version(), StoreUnreachable: g.storeReads.storeUnreachable(), StoreEra: g.state.StoreEra(),
		Drains: g.state.DrainUpdates(cause == digestsDue, now), AgesAt: now,
	}
	if cause != loadChanged {
		g.fillReads(&base, now)
		base.EchoClocks = r.Representative
	}
	out := []outgoingMessage{g.localMessage(base, r, cause, load, now)}
	cells := slices.Sorted(maps.Keys(r.Remote))
	// The reports on quarantined requests are repeated to one cell in turn, a different one from
	// each cell, so that each cell receives the same number of repeats however many cells there
	// are.
	localIndex, _ := slices.BinarySearch(cells, r.LocalCell)
	for n, c := range cells {
		repeat := cause == digestsDue && n == (localIndex+g.quarantine.nextCell)%len(cells)
		if m, ok := g.remoteMessage(base, r, c, cause, load.byCell[c], repeat, now); ok {
			out = append(out, m)
		}
	}
	if cause == digestsDue {
		g.quarantine.nextCell++
	}
	return out
}

// localMessage returns the message for the local cell, with the load at all endpoints.
func (g *Gateway) localMessage(msg peers.Message, r recipients.Recipients, cause trigger, load localLoad, now time.Time) outgoingMessage {
	msg.Loads, msg.Waiting, msg.Observations = load.all, load.waiting, load.observations
	msg.Residual, msg.Starting = load.residual, load.starting
	g.endpointLimits.FillMessage(&msg, cause != loadChanged, now)
	if r.Representative && cause == digestsDue {
		msg.Digests = g.picker.remoteDigests(now)
	}
	// A gateway that is stopped may be the only one that knows of a request, if the others have just been
	// started.
	repeat := (r.Representative || msg.ShuttingDown) && cause == digestsDue
	msg.CrashReports = g.crashReports(quarantine.LocalCell, r.Representative, cause == loadChanged, repeat, now)
	msg.Kind = cause.kind()
	return outgoingMessage{msg, r.Local}
}

// remoteMessage returns the message for another cell, if there is one to send: the load at that
// cell's endpoints, and what representatives of cells send each other.
func (g *Gateway) remoteMessage(msg peers.Message, r recipients.Recipients, otherCell string, cause trigger, loads map[string]balance.Load, repeat bool, now time.Time) (outgoingMessage, bool) {
	msg.Loads, msg.Kind = loads, peers.CrossCellReport
	if cause == loadChanged {
		msg.Kind = peers.CrossCellLoad
	}
	representative := r.Representative && (cause == digestsDue || cause == proofRead)
	if representative && cause == digestsDue {
		msg.Digests = []peers.Digest{g.picker.localDigest(otherCell, g.config.DataCentre, r.Gateways, now)}
	}
	if representative {
		msg.CrashReports = g.crashReports(quarantine.OtherCells, true, false, repeat, now)
	} else {
		msg.Drains = nil
	}
	switch {
	case len(loads) > 0:
		return outgoingMessage{msg, r.Remote[otherCell]}, true
	case representative:
		return outgoingMessage{msg, r.RemoteRecipients[otherCell]}, true
	default:
		return outgoingMessage{}, false
	}
}

// crashReports returns the reports on requests that were running on endpoints when these crashed;
// repeat adds all reports on quarantined requests.
func (g *Gateway) crashReports(audience quarantine.Audience, representative, urgent, repeat bool, now time.Time) []quarantine.Report {
	if g.quarantine.Len() == 0 {
		return nil
	}
	var out []quarantine.Report
	g.quarantine.Change(func(t *quarantine.Table) {
		out = t.Updates(audience, representative, urgent, now)
		if repeat {
			out = append(out, t.RepeatReports(now)...)
		}
	})
	return out
}

// receivePeers processes the messages of peers until the mesh is closed.
func (g *Gateway) receivePeers() {
	if g.deps.Mesh == nil {
		return
	}
	g.deps.Mesh.Receive(func(msg peers.Message, from netip.AddrPort) {
		g.picker.recordPeer(msg, time.Now())
		g.handleCrashReports(msg)
		if !msg.Late { // otherwise a newer vote was received
			g.handlePeerLimits(msg)
		}
		g.handlePeerDrains(msg)
		g.handlePeerEvacuations(msg)
		g.handlePeerMessage(msg, from)
	})
}
