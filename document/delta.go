package document

import (
	"cmp"
	"errors"
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/micarudder/micarudder/rudderv1"
)

// HistoryLen is the largest number of preceding generations whose plan ids a
// document records.
const HistoryLen = 256

// ErrBaseMismatch is returned by Apply when the delta was not made from the given base;
// the caller has to fetch the full document instead.
var ErrBaseMismatch = errors.New("document: delta was made from a different base document")

// History returns the history of the document that follows base: the plan id of
// base and those of its own history, newest first, at most HistoryLen.
func History(base *rudderv1.Document) []string {
	if base.GetGeneration() == 0 {
		return nil
	}
	h := append([]string{base.PlanId}, base.History...)
	return h[:min(len(h), HistoryLen)]
}

// Diff returns the delta from base to next. It does not modify either.
func Diff(base, next *rudderv1.Document) *rudderv1.DocumentDelta {
	changed := sortedCopy(next)
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

// Apply returns the document that results from applying the delta to base, which
// it does not modify. The lists of the result are ordered by name. It returns
// ErrBaseMismatch when the delta was made from another base or the checksum of the result
// differs from the one in the delta.
func Apply(base *rudderv1.Document, d *rudderv1.DocumentDelta) (*rudderv1.Document, error) {
	if base.GetGeneration() != d.GetBaseGeneration() || base.GetPlanId() != d.GetBasePlanId() || d.GetChanged() == nil {
		return nil, ErrBaseMismatch
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
		return nil, ErrBaseMismatch
	}
	return next, nil
}

// checksum returns a hash of the deterministic encoding of d, or 0 when d cannot be encoded.
func checksum(d *rudderv1.Document) uint64 {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(d)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(raw)
}

// entry is a named element of one of a document's lists.
type entry interface {
	proto.Message
	GetName() string
}

// sortList sorts a list by name.
func sortList[T entry](list []T) {
	slices.SortStableFunc(list, func(a, b T) int { return cmp.Compare(a.GetName(), b.GetName()) })
}

// sortedCopy returns a copy of d with all lists sorted by name.
func sortedCopy(d *rudderv1.Document) *rudderv1.Document {
	c := proto.CloneOf(d)
	sortList(c.Models)
	sortList(c.Workspaces)
	sortList(c.Endpoints)
	sortList(c.Hosts)
	sortList(c.Services)
	return c
}

// byName returns the entries of a list by name.
func byName[T entry](list []T) map[string]T {
	m := make(map[string]T, len(list))
	for _, e := range list {
		m[e.GetName()] = e
	}
	return m
}

// diffList returns the entries of next that are new or differ from base, and the
// sorted names of the entries that next no longer has.
func diffList[T entry](base, next []T) (changed []T, removed []string) {
	old, now := byName(base), byName(next)
	for _, e := range next {
		if b, ok := old[e.GetName()]; !ok || !proto.Equal(b, e) {
			changed = append(changed, e)
		}
	}
	for _, e := range base {
		if _, ok := now[e.GetName()]; !ok {
			removed = append(removed, e.GetName())
		}
	}
	slices.Sort(removed)
	return changed, removed
}

// applyList returns base without the removed entries and with the changed ones, sorted by name.
func applyList[T entry](base, changed []T, removed []string) []T {
	replaced := make(map[string]bool, len(removed)+len(changed))
	for _, name := range removed {
		replaced[name] = true
	}
	for _, e := range changed {
		replaced[e.GetName()] = true
	}
	out := changed
	for _, e := range base {
		if !replaced[e.GetName()] {
			out = append(out, e)
		}
	}
	sortList(out)
	return out
}
