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

// explore runs fn once for every sequence of choices and returns the count.
// pick(n) returns the next choice, from 0 to n-1.
func explore(fn func(pick func(n int) int)) int {
	type step struct{ at, of int }
	var path []step
	for runs := 1; ; runs++ {
		depth := 0
		fn(func(n int) int {
			if depth == len(path) {
				path = append(path, step{0, n})
			}
			depth++
			return path[depth-1].at
		})
		for len(path) > 0 && path[len(path)-1].at == path[len(path)-1].of-1 {
			path = path[:len(path)-1]
		}
		if len(path) == 0 {
			return runs
		}
		path[len(path)-1].at++
	}
}

// call is one call of an operator to the store, waiting to be served.
type call struct {
	write bool
	value []byte
	from  int64 // expected revision
	reply chan answer
}

type answer struct {
	entry metastore.Entry
	err   error
}

// operator confirms its plan through calls that the world serves one by one.
type operator struct {
	name     string
	plan     *Plan
	calls    chan call // closed when the operator is done
	verdicts []string
	losses   int // answers that may still be lost
	pending  *call
}

func (o *operator) Get(context.Context, string) (metastore.Entry, error) {
	return o.ask(call{})
}

func (o *operator) CompareAndSwap(_ context.Context, _ string, expect int64, value []byte, _ metastore.LeaseID) (metastore.Entry, error) {
	return o.ask(call{write: true, value: value, from: expect})
}

func (o *operator) ask(c call) (metastore.Entry, error) {
	c.reply = make(chan answer)
	o.calls <- c
	a := <-c.reply
	return a.entry, a.err
}

// store gives an operator the rest of the interface, which Confirm must not use.
type store struct {
	metastore.Store
	*operator
}

func (s store) Get(ctx context.Context, key string) (metastore.Entry, error) {
	return s.operator.Get(ctx, key)
}

func (s store) CompareAndSwap(ctx context.Context, key string, expect int64, value []byte, l metastore.LeaseID) (metastore.Entry, error) {
	return s.operator.CompareAndSwap(ctx, key, expect, value, l)
}

// run confirms, and asks again as long as the answer tells it to.
func (o *operator) run(asks int) {
	for range asks {
		_, err := Confirm(context.Background(), store{operator: o}, o.plan, time.Unix(0, 0))
		v := verdict(err)
		o.verdicts = append(o.verdicts, v)
		if v != "unknown" && v != "away" {
			break
		}
	}
	close(o.calls)
}

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

// world is the store with its faults.
type world struct {
	value    []byte
	revision int64
	late     []call         // lost writes that may still take effect
	effects  map[string]int // times that a plan took effect
}

func (w *world) entry() metastore.Entry {
	return metastore.Entry{Key: metastore.KeyDocument, Value: w.value, Revision: w.revision}
}

func (w *world) swap(c call) answer {
	if c.from != w.revision {
		return answer{w.entry(), metastore.ErrConflict}
	}
	w.value, w.revision = c.value, w.revision+1
	d, err := document.Decode(c.value)
	if err != nil {
		panic(err)
	}
	w.effects[d.PlanId]++
	return answer{entry: w.entry()}
}

// serve answers one call, with or without a fault.
func (w *world) serve(o *operator, pick func(int) int) {
	c := *o.pending
	if o.losses == 0 {
		c.reply <- w.plain(c)
		return
	}
	faults := 2
	if c.write {
		faults = 5
	}
	fault := pick(faults)
	if fault > 0 {
		o.losses--
	}
	switch {
	case fault == 0:
		c.reply <- w.plain(c)
	case !c.write:
		c.reply <- answer{err: metastore.ErrUnavailable}
	case fault == 1: // refused before it was sent
		c.reply <- answer{err: metastore.ErrUnavailable}
	case fault == 2: // takes effect, answer lost
		w.swap(c)
		c.reply <- answer{err: metastore.ErrUnknown}
	case fault == 3: // lost on the way
		c.reply <- answer{err: metastore.ErrUnknown}
	case fault == 4: // answer lost, takes effect later
		w.late = append(w.late, c)
		c.reply <- answer{err: metastore.ErrUnknown}
	}
}

