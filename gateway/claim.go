package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"time"

	"github.com/micarudder/micarudder/platform"
	"github.com/micarudder/micarudder/result"
)

const (
	// maxKey bounds the length of an idempotency key, in bytes.
	maxKey = 256
	// claimTime bounds the platform calls of one claim.
	claimTime = 2 * time.Second
)

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
	s := &session{g: g, o: o}
	if _, end := s.place(); end != nil {
		return &result.Err{Code: result.Code(end.Code), Outcome: result.Outcome(end.Outcome), Detail: end.Detail, RetryAfter: end.RetryAfterMs}
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), claimTime)
	defer cancel()
	ticket, err := g.writeClaim(ctx, claimKey(o.workspace.Name, key), s.ticket)
	if err != nil {
		return err
	}
	claims, err := g.readTicket(ticket, x.workspace)
	if err != nil {
		return err
	}
	o.ticket, o.claims, o.id = ticket, claims, claims.RequestId
	return nil
}

// writeClaim returns the ticket that holds the key: mine, or an earlier one.
func (g *Gateway) writeClaim(ctx context.Context, key, ticket string) (string, *result.Err) {
	if g.deps.Store == nil {
		return "", claimsAway()
	}
	e, err := g.deps.Store.CompareAndSwap(ctx, key, 0, []byte(ticket), g.claimLease(ctx))
	if errors.Is(err, platform.ErrUnknown) {
		e, err = g.readBack(ctx, key)
	}
	switch {
	case err == nil, errors.Is(err, platform.ErrConflict):
		return string(e.Value), nil
	default:
		// Nothing was ordered: whatever became of the claim, no run exists
		// under my ticket, and the next presentation is led to it.
		return "", claimsAway()
	}
}

func (g *Gateway) readBack(ctx context.Context, key string) (platform.Entry, error) {
	return g.deps.Store.Get(ctx, key)
}

// claimLease returns the lease that removes claims after their time.
func (g *Gateway) claimLease(context.Context) platform.LeaseID { return 0 }

func claimsAway() *result.Err {
	err := result.New(result.ClaimsAway, "")
	err.RetryAfter = (5 * time.Second).Milliseconds()
	return err
}

func claimKey(workspace, key string) string {
	sum := sha256.Sum256([]byte(key))
	return platform.PrefixClaims + workspace + "/" + hex.EncodeToString(sum[:])
}
