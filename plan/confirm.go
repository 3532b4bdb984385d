package plan

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/micarudder/micarudder/document"
	"github.com/micarudder/micarudder/metastore"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

// Receipt is the result of an accepted plan. Code is result.OK while the plan's
// document is the accepted one, and result.PlanSuperseded once a later plan has
// replaced it.
type Receipt struct {
	Code       result.Code `json:"code"`
	PlanID     string      `json:"plan_id"`
	Generation uint64      `json:"generation"` // the generation that the plan created
	Current    uint64      `json:"current"`    // the generation accepted now
}

// StaleError is returned when the accepted document is neither the plan's base nor
// derived from the plan, or when its history no longer covers the plan.
type StaleError struct {
	*result.Err
	Current   uint64   // the generation accepted now
	Theirs    []Change // changes from the plan's base to the accepted document
	Conflicts []string // sections that both sides changed to different contents
}

// Unwrap returns the error with its result code.
func (e *StaleError) Unwrap() error { return e.Err }

// Confirm accepts the plan with at most one compare-and-swap. It is idempotent: it
// may be retried with the same plan at any time, and a plan takes effect at most
// once. A plan that took effect is recognised by its id, also after later plans,
// as long as the accepted document's history records it.
//
// Errors: *StaleError (not accepted and never will be, or too old for the history
// to tell), and *result.Err with code PlanUnknown (retry with the same plan),
// PlatformAway (this call changed nothing), GenerationBack (the store holds an
// older document than the plan's base) or DocumentTooBig.
func Confirm(ctx context.Context, store metastore.Store, p *Plan, now time.Time) (*Receipt, error) {
	cur, revision, err := Accepted(ctx, store)
	if err != nil {
		return nil, p.unknownError("the platform cannot be read: " + err.Error())
	}
	if !p.basedOn(cur) {
		return p.resolve(cur)
	}
	value, err := document.Encode(p.acceptedDocument(cur, now))
	if err != nil {
		return nil, err
	}
	entry, err := store.CompareAndSwap(ctx, metastore.KeyDocument, revision, value, 0)
	switch {
	case err == nil:
		return p.receipt(result.OK, p.BaseGeneration+1), nil
	case errors.Is(err, metastore.ErrConflict):
		return p.afterConflict(entry)
	case errors.Is(err, metastore.ErrTooLarge):
		return nil, result.New(result.DocumentTooBig, fmt.Sprintf("%d bytes", len(value)))
	case errors.Is(err, metastore.ErrUnavailable):
		return nil, result.New(result.PlatformAway, "this call changed nothing; ask again with plan "+p.ID)
	default:
		return p.readBack(ctx, store)
	}
}

