package balance

import (
	"time"

	"github.com/micarudder/micarudder/residual"
)

// CountResidual makes the tracker count the load of processes that are gone. Peers that
// fall silent are added to the table.
func (t *LoadTracker) CountResidual(table *residual.Table) { t.residual = table }

// Residual returns the load of processes that are gone; nil if it is not counted.
func (t *LoadTracker) Residual() *residual.Table { return t.residual }

// RecordPeerProcess records which process sent the newest message of a peer, before its
// load is recorded. If the process is a new one, the load of the one before is residual
// load. loads is the peer's load if m is a complete message.
func (t *LoadTracker) RecordPeerProcess(m residual.Message, loads map[string]Load, now time.Time) {
	if t.residual == nil {
		return
	}
	t.expirePeers(now)
	if t.residual.Replaces(m.Name, m.Incarnation) {
		t.retirePeer(m.Name, now)
	}
	if !m.Complete && !m.Leaving && t.residual.Silent(m.Name, m.Incarnation) {
		return // most of its load is only in its next complete message
	}
	if m.Complete && t.residual.Starting(now) {
		m.Loads = residualLoads(loads)
	}
	t.residual.PeerMessage(m, now)
}

// retirePeer drops the report of a peer that may be gone and counts its load as residual.
func (t *LoadTracker) retirePeer(name string, now time.Time) {
	if p, ok := t.peers[name]; ok && t.residual != nil {
		t.residual.PeerSilent(name, residualLoads(p.loads), now)
	}
	t.removePeer(name)
}

// residualLoad returns the load of processes that are gone. Most of their requests are
// short ones.
func (t *LoadTracker) residualLoad(endpoint string, now time.Time) Load {
	l := t.residual.Load(endpoint, now)
	return Load{Short: l.Requests, MemoryTokens: l.MemoryTokens}
}

// LiveResidual returns LiveLoad in the units of residual load.
func (t *LoadTracker) LiveResidual(endpoint string, now time.Time) residual.Load {
	return t.LiveLoad(endpoint, now).residual()
}

func residualLoads(loads map[string]Load) map[string]residual.Load {
	out := make(map[string]residual.Load, len(loads))
	for id, l := range loads {
		out[id] = l.residual()
	}
	return out
}

func (l Load) residual() residual.Load {
	return residual.Load{Requests: l.Short + l.Long, MemoryTokens: l.MemoryTokens}
}
