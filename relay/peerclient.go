package relay

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/micarudder/micarudder/catalog"
)

const (
	// peerTime bounds a question to a peer; it is in the same network.
	peerTime = 500 * time.Millisecond
	// peersAsked is how many peers are asked at once.
	peersAsked = 3

	pathProof         = "/peer/proof"
	pathConfiguration = "/peer/configuration"
)

// proofAnswer is what a gateway says of its newest proof.
type proofAnswer struct {
	Version uint64
	AgeMs   int64 // since the read was sent that proved Version
	// EndpointsAgeMs is the time since the read of its list of endpoints was sent;
	// negative: it has none.
	EndpointsAgeMs int64
}

// PeerHandler answers other gateways that cannot reach the store, and operators.
func (g *Gateway) PeerHandler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET "+pathProof, func(w http.ResponseWriter, _ *http.Request) {
		now := time.Now()
		age, _ := g.state.ProofAge(now)
		a := proofAnswer{Version: g.state.Version(), AgeMs: age.Milliseconds(), EndpointsAgeMs: -1}
		if listed := g.sharing.endpointsAge(now); listed < time.Hour {
			a.EndpointsAgeMs = listed.Milliseconds()
		}
		g.answerPeer(w, a)
	})
	m.HandleFunc("GET "+pathConfiguration, func(w http.ResponseWriter, _ *http.Request) {
		t := g.state.Table()
		if t == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		g.answerDocument(w, &g.configurationDocument, t.Version, t.Configuration)
	})
	m.HandleFunc("GET "+pathEndpoints, g.serveEndpoints)
	m.HandleFunc("POST "+pathGrant, g.serveGrant)
	m.HandleFunc("GET "+PathQuarantine, g.serveQuarantine)
	m.HandleFunc("DELETE "+PathQuarantine+"/{fingerprint}", g.serveClear)
	return m
}

func (g *Gateway) answerPeer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		g.deps.Log.Logger().Debug("A peer did not take its answer.", "err", err)
	}
}

// document is the compressed form of something that many peers ask for. When a
// large configuration came, 103 gateways made 200 calls to the store within 8 s: by
// reckoning twenty answers do not fit through a link of 20 Mbit/s within peerTime.
type document struct {
	mu   sync.Mutex
	key  uint64 // identifies what body was made of; 0: nothing
	body []byte
}

// get returns the compressed form of v, which key identifies.
func (d *document) get(key uint64, v any) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.key == key {
		return d.body, nil
	}
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if err := errors.Join(json.NewEncoder(z).Encode(v), z.Close()); err != nil {
		return nil, trace.Wrap(err)
	}
	d.key, d.body = key, b.Bytes()
	return d.body, nil
}

// answerDocument answers with v, compressed; every peer takes that.
func (g *Gateway) answerDocument(w http.ResponseWriter, d *document, key uint64, v any) {
	p, err := d.get(key, v)
	if err != nil {
		g.deps.Log.Logger().Error("A document for peers could not be written.", "err", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	if _, err := w.Write(p); err != nil {
		g.deps.Log.Logger().Debug("A peer did not take its answer.", "err", err)
	}
}

// peerClient asks other gateways.
type peerClient struct {
	http *http.Client
	port int
}

func newPeerClient(port int) *peerClient {
	return &peerClient{port: port, http: &http.Client{
		Timeout:   peerTime,
		Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 5 * time.Second},
	}}
}

func (c *peerClient) get(ctx context.Context, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	return c.do(req, into)
}

// do sends a question and reads the answer.
func (c *peerClient) do(req *http.Request, into any) error {
	res, err := c.http.Do(req)
	if err != nil {
		c.http.CloseIdleConnections() // they may have gone silent together
		return trace.Wrap(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return trace.Errorf("%s: %s", req.URL, res.Status)
	}
	return trace.Wrap(json.NewDecoder(res.Body).Decode(into))
}

// askPeers takes a younger proof from the peers when the own one grows old, and
// the configuration that it is for. A peer counts its proof's age from its own
// read; here the age counts from the time at which the peer was asked, so that
// time on the way or in a freeze never makes a proof younger.
func (g *Gateway) askPeers() {
	if g.deps.Mesh == nil {
		return
	}
	if age, _ := g.state.ProofAge(time.Now()); age < askPeersAfter {
		return
	}
	members := g.deps.Mesh.Members(time.Now())
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	done := make(chan struct{})
	asked := members[:min(peersAsked, len(members))]
	for _, m := range asked {
		go func() {
			g.askPeerLogged(m.Address)
			done <- struct{}{}
		}()
	}
	for range asked {
		<-done
	}
}

// askPeer takes a peer's proof and, if that is newer, its configuration.
func (g *Gateway) askPeer(m netip.AddrPort) (proof proofAnswer, err error) {
	ctx, cancel := context.WithTimeout(g.ctx, 2*peerTime)
	defer cancel()
	sent := time.Now()
	if err := g.peers.get(ctx, g.peerURL(m, pathProof), &proof); err != nil {
		return proof, err
	}
	if proof.Version > g.state.Version() {
		c := new(catalog.Configuration)
		if err := g.peers.get(ctx, g.peerURL(m, pathConfiguration), c); err != nil {
			return proof, err
		}
		if g.state.Take(c) {
			g.deps.Log.Logger().Info("Configuration in force.", "version", c.Version, "from", "peer", "peer", m, "proof_age_ms", proof.AgeMs)
		}
	}
	g.state.Prove(proof.Version, sent.Add(-time.Duration(proof.AgeMs)*time.Millisecond))
	return proof, nil
}

// askPeerLogged is askPeer for callers that go on without an answer.
func (g *Gateway) askPeerLogged(m netip.AddrPort) {
	if _, err := g.askPeer(m); err != nil {
		g.deps.Log.Logger().Warn("A peer's configuration could not be read.", "peer", m, "err", err)
	}
}