func (w *world) plain(c call) answer {
	if c.write {
		return w.swap(c)
	}
	if w.revision == 0 {
		return answer{err: metastore.ErrNotFound}
	}
	return answer{entry: w.entry()}
}

// advance waits until the operator has a call to serve or is done.
func (o *operator) advance() {
	c, ok := <-o.calls
	o.pending = &c
	if !ok {
		o.pending = nil
	}
}

// play runs the operators to their end along one sequence of choices.
func (w *world) play(ops []*operator, asks int, pick func(int) int) {
	for _, o := range ops {
		o.calls = make(chan call)
		go o.run(asks)
		o.advance()
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
		i := pick(len(ready) + len(w.late))
		if i >= len(ready) {
			w.land(i - len(ready))
			continue
		}
		w.serve(ready[i], pick)
		ready[i].advance()
	}
	for len(w.late) > 0 {
		w.land(0)
	}
}

func (w *world) land(i int) {
	c := w.late[i]
	w.late = slices.Delete(w.late, i, i+1)
	w.swap(c)
}

// twoPlans returns a store with generation 7 and two different plans over it.
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

// TestRace enumerates every interleaving of the store calls of two operators,
// with one lost answer for each of them at every step, a lost write taking
// effect at once, never, or at any later point, and each operator asking up to
// three times. Each run ends with a last ask of both without faults, and one more
// after a later plan was accepted.
func TestRace(t *testing.T) {
	is := is.New(t)
	value, pa, pb := twoPlans(t)
	table := make(map[string]int)
	runs := explore(func(pick func(int) int) {
		w := &world{value: value, revision: 1, effects: make(map[string]int)}
		a := &operator{name: "a", plan: pa, losses: 1}
		b := &operator{name: "b", plan: pb, losses: 1}
		w.play([]*operator{a, b}, 3, pick)
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

func (w *world) winner(a, b *operator) string {
	switch {
	case w.effects[a.plan.ID] > 0:
		return "a       "
	case w.effects[b.plan.ID] > 0:
		return "b       "
	default:
		return "none    "
	}
}

// checkRace holds what the operators were told against what happened.
func checkRace(t *testing.T, w *world, ops ...*operator) {
	t.Helper()
	total := 0
	for _, o := range ops {
		n := w.effects[o.plan.ID]
		total += n
		last := o.verdicts[len(o.verdicts)-1]
		if n > 1 || last == "accepted" && n != 1 || last == "stale" && n != 0 {
			t.Fatalf("%s was told %v, its plan took effect %d times", o.name, o.verdicts, n)
		}
		// With the faults over, asking again gives the final answer.
		r := &operator{name: o.name, plan: o.plan}
		w.play([]*operator{r}, 1, func(int) int { return 0 })
		final := r.verdicts[0]
		if n == 1 && final != "accepted" || n == 0 && w.effects[o.plan.ID] == 0 && final != "stale" {
			t.Fatalf("%s was told %v at last, its plan took effect %d times", o.name, final, n)
		}
	}
	checkLater(t, w, ops...)
	if total > 1 {
		t.Fatalf("%d plans took effect over one base", total)
	}
}

// checkLater accepts one more plan and asks again for the earlier ones.
func checkLater(t *testing.T, w *world, ops ...*operator) {
	t.Helper()
	d, err := document.Decode(w.value)
	if err != nil || d.Generation != 8 {
		t.Fatalf("generation %d, %v", d.GetGeneration(), err)
	}
	later := &Plan{ID: "later", BaseGeneration: 8, BasePlan: d.PlanId, next: new(rudderv1.Document)}
	w.play([]*operator{{plan: later}}, 1, func(int) int { return 0 })
	revision := w.revision
	for _, o := range ops {
		r := &operator{plan: o.plan}
		w.play([]*operator{r}, 1, func(int) int { return 0 })
		want := "stale"
		if w.effects[o.plan.ID] == 1 {
			want = "accepted" // and superseded since
		}
		if r.verdicts[0] != want || w.revision != revision {
			t.Fatalf("%s was told %v after a later plan, want %s", o.name, r.verdicts, want)
		}
	}
}
