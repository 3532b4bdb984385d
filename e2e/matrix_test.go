package e2e

import (
	"bytes"
	"flag"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	standengine "github.com/micarudder/micarudder/internal/standin/engine"
)

// onlyCell restricts the test to cells whose name contains it and prints their
// lines.
var onlyCell = flag.String("cell", "", "part of the names of the matrix cells to play")

// TestKillMatrix runs every cell of the kill matrix: a step of the life
// cycle, the failure there, the kind of request and how it is named. The golden
// file is the table of outcomes.
func TestKillMatrix(t *testing.T) {
	all := cells()
	lines := make([]string, len(all))
	t.Run("cells", func(t *testing.T) {
		for i, c := range all {
			if !strings.Contains(c.String(), *onlyCell) {
				continue
			}
			t.Run(c.String(), func(t *testing.T) {
				t.Parallel()
				runSession(t, func(b *cluster) {
					v := runCell(b, c)
					lines[i] = v.goldenLine(c)
					for _, w := range v.violations {
						t.Errorf("%s\n%s %v", w, lines[i], v.answers)
					}
				})
			})
		}
	})
	table := []byte(strings.Join(lines, ""))
	if *onlyCell != "" {
		t.Logf("\n%s", table)
		return
	}
	goldie.New(t).Assert(t, "matrix", table)
}

// record stores the answer to one presentation and checks that it came in time.
func (p *cellRun) record(r reply, took time.Duration, mayBreak bool) {
	f := r.parsedProblem()
	a := presentationResult{restart: r.restart, notRun: f.Outcome == "not run", code: f.Code}
	switch {
	case f.Code != 0:
		a.summary = f.Outcome
	case r.err != nil, !p.call && !r.done, r.status != 200:
		a.summary = "broken off"
		if !mayBreak {
			p.result.failf("answer broken off: status %d, %v", r.status, r.err)
		}
	default:
		a.whole, a.summary = true, "whole"
	}
	if a.whole && r.restart {
		a.summary += " restarted"
	}
	a.text = p.textHeld(r)
	if a.whole {
		p.checkWhole(r, a.text)
	}
	if took > cellDeadline+deadlineSlack && !mayBreak {
		p.result.failf("answered too late, after %v", took)
	}
	p.result.answers = append(p.result.answers, a)
}

// textHeld returns all text that the caller has received, including that of
// earlier presentations if this one continues them.
func (p *cellRun) textHeld(r reply) string {
	if p.call || r.restart || p.naming != byTicket {
		return r.text
	}
	return p.result.last().text + r.text
}

func (p *cellRun) checkWhole(r reply, text string) {
	if p.call {
		if !strings.Contains(r.body, strconv.Quote(p.body(len(p.result.answers)))) {
			p.result.failf("whole answer, but its body is %q", r.body)
		}
		return
	}
	if want := answerTo(p.prompt(len(p.result.answers)), cellTokens); text != want {
		p.result.failf("whole answer, but its text is %q", text)
	}
}

// voidUnknown voids an unrepeatable request with an unknown outcome, as a
// caller would that needs to know the outcome.
func (p *cellRun) voidUnknown() {
	if p.naming != byTicket || p.repeatable || p.result.last().whole || p.result.last().notRun {
		return
	}
	f := p.b.askWithin(cellDeadline, "gw2", "DELETE", "/v1/runs/"+p.ticket, "", nil).parsedProblem()
	p.result.answers = append(p.result.answers, presentationResult{notRun: f.Outcome == "not run", summary: "void: " + f.Outcome})
}

// check checks the cell's invariants.
func (p *cellRun) check() {
	if p.naming != withoutName {
		p.result.runs, p.result.resumes = p.count(0)
		p.checkRuns(p.result.runs, p.result.resumes, p.result.last())
	} else {
		for i, a := range p.result.answers {
			runs, resumes := p.count(i)
			p.checkRuns(runs, resumes, a)
			p.result.runs += runs
			p.result.resumes += resumes
		}
	}
	for _, name := range cellEndpoints {
		p.checkFree(name)
	}
}

// checkRuns checks that unrepeatable work ran at most once, that a request
// reported as "not run" never ran, and that a whole answer comes from a run.
func (p *cellRun) checkRuns(runs, resumes int, last presentationResult) {
	if !p.repeatable && runs+resumes > 1 {
		p.result.failf("unrepeatable, but ran %d times and was resumed %d times", runs, resumes)
	}
	if last.notRun && runs > 0 {
		p.result.failf("reported as \"not run\", but ran %d times", runs)
	}
	if last.whole && runs == 0 {
		p.result.failf("whole answer, but no run")
	}
}

// checkFree checks that the engine lost no memory and that the agent's
// accounting holds no entries.
func (p *cellRun) checkFree(name string) {
	if e := p.b.engines[name]; e != nil {
		st := e.State()
		if len(st.Running) > 0 || st.Load.FreeTokens != standengine.Default().MemoryTokens {
			p.result.failf("engine %s: %d runs, %d tokens free", name, len(st.Running), st.Load.FreeTokens)
		}
	}
	var page bytes.Buffer
	p.b.agentMetrics[name].WritePrometheus(&page)
	for _, gauge := range []string{"running", "waiting", "memory_used_tokens", "answer_bytes"} {
		if !strings.Contains(page.String(), "rudder_agent_"+gauge+" 0\n") {
			p.result.failf("agent %s: %s is not zero", name, gauge)
		}
	}
}
