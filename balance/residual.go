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

// RecordPeerProcess records which process sent the newest message of a peer. If the
// process is a new one, the load of the one before is residual load.
func (t *LoadTracker) RecordPeerProcess(name string, incarnation uint64, shuttingDown, complete, starting bool, now time.Time) {
	if t.residual == nil {
		return
	}
	t.expirePeers(now)
	if t.residual.Replaces(name, incarnation) {
		t.retirePeer(name, now)
	}
	t.residual.PeerMessage(name, incarnation, shuttingDown, complete, starting, now)
}

// retirePeer drops the report of a peer that may be gone and counts its load as residual.
func (t *LoadTracker) retirePeer(name string, now time.Time) {
	if p, ok := t.peers[name]; ok && t.residual != nil {
		loads := make(map[string]residual.Load, len(p.loads))
		for id, l := range p.loads {
			loads[id] = l.residual()
		}
		t.residual.PeerSilent(name, loads, now)
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

func (l Load) residual() residual.Load {
	return residual.Load{Requests: l.Short + l.Long, MemoryTokens: l.MemoryTokens}
}
