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

// Receipt says how a plan ended. Code is result.OK when its document is the
// accepted one and result.PlanSuperseded when later ones have replaced it.
type Receipt struct {
	Code       result.Code `json:"code"`
	PlanID     string      `json:"plan_id"`
	Generation uint64      `json:"generation"` // under which the plan was accepted
	Current    uint64      `json:"current"`    // generation accepted at present
}

// StaleError is returned when another document took the plan's place.
type StaleError struct {
	*result.Err
	Current uint64   // generation accepted at present
	Theirs  []Change // from the plan's base to the accepted document
	Clashes []string // sections that both sides change, differently
}

// Unwrap returns the coded error.
func (e *StaleError) Unwrap() error { return e.Err }

// Confirm accepts the plan with at most one compare-and-swap. It may be asked
// again with the same plan at any time: a plan takes effect at most once, and
// a plan that took effect is recognised by its id, also after later ones.
//
// Errors: *StaleError (not accepted and never will be), and *result.Err with
// code PlanUnknown (ask again with the same plan), PlatformAway (this call
// changed nothing), GenerationBack (the store holds an older document than the
// plan's base) or DocumentTooBig.
func Confirm(ctx context.Context, store metastore.Store, p *Plan, now time.Time) (*Receipt, error) {
	cur, revision, err := Accepted(ctx, store)
	if err != nil {
		return nil, p.unknown("the platform cannot be read: " + err.Error())
	}
	if !p.follows(cur) {
		return p.settled(cur)
	}
	value, err := document.Encode(p.accept(cur, now))
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

// Accepted reads the accepted document and its revision; both are zero when
// there is none yet.
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

// follows tells whether the accepted document is the plan's base.
func (p *Plan) follows(cur *rudderv1.Document) bool {
	return cur.Generation == p.BaseGeneration && cur.PlanId == p.BasePlan
}

// accept returns the document that the plan proposes to store.
func (p *Plan) accept(cur *rudderv1.Document, now time.Time) *rudderv1.Document {
	d := proto.CloneOf(p.next)
	d.Generation = p.BaseGeneration + 1
	d.PlanId = p.ID
	d.Operator = p.Operator
	d.AcceptedUnixMs = now.UnixMilli()
	d.History = document.History(cur)
	return d
}

func (p *Plan) afterConflict(e metastore.Entry) (*Receipt, error) {
	cur := new(rudderv1.Document)
	if e.Revision != 0 {
		var err error
		if cur, err = document.Decode(e.Value); err != nil {
			return nil, p.unknown(err.Error())
		}
	}
	if p.follows(cur) {
		return nil, p.unknown("the platform wrote the base document anew")
	}
	return p.settled(cur)
}

// readBack looks for the plan after a write whose answer was lost. Finding
// the base proves nothing: the write may still be on its way.
func (p *Plan) readBack(ctx context.Context, store metastore.Store) (*Receipt, error) {
	cur, _, err := Accepted(ctx, store)
	if err != nil {
		return nil, p.unknown("the answer to the write was lost and the platform cannot be read: " + err.Error())
	}
	if p.follows(cur) {
		return nil, p.unknown("the answer to the write was lost and the write is not seen yet")
	}
	return p.settled(cur)
}

// settled judges a plan whose base is no longer the accepted document.
func (p *Plan) settled(cur *rudderv1.Document) (*Receipt, error) {
	mine := p.BaseGeneration + 1
	switch {
	case cur.Generation < p.BaseGeneration:
		return nil, result.New(result.GenerationBack, fmt.Sprintf(
			"the platform holds generation %d, the plan was made over %d", cur.Generation, p.BaseGeneration))
	case cur.Generation == mine && cur.PlanId == p.ID:
		return p.receipt(result.OK, cur.Generation), nil
	case cur.Generation > mine:
		i := cur.Generation - mine - 1
		if i >= uint64(len(cur.History)) {
			return nil, p.forgotten(cur)
		}
		if cur.History[i] == p.ID {
			return p.receipt(result.PlanSuperseded, cur.Generation), nil
		}
	}
	return nil, p.stale(cur)
}

func (p *Plan) receipt(code result.Code, current uint64) *Receipt {
	return &Receipt{Code: code, PlanID: p.ID, Generation: p.BaseGeneration + 1, Current: current}
}

func (p *Plan) unknown(why string) error {
	return result.New(result.PlanUnknown, why+"; ask again with plan "+p.ID)
}

// forgotten answers for a plan older than the document's history: this call
// changed nothing, and how an earlier one ended is no longer recorded.
func (p *Plan) forgotten(cur *rudderv1.Document) error {
	e := result.New(result.PlanStale, fmt.Sprintf(
		"generation %d is accepted now; how plan %s ended is no longer recorded", cur.Generation, p.ID))
	e.Outcome = result.MayHaveRun
	return &StaleError{Err: e, Current: cur.Generation}
}

func (p *Plan) stale(cur *rudderv1.Document) error {
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
	e.Clashes = clashes(p.Changes, e.Theirs, Diff(p.next, cur))
	return e
}

// clashes lists the sections that both sides changed and that still differ.
func clashes(mine, theirs, between []Change) []string {
	has := func(list []Change, section string) bool {
		return slices.ContainsFunc(list, func(c Change) bool { return c.Section == section })
	}
	var out []string
	for _, c := range between {
		if has(mine, c.Section) && has(theirs, c.Section) {
			out = append(out, c.Section)
		}
	}
	return out
}
