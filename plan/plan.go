// Package plan turns declarations into a plan that an operator can read and
// confirm. Make and its parts are pure; Confirm is the one write that accepts
// a plan, a compare-and-swap on platform.KeyDocument.
package plan

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/micarudder/micarudder/placement"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

// Plan is a proposed next document with what carrying it out would do.
type Plan struct {
	ID             string     `json:"id"`
	BaseGeneration uint64     `json:"base_generation"`
	BasePlan       string     `json:"base_plan"` // plan id of the base generation
	Operator       string     `json:"operator,omitempty"`
	Forced         []string   `json:"forced,omitempty"`
	Assumed        bool       `json:"assumed"`                 // no live view: the base was taken as fully in force
	New            []string   `json:"new_endpoints,omitempty"` // not declared in the base; taken as there and empty
	Changes        []Change   `json:"changes"`
	Steps          []Step     `json:"steps"`
	Capacity       []Capacity `json:"capacity"`
	Breaks         []Break    `json:"breaks,omitempty"`
	Content        []byte     `json:"content"`                // the next document, without generation, ids and history
	BaseContent    []byte     `json:"base_content,omitempty"` // the same of the base, to show what a racing operator changed
	next           *rudderv1.Document
}

// Break is a promise that the plan would break.
type Break struct {
	Name   string `json:"name"` // to be given to force it
	Detail string `json:"detail"`
	Forced bool   `json:"forced"`
}

// Options are the operator's choices for one plan.
type Options struct {
	Operator string
	Force    []string       // names of breaks that the operator accepts
	View     placement.View // what the endpoints hold; nil when unknown
}

// Make compares the declarations in next with the accepted document base (nil
// when there is none) and returns the plan. When the plan breaks a promise
// that is not forced, the error has code result.PlanBreaks and the plan is
// returned with it; a forced name that the plan does not break is refused with
// result.BadRequest.
func Make(base, next *rudderv1.Document, o Options) (*Plan, error) {
	if base == nil {
		base = new(rudderv1.Document)
	}
	next = normalise(base, next, o)
	p := &Plan{
		BaseGeneration: base.Generation,
		BasePlan:       base.PlanId,
		Operator:       o.Operator,
		Forced:         next.Forced,
		Assumed:        o.View == nil,
		Changes:        Diff(base, next),
		next:           next,
	}
	view := o.View
	if view == nil {
		view = assume(base)
	}
	view, p.New = withNew(view, base, next)
	run := simulate(base, next, view)
	p.Steps = run.steps
	p.Capacity = run.capacity
	p.Breaks = breaks(base, next, run, view)
	if len(next.Forced) > 0 {
		p.addUnforced(base, view)
	}
	if err := p.seal(base); err != nil {
		return nil, err
	}
	return p, p.judge(o.Force)
}

// addUnforced adds the breaks of the same change without force: a forced floor
// can make way for a change that then breaks nothing more.
func (p *Plan) addUnforced(base *rudderv1.Document, view placement.View) {
	plain := proto.CloneOf(p.next)
	plain.Forced = nil
	for _, b := range breaks(base, plain, simulate(base, plain, view), view) {
		if !slices.ContainsFunc(p.Breaks, func(x Break) bool { return x.Name == b.Name }) {
			p.Breaks = append(p.Breaks, b)
		}
	}
	slices.SortFunc(p.Breaks, func(a, b Break) int { return cmp.Compare(a.Name, b.Name) })
}

// judge refuses breaks that are not forced and forced names that break nothing.
func (p *Plan) judge(force []string) error {
	var open, idle []string
	for i := range p.Breaks {
		b := &p.Breaks[i]
		b.Forced = slices.Contains(force, b.Name)
		if !b.Forced {
			open = append(open, b.Name)
		}
	}
	for _, name := range force {
		if !slices.ContainsFunc(p.Breaks, func(b Break) bool { return b.Name == name }) {
			idle = append(idle, name)
		}
	}
	if len(open) > 0 {
		return result.New(result.PlanBreaks, "not forced: "+strings.Join(open, ", "))
	}
	if len(idle) > 0 {
		return result.New(result.BadRequest, fmt.Sprintf("forced, but not broken by this plan: %s", strings.Join(idle, ", ")))
	}
	return nil
}

// Empty tells whether the plan changes nothing.
func (p *Plan) Empty() bool { return len(p.Changes) == 0 }
