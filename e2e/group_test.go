package e2e

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"github.com/micarudder/micarudder/rudderv1"
)

// longPrompt returns a prompt of n tokens that begins with a name.
func longPrompt(name string, n int) string {
	p := name + " " + strings.Repeat("word", n)
	return p[:4*n]
}

var patient = map[string]string{"Rudder-Deadline": "50m"}

// fleet starts engines of 450,000 tokens each and a gateway.
func (b *bubble) fleet(engines int) {
	for i := range engines {
		b.engine(fmt.Sprintf("e%d", i+1), nil)
	}
	b.gateway("gw1")
	b.publish()
}

func TestLongPromptOverFour(t *testing.T) {
	run(t, func(b *bubble) {
		is := is.New(b.t)
		b.fleet(4)
		prompt := longPrompt("archive", 1_000_000)
		began := time.Now()
		r := b.ask("gw1", "POST", chatPath, chat(prompt, 32, true), patient)
		b.t.Log("took", time.Since(began), r.body, r.problem)
		is.NoErr(r.err)
		is.Equal(r.status, 200)
		is.Equal(r.text, answerTo(prompt, 32))
		is.True(r.done)
		time.Sleep(10 * time.Second)
		b.allFree()
	})
}

// TestGroupsFormingAtOnce: two and three groups that need the same four engines
// all finish whichever asks first, and short requests pass meanwhile.
func TestGroupsFormingAtOnce(t *testing.T) {
	orders := [][]string{
		{"gw1", "gw2"}, {"gw2", "gw1"}, {"gw1", "gw1"},
		{"gw1", "gw2", "gw3"}, {"gw1", "gw3", "gw2"}, {"gw2", "gw1", "gw3"},
		{"gw2", "gw3", "gw1"}, {"gw3", "gw1", "gw2"}, {"gw3", "gw2", "gw1"},
	}
	for _, order := range orders {
		t.Run(strings.Join(order, " "), func(t *testing.T) {
			t.Parallel()
			run(t, func(b *bubble) {
				is := is.New(b.t)
				b.smallFleet("gw1", "gw2", "gw3")
				header := map[string]string{"Rudder-Deadline": "3m"}
				got := make(chan bool, len(order))
				for i, gw := range order {
					prompt := longPrompt(fmt.Sprint("archive ", i), groupTokens)
					go func() {
						r := b.ask(gw, "POST", chatPath, chat(prompt, 20, true), header)
						got <- r.err == nil && r.done && r.text == answerTo(prompt, 20)
					}()
				}
				slowest := b.shortWork(10 * time.Second)
				for range order {
					is.True(<-got)
				}
				b.t.Log("slowest short request", slowest)
				is.True(slowest < 200*time.Millisecond)
				time.Sleep(time.Minute)
				b.allFree()
			})
		})
	}
}

// TestAdmittedWorkGoesFirst: a group does not take memory for which admitted
// work waits; that work ends in time, and then the group is formed.
func TestAdmittedWorkGoesFirst(t *testing.T) {
	run(t, func(b *bubble) {
		is := is.New(b.t)
		b.smallFleet("gw1")
		got := make(chan bool, 9)
		ask := func(prompt string, tokens int, deadline string) {
			r := b.ask("gw1", "POST", chatPath, chat(prompt, tokens, true), map[string]string{"Rudder-Deadline": deadline})
			got <- r.done && r.text == answerTo(prompt, tokens)
			b.t.Log(r.status, r.body, r.problem)
		}
		for i := range 8 { // one runs and one waits at each engine
			go ask(longPrompt(fmt.Sprint("reconciliation ", i), 30_000), 400, "40s")
			time.Sleep(60 * time.Millisecond)
		}
		go ask(longPrompt("archive", groupTokens), 3000, "3m")
		for range 9 {
			is.True(<-got)
		}
		time.Sleep(time.Minute)
		b.allFree()
	})
}

// shortWork asks a short question every 100 ms and returns the slowest answer.
func (b *bubble) shortWork(span time.Duration) time.Duration {
	is := is.New(b.t)
	var slowest time.Duration
	for i := 0; time.Duration(i)*100*time.Millisecond < span; i++ {
		began := time.Now()
		r := b.ask("gw1", "POST", chatPath, chat(longPrompt(fmt.Sprint("question ", i), 1000), 1, true), nil)
		is.True(r.done)
		took := time.Since(began)
		slowest = max(slowest, took)
		time.Sleep(100*time.Millisecond - took%(100*time.Millisecond))
	}
	return slowest
}

// TestMillionOverFourGolden: the session of a prompt of a million tokens as its
// members' agents and engines saw it.
func TestMillionOverFourGolden(t *testing.T) {
	run(t, func(b *bubble) {
		is := is.New(b.t)
		b.fleet(4)
		prompt := longPrompt("archive", 1_000_000)
		done := make(chan reply, 1)
		began := time.Now()
		go func() { done <- b.ask("gw1", "POST", chatPath, chat(prompt, 32, true), patient) }()
		var out strings.Builder
		out.WriteString("   time   reserved and held tokens, in thousands; * computes\n")
		for len(done) == 0 {
			time.Sleep(time.Second)
			fmt.Fprintf(&out, "%6v  %s\n", time.Since(began).Round(time.Second), b.memoryLine())
		}
		r := <-done
		is.Equal(r.text, answerTo(prompt, 32))
		time.Sleep(10 * time.Second)
		fmt.Fprintf(&out, "  later %s\n", b.memoryLine())
		g := goldie.New(b.t, goldie.WithFixtureDir("testdata"))
		g.Assert(b.t, "million", []byte(thin(out.String())))
	})
}

// memoryLine says what each member has reserved and holds.
func (b *bubble) memoryLine() string {
	var out []string
	for _, name := range []string{"e1", "e2", "e3", "e4"} {
		mark := " "
		if b.runs(name) > 0 {
			mark = "*"
		}
		load := b.report(name).Load
		out = append(out, fmt.Sprintf("%s%s%4d%4d", name, mark, load.ReservedTokens/1000, b.heldAt(name)/1000))
	}
	return strings.Join(out, "   ")
}

// report returns an agent's word about itself.
func (b *bubble) report(name string) *rudderv1.AgentReport {
	ctx, cancel := context.WithCancel(b.t.Context())
	defer cancel()
	stream, err := b.desk(name).client.Subscribe(ctx, connect.NewRequest(&rudderv1.SubscribeRequest{}))
	if err != nil || !stream.Receive() {
		b.t.Fatal(err)
	}
	return stream.Msg()
}

// thin keeps the lines that differ from the one before in more than the time.
func thin(lines string) string {
	var out []string
	last := ""
	for _, line := range strings.Split(lines, "\n") {
		if rest := line[min(len(line), 8):]; rest != last {
			out, last = append(out, line), rest
		}
	}
	return strings.Join(out, "\n") + "\n"
}
