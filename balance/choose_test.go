package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/micarudder/micarudder/catalog"
)

var engine = &catalog.Engine{
	Slots: 16, MemoryTokens: 232000, StepMs: 1.02, PerWriterMs: 0.00226, ContextPerK: 0.00431,
	ReadPerMs: 206, PairsPerM: 0.138, ChunkTokens: 2048, Stride: 43,
}

var (
	model = &catalog.Service{Name: "model", Engine: engine}
	plain = &catalog.Service{Name: "plain"}
)

// idle returns n candidates without load, in the order of their ranks.
func idle(n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i].ID, out[i].Rank = fmt.Sprint(i), uint64(i)
	}
	return out
}

func choose(s *catalog.Service, w Work, all []Candidate) Choice {
	return Default().Choose(s, w, all)
}

var (
	pauses = catalog.Pauses{Shortest: 250 * time.Millisecond, Next: 600 * time.Millisecond, Longest: time.Second}

	short = Work{InputTokens: 5000, OutputTokens: 1400, LeftMs: 300, DeadlineMs: 2000, Pauses: pauses}
	long  = Work{InputTokens: 133000, OutputTokens: 700, LeftMs: 2500, DeadlineMs: 10000, Slack: time.Second, Pauses: pauses}
	huge  = Work{InputTokens: 400000, OutputTokens: 700, LeftMs: 2500, DeadlineMs: 10000, Slack: time.Second, Pauses: pauses}
)

func TestModel(t *testing.T) {
	is := is.New(t)
	is.Equal(int(readMs(engine, 133000)), 1866) // 646 ms of tokens, 1,220 of pairs
	is.Equal(readMs(nil, 133000), 0.0)
	is.Equal(int(passMs(engine, 0, 0)), 43)
}

func TestPlainTakesTheLeastBusy(t *testing.T) {
	is := is.New(t)
	all := idle(3)
	all[0].Load.Short, all[1].Load.Short, all[2].Load.Short = 2, 1, 2
	is.Equal(choose(plain, Work{}, all).Endpoint, 1)
}

func TestNothingToChoose(t *testing.T) {
	is := is.New(t)
	is.Equal(choose(plain, Work{Avoid: []string{"0"}}, idle(1)).Endpoint, -1)
	is.Equal(choose(model, short, nil).Endpoint, -1)
}

func TestSuspectsComeLast(t *testing.T) {
	is := is.New(t)
	all := idle(2)
	all[0].Suspect = true
	all[1].Load.Short = 9
	is.Equal(choose(plain, Work{}, all).Endpoint, 1)
	is.Equal(choose(plain, Work{Avoid: []string{"1"}}, all).Endpoint, 0)
}

// TestShortsStayTogether: short requests of all gateways take the first
// endpoints of the shared order, so that long prompts find the last ones free,
// and spread before an endpoint is full.
func TestShortsStayTogether(t *testing.T) {
	is := is.New(t)
	all := idle(4)
	for range 24 {
		c := choose(model, short, all)
		l := &all[c.Endpoint].Load
		l.Short++
		l.Tokens += short.InputTokens + short.OutputTokens
	}
	for _, c := range all[:2] {
		is.True(c.Load.Short > 0)
		is.True(c.Load.Short <= 12)
	}
	is.Equal(all[2].Load.Short, 0)
	is.Equal(all[3].Load.Short, 0)
}

// TestGatewaysPreferDifferentEndpoints: where endpoints are about as good, each
// gateway takes the first one of its own order.
func TestGatewaysPreferDifferentEndpoints(t *testing.T) {
	is := is.New(t)
	all := idle(4)
	for i := range all {
		all[i].Load.Short = 4
	}
	all[1].OwnRank = 1
	all[0].OwnRank, all[2].OwnRank, all[3].OwnRank = 7, 8, 9
	is.Equal(choose(model, short, all).Endpoint, 1)
}

// TestShortIsRefusedWhenAllSlotsAreTaken: only while the requests under way need
// more than all slots, and only where it would be late and may come back.
func TestShortIsRefusedWhenAllSlotsAreTaken(t *testing.T) {
	is := is.New(t)
	taken := func(short int) []Candidate {
		all := idle(3)
		for i := range all {
			all[i].Load = Load{Short: short, Tokens: short * 6000, Unread: 2}
		}
		return all
	}
	c := choose(model, short, taken(18))
	is.True(c.Refuse)
	is.Equal(c.Endpoint, -1)
	must := short
	must.MustTake = true
	is.True(choose(model, must, taken(18)).Endpoint >= 0)
	patient := short
	patient.LeftMs = 5000
	is.True(choose(model, patient, taken(18)).Endpoint >= 0)
	is.True(choose(model, short, taken(15)).Endpoint >= 0) // late perhaps, with slots free
}

