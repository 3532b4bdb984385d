package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"github.com/micarudder/micarudder/engine"
	standengine "github.com/micarudder/micarudder/internal/standin/engine"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

// longPrompt returns a prompt of n tokens that begins with the name.
func longPrompt(name string, n int) string {
	p := name + " " + strings.Repeat("word", n)
	return p[:4*n]
}

var longDeadline = map[string]string{"Rudder-Deadline": "50m"}

// fleet starts engines of 450,000 tokens each and a gateway.
func (b *cluster) fleet(engines int) {
	for i := range engines {
		b.engine(fmt.Sprintf("e%d", i+1), nil)
	}
	b.gateway("gw1")
	b.publish()
}

func TestLongPromptOverFourEngines(t *testing.T) {
	runSession(t, func(b *cluster) {
		is := is.New(b.t)
		b.fleet(4)
		prompt := longPrompt("archive", 1_000_000)
		began := time.Now()
		r := b.ask("gw1", "POST", chatPath, chat(prompt, 32, true), longDeadline)
		b.t.Log("took", time.Since(began), r.body, r.problem)
		is.NoErr(r.err)
		is.Equal(r.status, 200)
		is.Equal(r.text, answerTo(prompt, 32))
		is.True(r.done)
		time.Sleep(10 * time.Second)
		b.requireMemoryFree()
	})
}

// TestGroupsFormingAtOnce: two or three groups that need the same four engines
// all finish, whichever asks first, and short requests are served meanwhile.
func TestGroupsFormingAtOnce(t *testing.T) {
	orders := [][]string{
		{"gw1", "gw2"}, {"gw2", "gw1"}, {"gw1", "gw1"},
		{"gw1", "gw2", "gw3"}, {"gw1", "gw3", "gw2"}, {"gw2", "gw1", "gw3"},
		{"gw2", "gw3", "gw1"}, {"gw3", "gw1", "gw2"}, {"gw3", "gw2", "gw1"},
	}
	for _, order := range orders {
		t.Run(strings.Join(order, " "), func(t *testing.T) {
			t.Parallel()
			runSession(t, func(b *cluster) {
				is := is.New(b.t)
				b.smallFleet("gw1", "gw2", "gw3")
				header := map[string]string{"Rudder-Deadline": "3m"}
				got := make(chan bool, len(order))
				began := time.Now()
				for i, gw := range order {
					prompt := longPrompt(fmt.Sprint("archive ", i), groupTokens)
					go func() {
						r := b.ask(gw, "POST", chatPath, chat(prompt, 20, true), header)
						got <- r.err == nil && r.done && r.text == answerTo(prompt, 20)
					}()
				}
				slowest := b.slowestShortRequest(10 * time.Second)
				for i := range order {
					is.True(<-got)
					b.t.Log("answered", i+1, "after", time.Since(began).Round(time.Millisecond))
				}
				b.t.Log("slowest short request", slowest)
				is.True(slowest < 200*time.Millisecond)
				time.Sleep(time.Minute)
				b.requireMemoryFree()
			})
		})
	}
}

// TestAdmittedWorkGoesFirst: a group does not take memory that admitted work
// waits for; that work ends in time, and then the group is formed.
func TestAdmittedWorkGoesFirst(t *testing.T) {
	runSession(t, func(b *cluster) {
		is := is.New(b.t)
		b.smallFleet("gw1")
		got := make(chan bool, 9)
		ask := func(prompt string, tokens int, deadline string) {
			r := b.ask("gw1", "POST", chatPath, chat(prompt, tokens, true), map[string]string{"Rudder-Deadline": deadline})
			got <- r.done && r.text == answerTo(prompt, tokens)
			b.t.Log(r.status, r.body, r.problem)
		}
		for i := range 8 { // one running and one queued at each engine
			go ask(longPrompt(fmt.Sprint("reconciliation ", i), 30_000), 400, "40s")
			time.Sleep(60 * time.Millisecond)
		}
		go ask(longPrompt("archive", groupTokens), 3000, "3m")
		for range 9 {
			is.True(<-got)
		}
		time.Sleep(time.Minute)
		b.requireMemoryFree()
	})
}

