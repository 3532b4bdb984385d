package relay

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/document"
	"github.com/micarudder/micarudder/peers"
)

const (
	// peerQueryTimeout bounds a request to a peer, which is in the same network.
	peerQueryTimeout = 500 * time.Millisecond
	// peersQueried is how many peers are queried at once.
	peersQueried = 3

	// PathState is the path at which a gateway answers with its GatewayState.
	PathState         = "/peer/proof"
	pathConfiguration = "/peer/configuration"
)

// GatewayState is what a gateway answers about what it knows of the store.
type GatewayState struct {
	Version uint64 // of the configuration in force; 0: none
	AgeMs   int64  // since the read was sent that proved Version
	// EndpointsAgeMs is the time since the read of its list of endpoints was sent; negative: it has
	// no list.
	EndpointsAgeMs int64
	Evacuations    catalog.Evacuations
	// ConfigurationProblem is why the operators' newest entry cannot be used, if the gateway read it
	// itself; empty if it can be.
	ConfigurationProblem string `json:",omitempty"`
}

// PeerHandler answers operators and gateways that cannot reach the store.
func (g *Gateway) PeerHandler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET "+PathState, func(w http.ResponseWriter, _ *http.Request) {
		now := time.Now()
		age, _ := g.state.ProofAge(now)
		a := GatewayState{Version: g.state.Version(), AgeMs: peers.AgeMs(age), EndpointsAgeMs: -1, Evacuations: g.state.Evacuations(), ConfigurationProblem: g.configurationProblem()}
		if listed := g.storeReads.endpointsAge(now); listed < time.Hour {
			a.EndpointsAgeMs = peers.AgeMs(listed)
		}
		g.writePeerResponse(w, a)
	})
	m.HandleFunc("GET "+pathConfiguration, func(w http.ResponseWriter, _ *http.Request) {
		t := g.state.Table()
		if t == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		g.writeDocument(w, &g.configurationDocument, t.Version, t.Configuration)
	})
	m.HandleFunc("GET "+pathEndpoints, g.serveEndpoints)
	m.HandleFunc("GET "+pathGateways, g.serveGateways)
	m.HandleFunc("POST "+pathGrant, g.serveGrant)
	m.HandleFunc("GET "+PathQuarantine, g.serveQuarantine)
	m.HandleFunc("DELETE "+PathQuarantine+"/{fingerprint}", g.serveClear)
	return m
}

func (g *Gateway) writePeerResponse(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		g.deps.Log.Logger().Debug("Sending a response to a peer failed.", "err", err)
	}
}

// writeDocument answers with the compressed form of v; every peer accepts it.
func (g *Gateway) writeDocument(w http.ResponseWriter, d *document.Compressed, key uint64, v any) {
	p, err := d.Get(key, v)
	if err != nil {
		g.deps.Log.Logger().Error("Encoding a document for peers failed.", "err", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	if _, err := w.Write(p); err != nil {
		g.deps.Log.Logger().Debug("Sending a response to a peer failed.", "err", err)
	}
}

// queryPeers gets a newer proof from peers, and the configuration that it belongs to, when the
// gateway's own proof is getting old. A peer counts the age of its proof from its own read. Here
// the age counts from when the peer was queried, so that network delay or a frozen process never
// makes a proof look newer.
func (g *Gateway) queryPeers() {
	if g.deps.Mesh == nil {
		return
	}
	if age, _ := g.state.ProofAge(time.Now()); age < peerQueryAge {
		return
	}
	members := g.deps.Mesh.Members(time.Now())
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	done := make(chan struct{})
	queried := members[:min(peersQueried, len(members))]
	for _, m := range queried {
		go func() {
			g.queryPeerLogged(m.Address)
			done <- struct{}{}
		}()
	}
	for range queried {
		<-done
	}
}

// queryPeer fetches a peer's proof and, if its version is newer, its configuration.
func (g *Gateway) queryPeer(m netip.AddrPort) (proof GatewayState, err error) {
	ctx, cancel := context.WithTimeout(g.ctx, 2*peerQueryTimeout)
	defer cancel()
	sent := time.Now()
	if err := g.peerClient.Get(ctx, g.peerClient.URL(m, PathState), &proof); err != nil {
		return proof, err
	}
	g.applyEvacuations(proof.Evacuations, m.String())
	if proof.Version > g.state.Version() {
		c := new(catalog.Configuration)
		if err := g.peerClient.Get(ctx, g.peerClient.URL(m, pathConfiguration), c); err != nil {
			return proof, err
		}
		if g.state.ApplyConfiguration(c) {
			g.deps.Log.Logger().Info("Configuration in force.", "version", c.Version, "from", "peer", "peer", m, "proof_age_ms", proof.AgeMs)
		}
	}
	g.state.RecordProof(proof.Version, sent.Add(-peers.AgeFromMs(proof.AgeMs)))
	return proof, nil
}

// queryPeerLogged calls queryPeer and logs the error, for callers that continue without a response.
func (g *Gateway) queryPeerLogged(m netip.AddrPort) {
	if _, err := g.queryPeer(m); err != nil {
		g.deps.Log.Logger().Warn("Reading a peer's configuration failed.", "peer", m, "err", err)
	}
}