// TestShortAvoidsReading: a short request leaves out endpoints that read, and keeps
// to the shared order where a long one only generates.
func TestShortAvoidsReading(t *testing.T) {
	is := is.New(t)
	all := idle(3)
	all[0].Load = Load{ReadMs: 400, Short: 3, Parts: 1}
	all[1].Load = Load{Long: 1, Tokens: 140000}
	is.Equal(choose(model, short, all).Endpoint, 1)
	all[1].Load.ReadMs = 400
	is.Equal(choose(model, short, all).Endpoint, 2)
}

// TestMiddleGeneratesBesideShorts: a prompt whose route allows no long pauses
// generates at the first endpoint of the shared order where it harms nobody, so that
// no part of a longer one makes it pause; a patient one keeps off the short ones.
func TestMiddleGeneratesBesideShorts(t *testing.T) {
	is := is.New(t)
	all := idle(6)
	for i := range 2 {
		all[i].Load = Load{Short: 6, Tokens: 36000}
	}
	middle := long
	middle.InputTokens, middle.Pause = 42000, 600*time.Millisecond
	c := choose(model, middle, all)
	is.Equal(c.Endpoint, 0)
	middle.Pause = time.Second
	is.True(choose(model, middle, all).Endpoint >= 2)
	all[0].Load.ReadMs = 200
	middle.Pause = 600 * time.Millisecond
	is.Equal(choose(model, middle, all).Endpoint, 1)
}

// TestLongKeepsOffShorts: the parts of a long prompt fall on endpoints without
// short requests while there are any.
func TestLongKeepsOffShorts(t *testing.T) {
	is := is.New(t)
	all := idle(18)
	for i := range 6 {
		all[i].Load.Short = 10
	}
	c := choose(model, long, all)
	is.True(!c.Wait)
	is.True(len(c.Helpers) >= 2)
	for _, p := range c.Loads {
		is.Equal(all[p.Candidate].Load.Short, 0)
	}
	is.Equal(len(c.Reserve), 0)
}

// TestLongWaitsForEndpointsThatReadNothing: engines read the newest part first,
// so a part on top of another one would put that off, whatever the newer prompt's
// time: a late one that does not wait makes the ones before it late as well.
func TestLongWaitsForEndpointsThatReadNothing(t *testing.T) {
	is := is.New(t)
	all := idle(4)
	for i := range all {
		all[i].Load = Load{ReadMs: 900, Parts: 1}
	}
	is.True(choose(model, long, all).Wait)
	noSlack := long
	noSlack.Slack = 0
	is.True(choose(model, noSlack, all).Wait)
	late := noSlack
	late.Late = true
	is.True(choose(model, late, all).Wait)
	all[2].Load = Load{}
	c := choose(model, late, all)
	is.Equal(c.Endpoint, 2)
	is.Equal(len(c.Helpers), 0)
}

// TestLongAcceptsHarmByItsValue: a prompt that can be in time takes endpoints with
// a few short requests at once and with more of them when it has waited, as far as
// it is worth more than they are; one that is late takes none of them.
func TestLongAcceptsHarmByItsValue(t *testing.T) {
	is := is.New(t)
	all := idle(4)
	long := long
	long.Pause = pauses.Longest // the kind that is worth so much
	for i := range all {
		all[i].Load.Short = 1
	}
	is.True(!choose(model, long, all).Wait)
	for i := range all {
		all[i].Load.Short = 5
	}
	is.True(choose(model, long, all).Wait)
	waited := long
	waited.Waited = 1
	is.True(!choose(model, waited, all).Wait)
	late := waited
	late.Late, late.LeftMs, late.Slack = true, -100, -time.Second
	is.True(choose(model, late, all).Wait)
}

// TestLongTakesWhatReadsNothing: few endpoints that read nothing are better than
// many of which some read.
func TestLongTakesWhatReadsNothing(t *testing.T) {
	is := is.New(t)
	all := idle(18)
	for i := range 15 {
		all[i].Load = Load{ReadMs: 240, Parts: 1}
	}
	c := choose(model, long, all)
	is.True(!c.Wait)
	for _, p := range c.Loads {
		is.True(p.Candidate >= 15)
	}
}

// TestLongSparesThoseThatGenerate: a part that would make the pass of another
// long request too long goes elsewhere.
func TestLongSparesThoseThatGenerate(t *testing.T) {
	is := is.New(t)
	all := idle(6)
	for i := range 3 {
		all[i].Load = Load{Long: 1, Tokens: 50000}
	}
	w := long
	w.InputTokens = 200000
	for _, p := range choose(model, w, all).Loads {
		is.True(p.Candidate >= 3)
	}
}

