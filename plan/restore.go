package plan

import (
	"context"
	"errors"
	"fmt"

	"github.com/micarudder/micarudder/document"
	"github.com/micarudder/micarudder/metastore"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

// Restore writes doc, the highest document that the gateways hold, back unchanged
// into a store that fell behind it, with at most one compare-and-swap. It may be
// retried at any time. If the store holds a plan that is not an ancestor of doc,
// Restore does not overwrite it unless discard is that plan's id.
//
// Errors are *result.Err with code PlatformAway (this call changed nothing),
// PlanUnknown (retry the call), PlanStale (the store is not behind doc, changed
// concurrently or holds another history) or DocumentTooBig.
func Restore(ctx context.Context, store metastore.Store, doc *rudderv1.Document, discard string) (*Receipt, error) {
	cur, revision, err := Accepted(ctx, store)
	if err != nil {
		return nil, result.New(result.PlatformAway, err.Error())
	}
	receipt := &Receipt{Code: result.OK, PlanID: doc.PlanId, Generation: doc.Generation, Current: doc.Generation}
	if cur.Generation == doc.Generation && cur.PlanId == doc.PlanId {
		return receipt, nil
	}
	if cur.Generation >= doc.Generation {
		return nil, result.New(result.PlanStale, fmt.Sprintf(
			"the platform holds generation %d, the gateways %d: there is nothing to restore", cur.Generation, doc.Generation))
	}
	if !descendsFrom(doc, cur) && cur.PlanId != discard {
		return nil, result.New(result.PlanStale, fmt.Sprintf(
			"generation %d of plan %s in the platform is not an ancestor of the gateways' document; name the plan to discard it", cur.Generation, cur.PlanId))
	}
	value, err := document.Encode(doc)
	if err != nil {
		return nil, err
	}
	_, err = store.CompareAndSwap(ctx, metastore.KeyDocument, revision, value, 0)
	switch {
	case err == nil:
		return receipt, nil
	case errors.Is(err, metastore.ErrUnavailable):
		return nil, result.New(result.PlatformAway, "this call changed nothing")
	case errors.Is(err, metastore.ErrConflict):
		return nil, result.New(result.PlanStale, "the platform's document changed concurrently; ask again")
	case errors.Is(err, metastore.ErrTooLarge):
		return nil, result.New(result.DocumentTooBig, fmt.Sprintf("%d bytes", len(value)))
	}
	cur, _, err = Accepted(ctx, store)
	if err == nil && cur.Generation == doc.Generation && cur.PlanId == doc.PlanId {
		return receipt, nil
	}
	return nil, result.New(result.PlanUnknown, "the response to the write was lost; ask again")
}

// descendsFrom reports whether old is an ancestor of doc, as far as doc's history
// reaches. An empty store is an ancestor of every document.
func descendsFrom(doc, old *rudderv1.Document) bool {
	if old.Generation == 0 {
		return true
	}
	i := doc.Generation - 1 - old.Generation
	return i < uint64(len(doc.History)) && doc.History[i] == old.PlanId
}
