package document

import (
	"cmp"
	"errors"
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/micarudder/micarudder/rudderv1"
)

// HistoryLen is the number of plan ids that a document keeps of the
// generations before it.
const HistoryLen = 256

// ErrBase is returned by Apply when the delta does not lead on from the base;
// the caller needs the whole document instead.
var ErrBase = errors.New("document: the delta belongs to another base")

// History returns the history of the document that follows base.
func History(base *rudderv1.Document) []string {
	if base.GetGeneration() == 0 {
		return nil
	}
	h := append([]string{base.PlanId}, base.History...)
	return h[:min(len(h), HistoryLen)]
}

// Diff returns what turns base into next. Both are left unchanged.
func Diff(base, next *rudderv1.Document) *rudderv1.DocumentDelta {
	changed := sorted(next)
	d := &rudderv1.DocumentDelta{
		BaseGeneration: base.GetGeneration(),
		BasePlanId:     base.GetPlanId(),
		HistoryFollows: slices.Equal(next.History, History(base)),
		Checksum:       checksum(changed),
		Changed:        changed,
	}
	if d.HistoryFollows {
		changed.History = nil
	}
	changed.Models, d.GoneModels = diffList(base.GetModels(), changed.Models)
	changed.Workspaces, d.GoneWorkspaces = diffList(base.GetWorkspaces(), changed.Workspaces)
	changed.Endpoints, d.GoneEndpoints = diffList(base.GetEndpoints(), changed.Endpoints)
	changed.Hosts, d.GoneHosts = diffList(base.GetHosts(), changed.Hosts)
	changed.Services, d.GoneServices = diffList(base.GetServices(), changed.Services)
	return d
}

// Apply returns the document that the delta leads to from base, which is left
// unchanged. Its lists are ordered by name. It returns ErrBase when the delta
// was made from another base or the result is not what its maker had.
func Apply(base *rudderv1.Document, d *rudderv1.DocumentDelta) (*rudderv1.Document, error) {
	if base.GetGeneration() != d.GetBaseGeneration() || base.GetPlanId() != d.GetBasePlanId() || d.GetChanged() == nil {
		return nil, ErrBase
	}
	next := proto.CloneOf(d.Changed)
	if d.HistoryFollows {
		next.History = History(base)
	}
	old := proto.CloneOf(base)
	next.Models = applyList(old.GetModels(), next.Models, d.GoneModels)
	next.Workspaces = applyList(old.GetWorkspaces(), next.Workspaces, d.GoneWorkspaces)
	next.Endpoints = applyList(old.GetEndpoints(), next.Endpoints, d.GoneEndpoints)
	next.Hosts = applyList(old.GetHosts(), next.Hosts, d.GoneHosts)
	next.Services = applyList(old.GetServices(), next.Services, d.GoneServices)
	if checksum(next) != d.Checksum {
		return nil, ErrBase
	}
	return next, nil
}

func checksum(d *rudderv1.Document) uint64 {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(d)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(raw)
}

// entry is one named element of a document's lists.
type entry interface {
	proto.Message
	GetName() string
}

func sortList[T entry](list []T) {
	slices.SortStableFunc(list, func(a, b T) int { return cmp.Compare(a.GetName(), b.GetName()) })
}

func sorted(d *rudderv1.Document) *rudderv1.Document {
	c := proto.CloneOf(d)
	sortList(c.Models)
	sortList(c.Workspaces)
	sortList(c.Endpoints)
	sortList(c.Hosts)
	sortList(c.Services)
	return c
}

func byName[T entry](list []T) map[string]T {
	m := make(map[string]T, len(list))
	for _, e := range list {
		m[e.GetName()] = e
	}
	return m
}

// diffList returns the entries that differ from the base's and the names that
// are gone.
func diffList[T entry](base, next []T) (changed []T, gone []string) {
	old, now := byName(base), byName(next)
	for _, e := range next {
		if b, ok := old[e.GetName()]; !ok || !proto.Equal(b, e) {
			changed = append(changed, e)
		}
	}
	for _, e := range base {
		if _, ok := now[e.GetName()]; !ok {
			gone = append(gone, e.GetName())
		}
	}
	slices.Sort(gone)
	return changed, gone
}

func applyList[T entry](base, changed []T, gone []string) []T {
	drop := make(map[string]bool, len(gone)+len(changed))
	for _, name := range gone {
		drop[name] = true
	}
	for _, e := range changed {
		drop[e.GetName()] = true
	}
	out := changed
	for _, e := range base {
		if !drop[e.GetName()] {
			out = append(out, e)
		}
	}
	sortList(out)
	return out
}
