package relay

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/endpointlist"
)

// listHistory is the number of earlier lists to which differences are known: while endpoints are replaced one
// after the other, peers ask for each new list within a second.
const listHistory = 8

// earlierList is a list that was replaced by a newer one.
type earlierList struct {
	hash      uint64
	endpoints []catalog.Endpoint
}

// difference returns the list as its difference from the one with the hash base, or complete if that one is
// not known. The caller holds the lock.
func (s *storeReads) difference(base uint64) endpointlist.List {
	if base == s.hash {
		return endpointlist.List{Base: base}
	}
	for _, earlier := range s.earlier {
		if earlier.hash == base {
			return endpointlist.Diff(earlier.hash, earlier.endpoints, s.list)
		}
	}
	return endpointlist.List{Endpoints: s.list}
}

// fetchEndpoints fetches a peer's list, by its difference from the known one if the peer has that. The peer
// may have read the store again meanwhile; then the list is newer than sent.
func (g *Gateway) fetchEndpoints(from netip.AddrPort, sent time.Time) error {
	ctx, cancel := context.WithTimeout(g.ctx, 2*peerQueryTimeout)
	defer cancel()
	s := g.storeReads
	s.mu.Lock()
	known, base := s.hash, s.list
	s.mu.Unlock()
	var list endpointlist.List
	if err := g.peerClient.Get(ctx, g.peerClient.URL(from, pathEndpoints)+"?known="+strconv.FormatUint(known, 10), &list); err != nil {
		return err
	}
	switch list.Base {
	case 0:
		base = list.Endpoints
	case known:
		base = list.ApplyTo(base)
	default:
		return trace.Errorf("a peer's list differs from %x, which was not asked for", list.Base)
	}
	s.recordList(base, sent)
	g.applyEndpoints()
	return nil
}

// fetchEndpointsLogged is fetchEndpoints for callers that go on with what they have.
func (g *Gateway) fetchEndpointsLogged(from netip.AddrPort, sent time.Time) {
	if err := g.fetchEndpoints(from, sent); err != nil {
		g.deps.Log.Logger().Warn("A peer's list of endpoints could not be read.", "peer", from, "err", err)
	}
}

// serveEndpoints answers a peer that asks for the list and may say which one it knows.
func (g *Gateway) serveEndpoints(w http.ResponseWriter, r *http.Request) {
	known, _ := strconv.ParseUint(r.URL.Query().Get("known"), 10, 64) // an invalid hash is that of no list
	s := g.storeReads
	s.mu.Lock()
	list, hash := s.difference(known), s.hash
	s.mu.Unlock()
	if hash == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if list.Base != 0 {
		g.writePeerResponse(w, list)
		return
	}
	g.writeDocument(w, &g.endpointsDocument, hash, list)
}