// TestPatientOnesBearLongerParts: a part that would be too long for the pauses of
// one long request goes beside another one whose route allows longer ones.
func TestPatientOnesBearLongerParts(t *testing.T) {
	is := is.New(t)
	all := idle(2)
	all[0].Load = Load{Long: 1, Patient: 1, Tokens: 50000}
	all[1].Load = Load{Long: 1, Tokens: 50000}
	w := long
	w.InputTokens, w.Pause = 70000, time.Second // 680 ms to read
	alone := Default()
	alone.MaxHelpers = 0
	c := alone.Choose(model, w, all)
	is.Equal(c.Endpoint, 0)
	is.Equal(c.Loads[0].Load.Patient, 1)
	w.Pause = 600 * time.Millisecond
	is.Equal(choose(model, w, idle(1)).Loads[0].Load.Patient, 0)
}

// TestPartsCountByTime: every part of a prompt counts as read after a time that
// covers its reading, not only with the first event.
func TestPartsCountByTime(t *testing.T) {
	is := is.New(t)
	c := choose(model, long, idle(18))
	is.True(len(c.Loads) > 1)
	for _, p := range c.Loads {
		is.True(p.ReadFor >= time.Duration(p.Load.ReadMs*float64(time.Millisecond)))
		is.True(p.ReadFor < 2*time.Second)
	}
	is.Equal(choose(model, short, idle(18)).Loads[0].ReadFor, time.Duration(0))
}

// TestGeneratorHasFreeSlots: helpers begin only when the endpoint that generates
// lets the request in.
func TestGeneratorHasFreeSlots(t *testing.T) {
	is := is.New(t)
	all := idle(2)
	all[0].Load = Load{Short: 14, Tokens: 20000}
	all[1].Load = Load{Long: 1, Tokens: 60000}
	w := long
	w.Slack, w.Late = 0, true
	w.Pauses = catalog.Pauses{} // a late event harms nobody
	is.Equal(choose(model, w, all).Endpoint, 1)
}

// TestHugeWeighsLikeOthers: a prompt over an endpoint's memory takes endpoints that
// read nothing, with short requests as far as it is worth more than they are, and with
// none of them when it is late.
func TestHugeWeighsLikeOthers(t *testing.T) {
	is := is.New(t)
	few, many, reading := idle(18), idle(18), idle(18)
	for i := range few {
		few[i].Load.Short, many[i].Load.Short = 1, 8
		reading[i].Load = Load{ReadMs: 250, Parts: 1}
	}
	w := huge
	w.Waited = 1
	is.True(!choose(model, w, few).Wait)
	is.True(choose(model, w, many).Wait)
	for _, late := range []bool{false, true} {
		w.Late = late
		is.True(choose(model, w, reading).Wait)
		is.True(!choose(model, w, idle(18)).Wait)
	}
	w.LeftMs, w.Slack = -100, -time.Second
	is.True(choose(model, w, few).Wait)
}

// TestNothingForACallerThatWouldBeGone: a prompt is not read when its first event
// would come after its caller has given up.
func TestNothingForACallerThatWouldBeGone(t *testing.T) {
	is := is.New(t)
	w := huge
	w.DeadlineMs = 3000
	is.True(choose(model, w, idle(2)).Wait) // 6.5 s of reading each
	is.True(!choose(model, w, idle(18)).Wait)
}

// TestHugeLeavesRoom: a prompt over an endpoint's memory leaves some endpoints
// that read nothing to others, but takes all where there are only a few.
func TestHugeLeavesRoom(t *testing.T) {
	is := is.New(t)
	all := idle(10)
	c := choose(model, huge, all)
	is.True(!c.Wait)
	is.True(len(c.Loads) <= 9)
	w := huge
	w.InputTokens = 300000
	is.True(!choose(model, w, idle(2)).Wait)
}

// TestValue: what prompts of the sheets are worth in short requests, within a third, by
// their kind or, where no kind is more patient than another, by their length.
func TestValue(t *testing.T) {
	two := catalog.Pauses{Shortest: 250 * time.Millisecond, Next: 600 * time.Millisecond, Longest: 600 * time.Millisecond}
	cases := []struct {
		name   string
		tokens int
		pauses catalog.Pauses
		pause  time.Duration
		want   float64
	}{
		{"middle", 45000, pauses, pauses.Next, 2.4},
		{"a long one of the middle kind", 110000, pauses, pauses.Next, 4.4},
		{"a short one of the longest kind", 60000, pauses, pauses.Longest, 8},
		{"the longest kind, small", 133000, pauses, pauses.Longest, 11.5},
		{"the longest kind, middle", 190000, pauses, pauses.Longest, 15.4},
		{"the longest kind", 300000, pauses, pauses.Longest, 21.4},
		{"the largest", 1000000, pauses, pauses.Longest, 56},
		{"two kinds only", 133000, two, two.Longest, 13.3},
	}
	for _, tc := range cases {
		w := Work{InputTokens: tc.tokens, Pauses: tc.pauses, Pause: tc.pause}
		if got := w.value(); got < 0.67*tc.want || got > 1.5*tc.want {
			t.Errorf("%s: worth %.1f, want about %.1f", tc.name, got, tc.want)
		}
	}
}

