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

// idle returns n candidates without load.
func idle(n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i].ID = fmt.Sprint(i)
	}
	return out
}

func choose(s *catalog.Service, w Work, all []Candidate) Choice {
	return Default().Choose(s, w, all)
}

var (
	short = Work{InputTokens: 5000, OutputTokens: 1400, ObjectiveMs: 300}
	long  = Work{InputTokens: 133000, OutputTokens: 700, ObjectiveMs: 2500, Slack: time.Second}
	huge  = Work{InputTokens: 400000, OutputTokens: 700, ObjectiveMs: 2500, Slack: time.Second}
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

// TestShortsStayTogether: short requests fill one endpoint after the other, so
// that long prompts find others free, and spread before an endpoint is full.
func TestShortsStayTogether(t *testing.T) {
	is := is.New(t)
	all := idle(4)
	for range 24 {
		c := choose(model, short, all)
		l := &all[c.Endpoint].Load
		l.Short++
		all[c.Endpoint].Own++
		l.Tokens += short.InputTokens + short.OutputTokens
	}
	used := 0
	for _, c := range all {
		is.True(c.Load.Short < engine.Slots)
		if c.Load.Short > 0 {
			used++
		}
	}
	is.Equal(used, 2)
}

func TestShortAvoidsReading(t *testing.T) {
	is := is.New(t)
	all := idle(3)
	all[0].Load = Load{ReadMs: 400, Short: 3, Parts: 1}
	all[1].Load = Load{Long: 1, Tokens: 140000}
	is.Equal(choose(model, short, all).Endpoint, 2)
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

func TestLongWaitsWhileItHasTime(t *testing.T) {
	is := is.New(t)
	all := idle(4)
	for i := range all {
		all[i].Load = Load{ReadMs: 900, Parts: 1}
	}
	is.True(choose(model, long, all).Wait)
	late := long
	late.Slack = 0
	c := choose(model, late, all)
	is.True(!c.Wait)
	is.True(c.Endpoint >= 0)
}

func TestHugeNeedsQuietEndpoints(t *testing.T) {
	is := is.New(t)
	busy := idle(18)
	for i := range busy {
		busy[i].Load.Short = 1
	}
	is.True(choose(model, huge, busy).Wait)
	late := huge
	late.Late = true
	is.True(!choose(model, late, busy).Wait)
	for _, late := range []bool{false, true} {
		lately := huge
		lately.Busy, lately.Late = 1, late
		is.True(choose(model, lately, idle(18)).Wait)
	}
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
		w := Work{InputTokens: rapid.IntRange(0, 700000).Draw(t, "prompt"), OutputTokens: 700, ObjectiveMs: 1500, Avoid: []string{"1"},
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
