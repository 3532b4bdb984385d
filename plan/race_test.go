package plan

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"github.com/micarudder/micarudder/document"
	"github.com/micarudder/micarudder/metastore"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

// enumerate runs fn once for every sequence of choices and returns the number of
// runs. pick(n) returns the next choice, from 0 to n-1.
func enumerate(fn func(pick func(n int) int)) int {
	type choice struct{ taken, options int }
	var path []choice
	for runs := 1; ; runs++ {
		depth := 0
		fn(func(n int) int {
			if depth == len(path) {
				path = append(path, choice{0, n})
			}
			depth++
			return path[depth-1].taken
		})
		for len(path) > 0 && path[len(path)-1].taken == path[len(path)-1].options-1 {
			path = path[:len(path)-1]
		}
		if len(path) == 0 {
			return runs
		}
		path[len(path)-1].taken++
	}
}

// call is an operator's call to the store that is waiting to be served.
type call struct {
	write          bool
	value          []byte
	expectRevision int64 // of a write
	responses      chan response
}

// response is the result of a call.
type response struct {
	entry metastore.Entry
	err   error
}

// operator confirms its plan through calls that a faultyStore serves one at a time.
type operator struct {
	name       string
	plan       *Plan
	calls      chan call // closed when the operator is done
	verdicts   []string
	faultsLeft int // faults that may still be injected into its calls
	pending    *call
}

func (o *operator) Get(context.Context, string) (metastore.Entry, error) {
	return o.do(call{})
}

func (o *operator) CompareAndSwap(_ context.Context, _ string, expect int64, value []byte, _ metastore.LeaseID) (metastore.Entry, error) {
	return o.do(call{write: true, value: value, expectRevision: expect})
}

// do submits a call and waits for its response.
func (o *operator) do(c call) (metastore.Entry, error) {
	c.responses = make(chan response)
	o.calls <- c
	a := <-c.responses
	return a.entry, a.err
}

// operatorStore is the store that Confirm uses. Methods other than Get and
// CompareAndSwap panic: Confirm must not use them.
type operatorStore struct {
	metastore.Store
	*operator
}

func (s operatorStore) Get(ctx context.Context, key string) (metastore.Entry, error) {
	return s.operator.Get(ctx, key)
}

func (s operatorStore) CompareAndSwap(ctx context.Context, key string, expect int64, value []byte, l metastore.LeaseID) (metastore.Entry, error) {
	return s.operator.CompareAndSwap(ctx, key, expect, value, l)
}

// run confirms the plan, and retries up to attempts times while the result tells it to.
func (o *operator) run(attempts int) {
	for range attempts {
		_, err := Confirm(context.Background(), operatorStore{operator: o}, o.plan, time.Unix(0, 0))
		v := verdict(err)
		o.verdicts = append(o.verdicts, v)
		if v != "unknown" && v != "away" {
			break
		}
	}
	close(o.calls)
}

// verdict returns the result of Confirm as it stands in the golden file.
func verdict(err error) string {
	var coded *result.Err
	switch {
	case err == nil:
		return "accepted"
	case !errors.As(err, &coded):
		return err.Error()
	case coded.Code == result.PlanUnknown:
		return "unknown"
	case coded.Code == result.PlatformAway:
		return "away"
	case coded.Code == result.PlanStale:
		return "stale"
	default:
		return coded.Code.String()
	}
}

// faultyStore is a store with one key that injects faults.
type faultyStore struct {
	value        []byte
	revision     int64
	delayed      []call         // writes whose response was lost and that may still take effect
	timesApplied map[string]int // how often each plan took effect
}

// entry returns the stored entry.
func (w *faultyStore) entry() metastore.Entry {
	return metastore.Entry{Key: metastore.KeyDocument, Value: w.value, Revision: w.revision}
}

// swap performs a compare-and-swap.
func (w *faultyStore) swap(c call) response {
	if c.expectRevision != w.revision {
		return response{w.entry(), metastore.ErrConflict}
	}
	w.value, w.revision = c.value, w.revision+1
	d, err := document.Decode(c.value)
	if err != nil {
		panic(err)
	}
	w.timesApplied[d.PlanId]++
	return response{entry: w.entry()}
}

// serve answers the operator's pending call, with or without a fault as pick
// chooses.
func (w *faultyStore) serve(o *operator, pick func(int) int) {
	c := *o.pending
	if o.faultsLeft == 0 {
		c.responses <- w.serveWithoutFault(c)
		return
	}
	faults := 2
	if c.write {
		faults = 5
	}
	fault := pick(faults)
	if fault > 0 {
		o.faultsLeft--
	}
	switch {
	case fault == 0:
		c.responses <- w.serveWithoutFault(c)
	case !c.write:
		c.responses <- response{err: metastore.ErrUnavailable}
	case fault == 1: // unavailable before it was sent
		c.responses <- response{err: metastore.ErrUnavailable}
	case fault == 2: // takes effect, response lost
		w.swap(c)
		c.responses <- response{err: metastore.ErrUnknown}
	case fault == 3: // request lost
		c.responses <- response{err: metastore.ErrUnknown}
	case fault == 4: // response lost, takes effect later
		w.delayed = append(w.delayed, c)
		c.responses <- response{err: metastore.ErrUnknown}
	}
}

// serveWithoutFault returns the response to a call without a fault.
func (w *faultyStore) serveWithoutFault(c call) response {
	if c.write {
		return w.swap(c)
	}
	if w.revision == 0 {
		return response{err: metastore.ErrNotFound}
	}
	return response{entry: w.entry()}
}

// awaitCall waits until the operator has a pending call or is done.
func (o *operator) awaitCall() {
	c, ok := <-o.calls
	o.pending = &c
	if !ok {
		o.pending = nil
	}
}