// Accepted reads the accepted document and its revision. If there is none yet, it
// returns an empty document and revision 0.
func Accepted(ctx context.Context, store metastore.Store) (*rudderv1.Document, int64, error) {
	e, err := store.Get(ctx, metastore.KeyDocument)
	if errors.Is(err, metastore.ErrNotFound) {
		return new(rudderv1.Document), 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	d, err := document.Decode(e.Value)
	return d, e.Revision, err
}

// basedOn reports whether cur is the plan's base.
func (p *Plan) basedOn(cur *rudderv1.Document) bool {
	return cur.Generation == p.BaseGeneration && cur.PlanId == p.BasePlanID
}

// acceptedDocument returns the document that Confirm stores to accept the plan.
func (p *Plan) acceptedDocument(cur *rudderv1.Document, now time.Time) *rudderv1.Document {
	d := proto.CloneOf(p.next)
	d.Generation = p.BaseGeneration + 1
	d.PlanId = p.ID
	d.Operator = p.Operator
	d.AcceptedUnixMs = now.UnixMilli()
	d.History = document.History(cur)
	return d
}

// afterConflict returns the result after a compare-and-swap that failed because
// the stored entry is now e.
func (p *Plan) afterConflict(e metastore.Entry) (*Receipt, error) {
	cur := new(rudderv1.Document)
	if e.Revision != 0 {
		var err error
		if cur, err = document.Decode(e.Value); err != nil {
			return nil, p.unknownError(err.Error())
		}
	}
	if p.basedOn(cur) {
		return nil, p.unknownError("the platform holds the base document at a new revision")
	}
	return p.resolve(cur)
}

// readBack reads the accepted document after a write whose response was lost.
// Reading the base does not prove that the write failed: it may still take effect
// later.
func (p *Plan) readBack(ctx context.Context, store metastore.Store) (*Receipt, error) {
	cur, _, err := Accepted(ctx, store)
	if err != nil {
		return nil, p.unknownError("the response to the write was lost and the platform cannot be read: " + err.Error())
	}
	if p.basedOn(cur) {
		return nil, p.unknownError("the response to the write was lost and the write is not seen yet")
	}
	return p.resolve(cur)
}

// resolve returns the result of a plan whose base is no longer the accepted document.
func (p *Plan) resolve(cur *rudderv1.Document) (*Receipt, error) {
	generation := p.BaseGeneration + 1
	switch {
	case cur.Generation < p.BaseGeneration:
		return nil, result.New(result.GenerationBack, fmt.Sprintf(
			"the platform holds generation %d, the plan was made over %d", cur.Generation, p.BaseGeneration))
	case cur.Generation == generation && cur.PlanId == p.ID:
		return p.receipt(result.OK, cur.Generation), nil
	case cur.Generation > generation:
		i := cur.Generation - generation - 1
		if i >= uint64(len(cur.History)) {
			return nil, p.historyExceededError(cur)
		}
		if cur.History[i] == p.ID {
			return p.receipt(result.PlanSuperseded, cur.Generation), nil
		}
	}
	return nil, p.staleError(cur)
}

// receipt returns the receipt of the plan, which was accepted.
func (p *Plan) receipt(code result.Code, current uint64) *Receipt {
	return &Receipt{Code: code, PlanID: p.ID, Generation: p.BaseGeneration + 1, Current: current}
}

// unknownError returns the error for a plan of which it is unknown whether it was accepted.
func (p *Plan) unknownError(reason string) error {
	return result.New(result.PlanUnknown, reason+"; ask again with plan "+p.ID)
}

// historyExceededError returns the error for a plan that the accepted document's
// history no longer covers. This call changed nothing, and whether an earlier one
// accepted the plan is no longer recorded.
func (p *Plan) historyExceededError(cur *rudderv1.Document) error {
	e := result.New(result.PlanStale, fmt.Sprintf(
		"generation %d is accepted now; how plan %s ended is no longer recorded", cur.Generation, p.ID))
	e.Outcome = result.MayHaveRun
	return &StaleError{Err: e, Current: cur.Generation}
}

// staleError returns the StaleError for the accepted document cur.
func (p *Plan) staleError(cur *rudderv1.Document) error {
	e := &StaleError{
		Err: result.New(result.PlanStale, fmt.Sprintf(
			"the plan was made over generation %d, and generation %d of another plan is accepted", p.BaseGeneration, cur.Generation)),
		Current: cur.Generation,
	}
	base := new(rudderv1.Document)
	if len(p.BaseContent) > 0 {
		var err error
		if base, err = document.Decode(p.BaseContent); err != nil {
			return e
		}
	}
	e.Theirs = Diff(base, cur)
	e.Conflicts = conflicts(p.Changes, e.Theirs, Diff(p.next, cur))
	return e
}

// conflicts returns the sections that both sides changed and that still differ
// between their results.
func conflicts(mine, theirs, remaining []Change) []string {
	containsSection := func(list []Change, section string) bool {
		return slices.ContainsFunc(list, func(c Change) bool { return c.Section == section })
	}
	var out []string
	for _, c := range remaining {
		if containsSection(mine, c.Section) && containsSection(theirs, c.Section) {
			out = append(out, c.Section)
		}
	}
	return out
}
