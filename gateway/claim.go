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
	// maxKeyBytes is the maximum length of an idempotency key in bytes.
	maxKeyBytes = 256
	// claimTimeout limits the platform calls of one claim.
	claimTimeout = 2 * time.Second
	// minClaimRetention is the minimum time that a key is remembered. It must
	// not be shorter than the lifetime of a ticket: the ticket of an order that
	// arrives after its claim was removed must have expired.
	minClaimRetention = 24 * time.Hour
	// claimsUnavailableRetryAfter is the retry delay reported to the caller if
	// claims cannot be written.
	claimsUnavailableRetryAfter = 5 * time.Second
)

// claimRecord is the value of a claim in the platform's service.
type claimRecord struct {
	Ticket string `json:"ticket"`
	Digest string `json:"digest"` // of the request that claimed the key
}

// claim binds an unrepeatable request that has only an idempotency key to one
// ticket, by one compare-and-swap in the platform's service: the first
// presentation of the key writes its ticket, and every later one attaches to
// that run. Requests with a ticket and repeatable requests need no claim.
func (g *Gateway) claim(x *exchange, cr *callerRequest) *result.Err {
	key := x.r.Header.Get(headerKey)
	if key == "" || cr.ticket != "" || cr.repeatable {
		return nil
	}
	if len(key) > maxKeyBytes {
		return result.New(result.BadHeader, headerKey+" is longer than 256 bytes")
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), cr.deadline)
	defer cancel()
	own := claimRecord{Digest: requestDigest(cr)}
	found, err := g.makeClaim(ctx, cr, claimKey(cr.workspace.Name, key), own)
	if err != nil {
		return err
	}
	if found.Digest != own.Digest {
		return result.New(result.KeyReused, "")
	}
	claims, err := g.readTicket(found.Ticket, x.workspace)
	if err != nil {
		return err
	}
	cr.ticket, cr.claims, cr.id = found.Ticket, claims, claims.RequestId
	return nil
}

// makeClaim claims the key for a new ticket. If no endpoint is available, it
// returns the claim of an earlier presentation if there is one, since that
// presentation may have ordered a run.
func (g *Gateway) makeClaim(ctx context.Context, cr *callerRequest, key string, own claimRecord) (claimRecord, *result.Err) {
	s := &session{g: g, cr: cr}
	if _, end := s.selectEndpoint(ctx); end != nil {
		if found, ok := g.findClaim(ctx, key); ok {
			return found, nil
		}
		return claimRecord{}, &result.Err{
			Code: result.Code(end.Code), Outcome: result.Outcome(end.Outcome), Detail: end.Detail, RetryAfter: end.RetryAfterMs,
		}
	}
	own.Ticket = s.ticket
	return g.writeClaim(ctx, key, own)
}

// findClaim looks up the claim of a key without creating one.
func (g *Gateway) findClaim(ctx context.Context, key string) (found claimRecord, ok bool) {
	if g.deps.Store == nil {
		return found, false
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	e, err := g.deps.Store.Get(ctx, key)
	return found, err == nil && json.Unmarshal(e.Value, &found) == nil
}

// requestDigest returns a hash of method, path and body, by which a key that is
// reused for another request is detected.
func requestDigest(cr *callerRequest) string {
	h := sha256.New()
	_, _ = io.WriteString(h, cr.call.GetMethod()+" "+cr.call.GetPath()+cr.completion.GetPath()+"\n")
	_, _ = h.Write(cr.body)
	return hex.EncodeToString(h.Sum(nil))
}

// writeClaim returns the claim that holds the key: own, or an earlier one. If
// the outcome of the write is unknown, nothing is ordered: whether or not the
// write took effect, no run exists under the own ticket, and the next
// presentation of the key uses the claim that is then stored.
func (g *Gateway) writeClaim(ctx context.Context, key string, own claimRecord) (claimRecord, *result.Err) {
	if g.deps.Store == nil {
		return claimRecord{}, claimsUnavailable()
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	value, err := json.Marshal(own)
	if err != nil {
		return claimRecord{}, claimsUnavailable()
	}
	e, err := g.createClaim(ctx, key, value)
	if errors.Is(err, metastore.ErrLeaseExpired) {
		g.leases.invalidate()
		e, err = g.createClaim(ctx, key, value)
	}
	var found claimRecord
	if (err != nil && e.Revision == 0) || json.Unmarshal(e.Value, &found) != nil {
		return claimRecord{}, claimsUnavailable()
	}
	return found, nil
}

// createClaim writes the claim unless the key has one. If the returned entry is
// set, it is the one that holds the key, whatever the error.
func (g *Gateway) createClaim(ctx context.Context, key string, value []byte) (metastore.Entry, error) {
	lease, err := g.leases.get(ctx, g.deps.Store)
	if err != nil {
		return metastore.Entry{}, err
	}
	same := func(e metastore.Entry) bool { return string(e.Value) == string(value) }
	return metastore.SwapAndResolve(ctx, g.deps.Store, key, 0, value, lease, same)
}

// claimLeases provides the lease that removes expired claims. Each gateway uses
// one lease per hour and never renews it, so that claims need no other platform
// calls.
type claimLeases struct {
	sem   chan struct{} // holds a token while the fields below are in use
	id    metastore.LeaseID
	since time.Time
}

func newClaimLeases() *claimLeases { return &claimLeases{sem: make(chan struct{}, 1)} }

// claimLeaseRotation is how long a lease is used for new claims.
const claimLeaseRotation = time.Hour

// get returns the current lease and has a new one granted once an hour.
func (l *claimLeases) get(ctx context.Context, store metastore.Store) (metastore.LeaseID, error) {
	select {
	case l.sem <- struct{}{}:
		defer func() { <-l.sem }()
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	now := time.Now()
	if l.id != 0 && now.Sub(l.since) < claimLeaseRotation {
		return l.id, nil
	}
	id, err := store.Grant(ctx, minClaimRetention+claimLeaseRotation)
	if err != nil {
		return 0, err
	}
	l.id, l.since = id, now
	return id, nil
}

// invalidate discards the current lease, which the platform no longer knows.
func (l *claimLeases) invalidate() {
	l.sem <- struct{}{}
	l.id = 0
	<-l.sem
}

func claimsUnavailable() *result.Err {
	err := result.New(result.ClaimsAway, "")
	err.RetryAfter = claimsUnavailableRetryAfter.Milliseconds()
	return err
}

func claimKey(workspace, key string) string {
	sum := sha256.Sum256([]byte(key))
	return metastore.PrefixClaims + workspace + "/" + hex.EncodeToString(sum[:])
}