// runOperators runs the operators until all are done, in the interleaving that pick
// chooses. Delayed writes that were not applied by then are applied at the end.
func (w *faultyStore) runOperators(ops []*operator, attempts int, pick func(int) int) {
	for _, o := range ops {
		o.calls = make(chan call)
		go o.run(attempts)
		o.awaitCall()
	}
	for {
		var ready []*operator
		for _, o := range ops {
			if o.pending != nil {
				ready = append(ready, o)
			}
		}
		if len(ready) == 0 {
			break
		}
		i := pick(len(ready) + len(w.delayed))
		if i >= len(ready) {
			w.applyDelayed(i - len(ready))
			continue
		}
		w.serve(ready[i], pick)
		ready[i].awaitCall()
	}
	for len(w.delayed) > 0 {
		w.applyDelayed(0)
	}
}

// applyDelayed performs the delayed write with index i.
func (w *faultyStore) applyDelayed(i int) {
	c := w.delayed[i]
	w.delayed = slices.Delete(w.delayed, i, i+1)
	w.swap(c)
}

// twoPlans returns an encoded document of generation 7 and two different plans over it.
func twoPlans(t *testing.T) ([]byte, *Plan, *Plan) {
	t.Helper()
	base := &rudderv1.Document{Generation: 7, PlanId: "p7", History: []string{"p6", "p5"}}
	value, err := document.Encode(base)
	if err != nil {
		t.Fatal(err)
	}
	plans := make([]*Plan, 2)
	for i, name := range []string{"x", "y"} {
		next := &rudderv1.Document{Services: []*rudderv1.Service{{Name: name}}}
		if plans[i], err = Make(base, next, Options{}); err != nil {
			t.Fatal(err)
		}
	}
	return value, plans[0], plans[1]
}

// TestRace enumerates every interleaving of the store calls of two operators that confirm up
// to three times each. Each operator gets at most one fault: a failed read, a write not sent, or
// a write without response that takes effect at once, never or at any later point. After each
// run both confirm again without faults, and once more after a later plan was accepted.
func TestRace(t *testing.T) {
	is := is.New(t)
	value, pa, pb := twoPlans(t)
	table := make(map[string]int)
	runs := enumerate(func(pick func(int) int) {
		w := &faultyStore{value: value, revision: 1, timesApplied: make(map[string]int)}
		a := &operator{name: "a", plan: pa, faultsLeft: 1}
		b := &operator{name: "b", plan: pb, faultsLeft: 1}
		w.runOperators([]*operator{a, b}, 3, pick)
		checkRace(t, w, a, b)
		table[fmt.Sprintf("%-28s | %-28s | %s", strings.Join(a.verdicts, ", "), strings.Join(b.verdicts, ", "), w.winner(a, b))]++
	})
	var lines strings.Builder
	fmt.Fprintf(&lines, "%-28s | %-28s | accepted | runs\n", "operator a is told", "operator b is told")
	for _, row := range slices.Sorted(maps.Keys(table)) {
		fmt.Fprintf(&lines, "%s | %d\n", row, table[row])
	}
	fmt.Fprintf(&lines, "runs: %d\n", runs)
	goldie.New(t).Assert(t, "race", []byte(lines.String()))
	is.True(runs > 1000)
}

// winner returns whose plan took effect, as it stands in the golden file.
func (w *faultyStore) winner(a, b *operator) string {
	switch {
	case w.timesApplied[a.plan.ID] > 0:
		return "a       "
	case w.timesApplied[b.plan.ID] > 0:
		return "b       "
	default:
		return "none    "
	}
}

// checkRace compares what the operators were told with what took effect.
func checkRace(t *testing.T, w *faultyStore, ops ...*operator) {
	t.Helper()
	total := 0
	for _, o := range ops {
		n := w.timesApplied[o.plan.ID]
		total += n
		last := o.verdicts[len(o.verdicts)-1]
		if n > 1 || last == "accepted" && n != 1 || last == "stale" && n != 0 {
			t.Fatalf("%s was told %v, its plan took effect %d times", o.name, o.verdicts, n)
		}
		// Without faults, another attempt returns the final result.
		r := &operator{name: o.name, plan: o.plan}
		w.runOperators([]*operator{r}, 1, func(int) int { return 0 })
		final := r.verdicts[0]
		if n == 1 && final != "accepted" || n == 0 && w.timesApplied[o.plan.ID] == 0 && final != "stale" {
			t.Fatalf("%s was told %v at last, its plan took effect %d times", o.name, final, n)
		}
	}
	checkLater(t, w, ops...)
	if total > 1 {
		t.Fatalf("%d plans took effect over one base", total)
	}
}

// checkLater accepts one more plan and confirms the earlier ones again.
func checkLater(t *testing.T, w *faultyStore, ops ...*operator) {
	t.Helper()
	d, err := document.Decode(w.value)
	if err != nil || d.Generation != 8 {
		t.Fatalf("generation %d, %v", d.GetGeneration(), err)
	}
	later := &Plan{ID: "later", BaseGeneration: 8, BasePlanID: d.PlanId, next: new(rudderv1.Document)}
	w.runOperators([]*operator{{plan: later}}, 1, func(int) int { return 0 })
	revision := w.revision
	for _, o := range ops {
		r := &operator{plan: o.plan}
		w.runOperators([]*operator{r}, 1, func(int) int { return 0 })
		want := "stale"
		if w.timesApplied[o.plan.ID] == 1 {
			want = "accepted" // and superseded since
		}
		if r.verdicts[0] != want || w.revision != revision {
			t.Fatalf("%s was told %v after a later plan, want %s", o.name, r.verdicts, want)
		}
	}
}
