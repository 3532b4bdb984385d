package load

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/routing"
)

func TestCheck(t *testing.T) {
	cases := []struct {
		name string
		rec  Record
		want []Breach
	}{
		{"whole, once", Record{Final: Whole, Executions: 1}, nil},
		{"whole, execution records missing", Record{Final: Whole, Executions: executionsUnknown}, nil},
		{"whole, repeatable, twice", Record{Final: Whole, Repeatable: true, Executions: 2}, nil},
		{"whole, non-repeatable, twice", Record{Final: Whole, Executions: 2}, []Breach{BreachDoubled}},
		{"whole, non-repeatable, resubmitted as a new request", Record{Final: Whole, Executions: 2, Anew: 1, Resubmits: 1}, nil},
		{"whole, non-repeatable, resubmitted with its key", Record{Final: Whole, Executions: 2, Resubmits: 1}, []Breach{BreachDoubled}},
		{"whole, never ran", Record{Final: Whole}, []Breach{BreachPhantom}},
		{"refused, did not run", Record{Final: Refused}, nil},
		{"refused, ran", Record{Final: Refused, Repeatable: true, Executions: 1}, []Breach{BreachFalseNotRun}},
		{"refused at the second submission", Record{Final: Refused, Executions: 1, Anew: 1}, nil},
		{"may have run, did not", Record{Final: Unknown}, nil},
		{"may have run, ran once", Record{Final: Unknown, Executions: 1}, nil},
		{"may have run, ran twice", Record{Final: Unknown, Executions: 2}, []Breach{BreachDoubled}},
		{"failed", Record{Final: Failed, Executions: 1}, nil},
		{"lost", Record{Final: Lost}, []Breach{BreachLost}},
		{"lost, non-repeatable, ran twice", Record{Final: Lost, Executions: 2}, []Breach{BreachLost, BreachDoubled}},
		{"cut off", Record{Final: CutOff, Executions: 1}, []Breach{BreachCutOff}},
		{"damaged", Record{Final: Damaged, Executions: 1}, []Breach{BreachDamaged}},
		{"late within the allowance", Record{Final: Whole, Executions: 1, Deadline: time.Second, End: 3 * time.Second}, nil},
		{"late", Record{Final: Whole, Executions: 1, Deadline: time.Second, End: 3*time.Second + 1}, []Breach{BreachLate}},
		{"late, counted from the due time", Record{Final: Whole, Executions: 1, Due: time.Second, Deadline: time.Second, End: 4 * time.Second}, nil},
		{"unsent", Record{Final: Unsent, End: time.Hour}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			if c.rec.Deadline == 0 {
				c.rec.Deadline = time.Minute
			}
			is.Equal(Check(c.rec), c.want)
		})
	}
}

func TestSummarize(t *testing.T) {
	is := is.New(t)
	m := &Mix{Run: RunSettings{Duration: 11 * time.Second, Warmup: time.Second}}
	base := Record{Final: Whole, Repeatable: true, Executions: 1, Measured: true, Deadline: time.Second, Due: 2 * time.Second, End: 2500 * time.Millisecond, Prompt: 1000, Presentations: 1}
	with := func(change func(*Record)) Record { r := base; change(&r); return r }
	s := Summarize(m, 5, 0.8, []Record{
		with(func(r *Record) { r.FirstToken, r.End = 2100*time.Millisecond, 2200*time.Millisecond }),
		with(func(r *Record) { r.Measured, r.End = false, 500*time.Millisecond }),
		with(func(r *Record) { r.End = 3500 * time.Millisecond }), // after its deadline, within lateAllowance
		with(func(r *Record) { r.Executions = 3 }),
		with(func(r *Record) { r.Due, r.End = 10900*time.Millisecond, 11200*time.Millisecond }), // ended after the arrivals stopped
		with(func(r *Record) {
			r.Final, r.Executions, r.Sent, r.End = Refused, 0, 2*time.Second, 2005*time.Millisecond
			r.Code = result.Overloaded
		}),
		with(func(r *Record) { r.Final, r.Class, r.Prompt = Damaged, routing.ClassHuge, 500_000 }),
		with(func(r *Record) { r.Class, r.Prompt = routing.ClassLong, 99_000 }),
	})
	is.Equal(s.Requests, 8)
	is.Equal(s.Finals, map[Final]int{Whole: 6, Refused: 1, Damaged: 1})
	is.Equal(s.Codes, map[string]int{"overloaded": 1})
	is.Equal(s.Breaches, map[Breach]int{BreachDamaged: 1})
	is.Equal(len(s.Examples), 1)
	is.Equal(s.Reruns, 2)
	is.True(s.Joined)
	is.Equal(s.Classes[0].Requests, 5)
	is.Equal(s.Classes[0].Refused, 1)
	is.Equal(s.Classes[0].FirstToken.Count, int64(1))
	is.True(within(s.Classes[0].FirstToken.P95, 0.1, 0.001))
	is.True(within(s.Refusals.P50, 0.005, 0.0001))
	is.True(within(s.UsefulTokens, 10_100, 0.01)) // two short requests and one long one in ten seconds
	is.True(within(s.LongTokens, 9_900, 0.01))
}

func TestCompareShort(t *testing.T) {
	is := is.New(t)
	run := func(factor time.Duration) []Record {
		var out []Record
		for i := range 100 {
			took := time.Duration(i+1) * time.Millisecond
			out = append(out, Record{ID: string(rune('a' + i)), Final: Whole, Measured: true, Due: time.Second, FirstToken: time.Second + took, End: time.Second + took*factor})
		}
		return out
	}
	shared, alone := run(3), run(2)
	shared[7].Final = Refused
	alone[8].Final = Refused // not answered in the run alone: no pair
	shared[9].Class = routing.ClassLong
	alone[9].Class = routing.ClassLong
	s := CompareShort(shared, alone)
	is.Equal(s.Pairs, 97)
	is.Equal(s.Missing, 1)
	is.True(within(s.P50, 1.5, 1e-9))
	is.True(within(s.P95, 1.5, 1e-9))
	is.Equal(s.FirstTokenP95, 1.0)
	is.True(within(s.RatioOfP95, 1.5, 1e-9))
	is.Equal(CompareShort(nil, nil).Pairs, 0)
}