// slowestShortRequest sends a short request every 100 ms and returns the
// longest time to a whole answer.
func (b *cluster) slowestShortRequest(duration time.Duration) time.Duration {
	is := is.New(b.t)
	var slowest time.Duration
	for i := 0; time.Duration(i)*100*time.Millisecond < duration; i++ {
		began := time.Now()
		r := b.ask("gw1", "POST", chatPath, chat(longPrompt(fmt.Sprint("question ", i), 1000), 1, true), nil)
		is.True(r.done)
		took := time.Since(began)
		slowest = max(slowest, took)
		time.Sleep(100*time.Millisecond - took%(100*time.Millisecond))
	}
	return slowest
}

// TestMillionOverFourGolden records reserved and held memory during a prompt of
// a million tokens as the members' agents and engines report it.
func TestMillionOverFourGolden(t *testing.T) {
	runSession(t, func(b *cluster) {
		is := is.New(b.t)
		b.fleet(4)
		prompt := longPrompt("archive", 1_000_000)
		done := make(chan reply, 1)
		began := time.Now()
		go func() { done <- b.ask("gw1", "POST", chatPath, chat(prompt, 32, true), longDeadline) }()
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
		g.Assert(b.t, "million", []byte(dropRepeatedLines(out.String())))
	})
}

// memoryLine formats what each member has reserved and holds.
func (b *cluster) memoryLine() string {
	var out []string
	for _, name := range []string{"e1", "e2", "e3", "e4"} {
		mark := " "
		if b.runs(name) > 0 {
			mark = "*"
		}
		load := b.report(name).Load
		out = append(out, fmt.Sprintf("%s%s%4d%4d", name, mark, load.ReservedTokens/1000, b.heldTokens(name)/1000))
	}
	return strings.Join(out, "   ")
}

// report returns an agent's present report.
func (b *cluster) report(name string) *rudderv1.AgentReport {
	ctx, cancel := context.WithCancel(b.t.Context())
	defer cancel()
	stream, err := b.coordinatorClient(name).client.Subscribe(ctx, connect.NewRequest(&rudderv1.SubscribeRequest{}))
	if err != nil || !stream.Receive() {
		b.t.Fatal(err)
	}
	return stream.Msg()
}

// dropRepeatedLines keeps the lines that differ from the previous one in more
// than the time.
func dropRepeatedLines(lines string) string {
	var out []string
	last := ""
	for _, line := range strings.Split(lines, "\n") {
		if rest := line[min(len(line), 8):]; rest != last {
			out, last = append(out, line), rest
		}
	}
	return strings.Join(out, "\n") + "\n"
}

// TestGroupWithTicket: a long prompt with a ticket fetched in advance runs at
// the endpoint that the ticket names, and a second presentation gets the answer
// of the same run without forming another group.
func TestGroupWithTicket(t *testing.T) {
	runSession(t, func(b *cluster) {
		is := is.New(b.t)
		b.smallFleet("gw1", "gw2")
		r := b.ask("gw1", "POST", "/v1/tickets", fmt.Sprintf(`{"model":%q,"count":1,"prompt_tokens":%d}`, model, groupTokens), nil)
		is.Equal(r.status, 200)
		var batch struct{ Tickets []string }
		is.NoErr(json.Unmarshal([]byte(r.body), &batch))
		header := map[string]string{"Rudder-Ticket": batch.Tickets[0], "Rudder-Deadline": "3m"}
		prompt := longPrompt("archive", groupTokens)
		got := make(chan reply, 2)
		go func() { got <- b.ask("gw1", "POST", chatPath, chat(prompt, 500, true), header) }()
		time.Sleep(11 * time.Second) // while the answer is being generated
		go func() { got <- b.ask("gw2", "POST", chatPath, chat(prompt, 500, true), header) }()
		for range 2 {
			r := <-got
			is.Equal(r.problem, "")
			is.Equal(r.text, answerTo(prompt, 500))
		}
		ran := 0
		for _, e := range b.engines {
			ran += len(e.Executions())
		}
		is.Equal(ran, 1)
		time.Sleep(time.Minute)
		b.requireMemoryFree()
	})
}