func TestTakesTurns(t *testing.T) {
	is := is.New(t)
	p := Default()
	is.True(!p.TakesTurns(plain, long))
	is.True(!p.TakesTurns(model, short))
	is.True(p.TakesTurns(model, long))
	is.True(!p.Oversize(model, long))
	is.True(p.Oversize(model, huge))
	is.True(!p.Oversize(plain, huge))
}

// TestHugeFitsTogether: the memory of the endpoint that generates and what is
// set aside at helpers hold the prompt, and no endpoint is given more than it has.
func TestHugeFitsTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := idle(18)
		for i := range all {
			all[i].Load.Tokens = rapid.IntRange(0, 232000).Draw(t, "tokens")
		}
		w := huge
		w.InputTokens = rapid.IntRange(240000, 1000000).Draw(t, "prompt")
		c := choose(model, w, all)
		if c.Wait {
			return
		}
		held := 0
		for _, p := range c.Loads {
			held += p.Load.Tokens
			if p.Load.Tokens+all[p.Candidate].Load.Tokens > engine.MemoryTokens {
				t.Fatalf("candidate %d is given %d tokens beside %d", p.Candidate, p.Load.Tokens, all[p.Candidate].Load.Tokens)
			}
		}
		if held != w.InputTokens+w.OutputTokens {
			t.Fatalf("memory for %d tokens, the prompt needs %d", held, w.InputTokens+w.OutputTokens)
		}
		for _, r := range c.Reserve {
			if r.Candidate == c.Endpoint || r.Tokens <= 0 {
				t.Fatalf("reservation %+v, generator %d", r, c.Endpoint)
			}
		}
	})
}

// TestChoiceIsSound: whatever the load, a choice names each endpoint once, no
// more helpers than allowed, and none that was to be avoided.
func TestChoiceIsSound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := idle(rapid.IntRange(0, 20).Draw(t, "endpoints"))
		for i := range all {
			all[i].Load = Load{ReadMs: float64(rapid.IntRange(0, 900).Draw(t, "read")), Short: rapid.IntRange(0, 20).Draw(t, "short"),
				Long: rapid.IntRange(0, 3).Draw(t, "long"), Tokens: rapid.IntRange(0, 300000).Draw(t, "tokens"), Parts: rapid.IntRange(0, 3).Draw(t, "parts")}
			all[i].Suspect = rapid.Bool().Draw(t, "suspect")
		}
		w := Work{InputTokens: rapid.IntRange(0, 700000).Draw(t, "prompt"), OutputTokens: 700, LeftMs: 1500, DeadlineMs: 10000, Pauses: pauses, Avoid: []string{"1"},
			Slack: time.Duration(rapid.IntRange(-1, 1).Draw(t, "slack")), Late: rapid.Bool().Draw(t, "late")}
		c := choose(model, w, all)
		if c.Wait || c.Endpoint < 0 {
			return
		}
		seen := map[int]bool{c.Endpoint: true}
		for _, h := range c.Helpers {
			if seen[h] {
				t.Fatalf("endpoint %d twice", h)
			}
			seen[h] = true
		}
		if len(c.Helpers) > Default().MaxHelpers || seen[1] || len(c.Loads) != len(seen) {
			t.Fatalf("choice %+v", c)
		}
	})
}

// TestOpenConnectionsFirst: of endpoints that are equal a request takes the one to which a
// connection is open, but not one that answers later.
func TestOpenConnectionsFirst(t *testing.T) {
	is := is.New(t)
	p := Default()
	plain := &catalog.Service{Name: "s"}
	all := []Candidate{{ID: "a", OwnRank: 1}, {ID: "b", OwnRank: 2, Warm: true}, {ID: "c", OwnRank: 3, Warm: true}}
	is.Equal(p.Choose(plain, Work{}, all).Endpoint, 1)
	all[1].Load.Short = 1
	is.Equal(p.Choose(plain, Work{}, all).Endpoint, 2)
	all[2].Load.Short = 2
	is.Equal(p.Choose(plain, Work{}, all).Endpoint, 0)
}
