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

// onlyCell plays the cells whose name contains it and prints their lines.
var onlyCell = flag.String("cell", "", "part of the names of the matrix cells to play")

// TestKillMatrix plays every cell of the kill matrix: a step of the life cycle,
// what goes wrong there, the kind of request and its name. The golden file is
// the table of outcomes.
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
				run(t, func(b *bubble) {
					v := playCell(b, c)
					lines[i] = v.line(c)
					for _, w := range v.wrong {
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

// judge records what one presentation was answered and checks its time.
func (p *play) judge(r reply, took time.Duration, excused bool) {
	f := r.fault()
	a := told{restart: r.restart, notRun: f.Outcome == "not run", code: f.Code}
	switch {
	case f.Code != 0:
		a.summary = f.Outcome
	case r.err != nil, !p.call && !r.done, r.status != 200:
		a.summary = "broken off"
		if !excused {
			p.v.failf("broken off: status %d, %v", r.status, r.err)
		}
	default:
		a.whole, a.summary = true, "whole"
	}
	if a.whole && r.restart {
		a.summary += " restarted"
	}
	a.text = p.held(r)
	if a.whole {
		p.checkWhole(r, a.text)
	}
	if took > cellDeadline+slack && !excused {
		p.v.failf("answered after %v", took)
	}
	p.v.answers = append(p.v.answers, a)
}

// held joins what the caller has by its own account.
func (p *play) held(r reply) string {
	if p.call || r.restart || p.naming != byTicket {
		return r.text
	}
	return p.v.last().text + r.text
}

func (p *play) checkWhole(r reply, text string) {
	if p.call {
		if !strings.Contains(r.body, strconv.Quote(p.body(len(p.v.answers)))) {
			p.v.failf("whole, but the answer is %q", r.body)
		}
		return
	}
	if want := answerTo(p.prompt(len(p.v.answers)), cellTokens); text != want {
		p.v.failf("whole, but the text is %q", text)
	}
}

// settle voids what is not known yet, as a caller would that has to know.
func (p *play) settle() {
	if p.naming != byTicket || p.repeatable || p.v.last().whole || p.v.last().notRun {
		return
	}
	f := p.b.askFor(cellDeadline, "gw2", "DELETE", "/v1/runs/"+p.ticket, "", nil).fault()
	p.v.answers = append(p.v.answers, told{notRun: f.Outcome == "not run", summary: "void: " + f.Outcome})
}

// check holds the cell against the promises.
func (p *play) check() {
	if p.naming != byNothing {
		p.v.runs, p.v.resumes = p.count(0)
		p.checkRuns(p.v.runs, p.v.resumes, p.v.last())
	} else {
		for i, a := range p.v.answers {
			runs, resumes := p.count(i)
			p.checkRuns(runs, resumes, a)
			p.v.runs += runs
			p.v.resumes += resumes
		}
	}
	for _, name := range pair {
		p.checkFree(name)
	}
}

// checkRuns: unrepeatable means at most once, "not run" means never, a whole
// answer comes from a run.
func (p *play) checkRuns(runs, resumes int, last told) {
	if !p.repeatable && runs+resumes > 1 {
		p.v.failf("unrepeatable, but ran %d times and was resumed %d times", runs, resumes)
	}
	if last.notRun && runs > 0 {
		p.v.failf("told \"not run\", but ran %d times", runs)
	}
	if last.whole && runs == 0 {
		p.v.failf("whole, but did not run")
	}
}

// checkFree: no engine loses memory, and no agent's book keeps an entry.
func (p *play) checkFree(name string) {
	if e := p.b.engines[name]; e != nil {
		st := e.State()
		if len(st.Running) > 0 || st.Load.FreeTokens != standengine.Default().MemoryTokens {
			p.v.failf("engine %s: %d runs, %d tokens free", name, len(st.Running), st.Load.FreeTokens)
		}
	}
	var page bytes.Buffer
	p.b.gauges[name].WritePrometheus(&page)
	for _, gauge := range []string{"running", "waiting", "memory_used_tokens", "answer_bytes"} {
		if !strings.Contains(page.String(), "rudder_agent_"+gauge+" 0\n") {
			p.v.failf("agent %s: %s is not zero", name, gauge)
		}
	}
}