// TestTicketOfLostEndpoint: when the endpoint that the ticket names cannot take
// its part, the request does not run and the error says "not run".
func TestTicketOfLostEndpoint(t *testing.T) {
	runSession(t, func(b *cluster) {
		is := is.New(b.t)
		b.smallFleet("gw1")
		r := b.ask("gw1", "POST", "/v1/tickets", fmt.Sprintf(`{"model":%q,"count":1,"prompt_tokens":%d}`, model, groupTokens), nil)
		var batch struct{ Tickets []string }
		is.NoErr(json.Unmarshal([]byte(r.body), &batch))
		for _, e := range b.engines {
			e.SetFaults(standengine.Faults{Refuse: true})
		}
		header := map[string]string{"Rudder-Ticket": batch.Tickets[0], "Rudder-Deadline": "3m"}
		r = b.ask("gw1", "POST", chatPath, chat(longPrompt("archive", groupTokens), 5, true), header)
		b.t.Log(r.status, r.body, r.problem)
		is.True(strings.Contains(r.body+r.problem, `"outcome":"not run"`))
		for _, e := range b.engines {
			e.SetFaults(standengine.Faults{})
		}
		time.Sleep(time.Minute)
		b.requireMemoryFree()
	})
}

// TestMemberLeaves: an agent that is drained while it is a member of a group
// serves its part until it ends.
func TestMemberLeaves(t *testing.T) {
	for _, member := range []string{"e1", "e2", "e4"} {
		t.Run(member, func(t *testing.T) {
			runSession(t, func(b *cluster) {
				is := is.New(b.t)
				b.smallFleet("gw1")
				prompt := longPrompt("archive", groupTokens)
				got := make(chan reply, 1)
				go func() {
					got <- b.ask("gw1", "POST", chatPath, chat(prompt, 20, true), map[string]string{"Rudder-Deadline": "3m"})
				}()
				time.Sleep(time.Second)
				is.NoErr(b.agents[member].Drain(b.t.Context()))
				is.Equal(b.heldTokens(member), uint64(0))
				b.agents[member].Close()
				r := <-got
				b.t.Log(r.status, r.body, r.problem, r.err)
				is.Equal(r.text, answerTo(prompt, 20))
				is.Equal(len(b.engines[member].State().Held), 0)
			})
		})
	}
}

// TestModelTakenFromMember: an order to unload a member's model waits for the
// group, whose run is still accepted; reservations for new groups are refused.
func TestModelTakenFromMember(t *testing.T) {
	runSession(t, func(b *cluster) {
		is := is.New(b.t)
		b.smallFleet("gw1")
		prompt := longPrompt("archive", groupTokens)
		got := make(chan reply, 1)
		go func() {
			got <- b.ask("gw1", "POST", chatPath, chat(prompt, 20, true), map[string]string{"Rudder-Deadline": "3m"})
		}()
		time.Sleep(time.Second)
		h := b.placerClient("e4")
		resp := h.place(h.permit(engine.Order{Kind: engine.OrderUnloadModel, Model: model, Version: "1"}))
		for range 100 { // an order from the placer itself may be in progress
			if resp.Accepted {
				break
			}
			time.Sleep(10 * time.Millisecond)
			resp = h.place(h.permit(engine.Order{Kind: engine.OrderUnloadModel, Model: model, Version: "1"}))
		}
		is.True(resp.Accepted)
		other, err := h.client.Reserve(b.t.Context(), connect.NewRequest(&rudderv1.ReserveRequest{Group: "other", Epoch: 1, Tokens: 1, Model: model}))
		is.NoErr(err)
		is.Equal(other.Msg.Code, uint32(result.EndpointRefused))
		r := <-got
		is.Equal(r.text, answerTo(prompt, 20))
		for len(b.engines["e4"].State().Models) > 0 {
			time.Sleep(time.Second)
		}
		is.Equal(len(b.engines["e4"].State().Held), 0)
	})
}
