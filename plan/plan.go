// Package plan turns declarations into a plan that an operator can read and
// confirm. Make and the functions it uses have no side effects. Confirm accepts
// a plan with a single write, a compare-and-swap on metastore.KeyDocument.
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

// Plan is a proposed next document together with the effects of carrying it out.
type Plan struct {
	ID             string      `json:"id"`
	BaseGeneration uint64      `json:"base_generation"`
	BasePlanID     string      `json:"base_plan"` // plan id of the base generation
	Operator       string      `json:"operator,omitempty"`
	Forced         []string    `json:"forced,omitempty"`
	Assumed        bool        `json:"assumed"`                 // made without a live view, as if the base were fully in force
	NewEndpoints   []string    `json:"new_endpoints,omitempty"` // not declared in the base; assumed to be up and empty
	Changes        []Change    `json:"changes"`
	Steps          []Step      `json:"steps"`
	Capacity       []Capacity  `json:"capacity"`
	Violations     []Violation `json:"breaks,omitempty"`
	Content        []byte      `json:"content"`                // the next document, without generation, ids and history
	BaseContent    []byte      `json:"base_content,omitempty"` // the base in the same form, to show what a concurrent operator changed
	next           *rudderv1.Document
}

// Violation is a guarantee to callers that the plan would break. Operators see it
// as a broken promise.
type Violation struct {
	Name   string `json:"name"` // the name by which an operator forces it
	Detail string `json:"detail"`
	Forced bool   `json:"forced"`
}

// Options are the inputs of Make besides the documents.
type Options struct {
	Operator string
	Force    []string       // names of the violations that the operator accepts
	View     placement.View // the state of the endpoints; nil when unknown
}

// Make compares the declarations in next with the accepted document base (nil if
// there is none) and returns the plan. If the plan has a violation that is not
// forced, the error has code result.PlanBreaks and the plan is returned with it.
// A forced name that is not a violation of the plan is refused with
// result.BadRequest.
func Make(base, next *rudderv1.Document, o Options) (*Plan, error) {
	if base == nil {
		base = new(rudderv1.Document)
	}
	next = normalise(base, next, o)
	p := &Plan{
		BaseGeneration: base.Generation,
		BasePlanID:     base.PlanId,
		Operator:       o.Operator,
		Forced:         next.Forced,
		Assumed:        o.View == nil,
		Changes:        Diff(base, next),
		next:           next,
	}
	view := o.View
	if view == nil {
		view = assumedView(base)
	}
	view, p.NewEndpoints = addNewEndpoints(view, base, next)
	sim := simulate(base, next, view)
	p.Steps = sim.steps
	p.Capacity = sim.capacity
	p.Violations = violations(base, next, sim, view)
	if len(next.Forced) > 0 {
		p.addViolationsWithoutForce(base, view)
	}
	if err := p.encodeContents(base); err != nil {
		return nil, err
	}
	return p, p.checkForced(o.Force)
}

// addViolationsWithoutForce adds the violations of the same change without force.
// A forced floor can make way for a change that then breaks nothing more; its
// name would otherwise be refused as not broken by the plan.
func (p *Plan) addViolationsWithoutForce(base *rudderv1.Document, view placement.View) {
	withoutForce := proto.CloneOf(p.next)
	withoutForce.Forced = nil
	for _, b := range violations(base, withoutForce, simulate(base, withoutForce, view), view) {
		if !slices.ContainsFunc(p.Violations, func(x Violation) bool { return x.Name == b.Name }) {
			p.Violations = append(p.Violations, b)
		}
	}
	slices.SortFunc(p.Violations, func(a, b Violation) int { return cmp.Compare(a.Name, b.Name) })
}

// checkForced marks the forced violations. It returns an error if a violation is
// not forced or if a forced name is not a violation of the plan.
func (p *Plan) checkForced(force []string) error {
	var unforced, unused []string
	for i := range p.Violations {
		b := &p.Violations[i]
		b.Forced = slices.Contains(force, b.Name)
		if !b.Forced {
			unforced = append(unforced, b.Name)
		}
	}
	for _, name := range force {
		if !slices.ContainsFunc(p.Violations, func(b Violation) bool { return b.Name == name }) {
			unused = append(unused, name)
		}
	}
	if len(unforced) > 0 {
		return result.New(result.PlanBreaks, "not forced: "+strings.Join(unforced, ", "))
	}
	if len(unused) > 0 {
		return result.New(result.BadRequest, fmt.Sprintf("forced, but not broken by this plan: %s", strings.Join(unused, ", ")))
	}
	return nil
}

// Empty reports whether the plan changes nothing.
func (p *Plan) Empty() bool { return len(p.Changes) == 0 }
