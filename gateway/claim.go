package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"time"

	"github.com/micarudder/micarudder/metastore"
	"github.com/micarudder/micarudder/result"
)

const (
	// maxKey bounds the length of an idempotency key, in bytes.
	maxKey = 256
	// claimTime bounds the platform calls of one claim.
	claimTime = 2 * time.Second
	// claimKeep is how long a key is remembered at least. It must not be
	// shorter than a ticket's life: a late order under a claim that is gone
	// must find its ticket expired.
	claimKeep = 24 * time.Hour
	// claimsAwayFor is the time to come back when no claim can be made.
	claimsAwayFor = 5 * time.Second
)

// claimed is the value of a claim at the platform.
type claimed struct {
	Ticket string `json:"ticket"`
	Digest string `json:"digest"` // of the request that claimed the key
}

// claim binds an unrepeatable request with a bare idempotency key to one
// ticket, by one compare-and-swap at the platform: the first presentation
// writes its ticket, every later one is led to that run. Requests with a
// ticket, and repeatable ones, need no claim.
func (g *Gateway) claim(x *exchange, o *order) *result.Err {
	key := x.r.Header.Get(headerKey)
	if key == "" || o.ticket != "" || o.repeatable {
		return nil
	}
	if len(key) > maxKey {
		return result.New(result.BadHeader, headerKey+" is longer than 256 bytes")
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), o.deadline)
	defer cancel()
	mine := claimed{Digest: digest(o)}
	found, err := g.makeClaim(ctx, o, claimKey(o.workspace.Name, key), mine)
	if err != nil {
		return err
	}
	if found.Digest != mine.Digest {
		return result.New(result.KeyReused, "")
	}
	claims, err := g.readTicket(found.Ticket, x.workspace)
	if err != nil {
		return err
	}
	o.ticket, o.claims, o.id = found.Ticket, claims, claims.RequestId
	return nil
}

// makeClaim claims the key for a new ticket. When no endpoint can be had the
// key may still lead to a run that another presentation ordered.
func (g *Gateway) makeClaim(ctx context.Context, o *order, key string, mine claimed) (claimed, *result.Err) {
	s := &session{g: g, o: o}
	if _, end := s.place(); end != nil {
		if found, ok := g.findClaim(ctx, key); ok {
			return found, nil
		}
		return claimed{}, &result.Err{
			Code: result.Code(end.Code), Outcome: result.Outcome(end.Outcome), Detail: end.Detail, RetryAfter: end.RetryAfterMs,
		}
	}
	mine.Ticket = s.ticket
	return g.writeClaim(ctx, key, mine)
}

// findClaim looks for a claim without making one.
func (g *Gateway) findClaim(ctx context.Context, key string) (found claimed, ok bool) {
	if g.deps.Store == nil {
		return found, false
	}
	ctx, cancel := context.WithTimeout(ctx, claimTime)
	defer cancel()
	e, err := g.deps.Store.Get(ctx, key)
	return found, err == nil && json.Unmarshal(e.Value, &found) == nil
}

// digest names what a request asks for.
func digest(o *order) string {
	h := sha256.New()
	_, _ = io.WriteString(h, o.call.GetMethod()+" "+o.call.GetPath()+o.completion.GetPath()+"\n")
	_, _ = h.Write(o.body)
	return hex.EncodeToString(h.Sum(nil))
}

// writeClaim returns the claim that holds the key: mine, or an earlier one.
// Without an answer nothing is ordered: whatever becomes of the write, no run
// exists under my ticket, and the next presentation is led to it.
func (g *Gateway) writeClaim(ctx context.Context, key string, mine claimed) (claimed, *result.Err) {
	if g.deps.Store == nil {
		return claimed{}, claimsAway()
	}
	ctx, cancel := context.WithTimeout(ctx, claimTime)
	defer cancel()
	value, err := json.Marshal(mine)
	if err != nil {
		return claimed{}, claimsAway()
	}
	e, err := g.swapClaim(ctx, key, value)
	if errors.Is(err, metastore.ErrLeaseGone) {
		g.leases.drop()
		e, err = g.swapClaim(ctx, key, value)
	}
	var found claimed
	if (err != nil && e.Revision == 0) || json.Unmarshal(e.Value, &found) != nil {
		return claimed{}, claimsAway()
	}
	return found, nil
}

// swapClaim writes the claim unless one is there. With an entry, whatever the
// error, the key is claimed by it.
func (g *Gateway) swapClaim(ctx context.Context, key string, value []byte) (metastore.Entry, error) {
	lease, err := g.leases.get(ctx, g.deps.Store)
	if err != nil {
		return metastore.Entry{}, err
	}
	same := func(e metastore.Entry) bool { return string(e.Value) == string(value) }
	return metastore.Settle(ctx, g.deps.Store, key, 0, value, lease, same)
}

// claimLeases gives the lease that removes claims after their time: one per
// gateway and hour, never renewed, so that claims cost no other platform call.
type claimLeases struct {
	turn  chan struct{} // holds a token while the lease is read or granted
	id    metastore.LeaseID
	since time.Time
}

func newClaimLeases() *claimLeases { return &claimLeases{turn: make(chan struct{}, 1)} }

// claimLeaseTurn is how long one lease takes new claims.
const claimLeaseTurn = time.Hour

// get returns the current lease, granted anew once an hour.
func (l *claimLeases) get(ctx context.Context, store metastore.Store) (metastore.LeaseID, error) {
	select {
	case l.turn <- struct{}{}:
		defer func() { <-l.turn }()
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	now := time.Now()
	if l.id != 0 && now.Sub(l.since) < claimLeaseTurn {
		return l.id, nil
	}
	id, err := store.Grant(ctx, claimKeep+claimLeaseTurn)
	if err != nil {
		return 0, err
	}
	l.id, l.since = id, now
	return id, nil
}

// drop forgets a lease that the platform no longer knows.
func (l *claimLeases) drop() {
	l.turn <- struct{}{}
	l.id = 0
	<-l.turn
}

func claimsAway() *result.Err {
	err := result.New(result.ClaimsAway, "")
	err.RetryAfter = claimsAwayFor.Milliseconds()
	return err
}

func claimKey(workspace, key string) string {
	sum := sha256.Sum256([]byte(key))
	return metastore.PrefixClaims + workspace + "/" + hex.EncodeToString(sum[:])
}
