package e2e

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/internal/fleet"
	"github.com/micarudder/micarudder/internal/standin/answer"
	standengine "github.com/micarudder/micarudder/internal/standin/engine"
)

const (
	signalsPort = 22000
	// signalTokens is the length of an answer that takes about half a second.
	signalTokens = 50
)

// signalTest is an installation of real processes with the present request of
// one caller.
type signalTest struct {
	t      *testing.T
	f      *fleet.Fleet
	tag    string
	ticket string
}

// ask presents the request's ticket at a gateway and calls begun at the first
// part of the answer. It returns the text, the problem document and whether the
// answer is whole.
func (s *signalTest) ask(gateway int, deadline time.Duration, begun func()) (string, problemDoc, bool) {
	ctx, cancel := context.WithTimeout(s.t.Context(), deadline+5*time.Second)
	defer cancel()
	resp, err := s.send(ctx, gateway, "POST", chatPath, chat(answer.Tag(s.tag), signalTokens, true), deadline)
	if err != nil {
		return "", problemDoc{}, false
	}
	defer func() { _ = resp.Body.Close() }()
	var r reply
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		raw, _ := io.ReadAll(resp.Body)
		r.body = string(raw)
		return "", r.parsedProblem(), false
	}
	in := bufio.NewReader(resp.Body)
	if _, err := in.Peek(1); err == nil && begun != nil {
		begun()
	}
	r.err = r.readEvents(in)
	return r.text, r.parsedProblem(), r.done && r.err == nil
}

func (s *signalTest) send(ctx context.Context, gateway int, method, path, body string, deadline time.Duration) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, s.f.Gateways[gateway]+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+bearer)
	req.Header.Set("Rudder-Ticket", s.ticket)
	req.Header.Set("Rudder-Deadline", deadline.String())
	return http.DefaultClient.Do(req)
}

// newRequest fetches a ticket for a new request.
func (s *signalTest) newRequest(tag string) {
	s.tag, s.ticket = tag, ""
	resp, err := s.send(s.t.Context(), 1, "POST", "/v1/tickets", onceTicket, time.Second)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var out struct{ Tickets []string }
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil || len(out.Tickets) != 1 {
		s.t.Fatalf("cannot fetch a ticket: %v %v", err, out)
	}
	s.ticket = out.Tickets[0]
}

// runs counts the executions of the request at the engines.
func (s *signalTest) runs() int {
	n := 0
	for _, url := range s.f.Engines {
		resp, err := http.Get(url + "/executions")
		if err != nil {
			s.t.Fatal(err)
		}
		var c standengine.Counts
		err = json.NewDecoder(resp.Body).Decode(&c)
		_ = resp.Body.Close()
		if err != nil {
			s.t.Fatal(err)
		}
		n += c.ByTag[s.tag]
	}
	return n
}

// TestSignals kills, freezes and thaws real processes during an unrepeatable
// request that its caller presents at two gateways.
func TestSignals(t *testing.T) {
	s := &signalTest{t: t, f: startFleet(t, fleet.Config{
		BasePort: signalsPort, DataCentres: []string{"hall-petrzalka"}, Engines: 1, Gateways: 2, Policy: "default", Models: []string{model},
		Workspaces: []fleet.Workspace{{Name: "bid-desk", Key: bearer, Weight: 1}}, MemoryTokens: 450_000, MaxRunning: 8,
	})}
	want := func() string { return answerTo(answer.Tag(s.tag), signalTokens) }
	gateway, agent := s.f.Group.Get(fleet.GatewayName(0)), s.f.Group.Get(fleet.AgentName(0))

	t.Run("gateway frozen and thawed", func(t *testing.T) {
		is := is.New(t)
		s.newRequest("frozen-gateway")
		done := make(chan struct{})
		frozen := make(chan error, 1)
		go func() {
			defer close(done)
			s.ask(0, 5*time.Second, func() { frozen <- gateway.Freeze() })
		}()
		is.NoErr(<-frozen)
		text, _, whole := s.ask(1, 10*time.Second, nil)
		is.True(whole)
		is.Equal(text, want())
		is.NoErr(gateway.Thaw())
		<-done
		is.Equal(s.runs(), 1)
	})
	t.Run("agent frozen and thawed", func(t *testing.T) {
		is := is.New(t)
		s.newRequest("frozen-agent")
		is.NoErr(agent.Freeze())
		began := time.Now()
		_, p, whole := s.ask(1, 2*time.Second, nil)
		is.True(!whole)
		is.Equal(p.Outcome, "may have run")
		is.True(time.Since(began) < 4*time.Second)
		is.NoErr(agent.Thaw())
		last := s.voidUntilAnswered()
		is.True(s.runs() <= 1)
		if last.Outcome == "not run" {
			is.Equal(s.runs(), 0)
		}
	})
	t.Run("gateway killed", func(t *testing.T) {
		is := is.New(t)
		s.newRequest("killed-gateway")
		s.ask(0, 5*time.Second, func() { is.NoErr(gateway.Kill()) })
		text, _, whole := s.ask(1, 10*time.Second, nil)
		is.True(whole)
		is.Equal(text, want())
		is.Equal(s.runs(), 1)
	})
	t.Run("agent killed", func(t *testing.T) {
		is := is.New(t)
		s.newRequest("killed-agent")
		_, p, whole := s.ask(1, 5*time.Second, func() { is.NoErr(agent.Kill()) })
		is.True(!whole)
		is.True(p.Outcome != "not run")
		_, err := s.f.Group.Start(agent.Spec())
		is.NoErr(err)
		is.NoErr(s.f.Group.Get(fleet.AgentName(0)).WaitReady(t.Context()))
		is.True(s.voidUntilAnswered().Outcome != "not run")
		is.Equal(s.runs(), 1)
	})
}

// voidUntilAnswered voids the request repeatedly until a gateway reaches its
// agent, and returns the answer.
func (s *signalTest) voidUntilAnswered() problemDoc {
	for {
		resp, err := s.send(s.t.Context(), 1, "DELETE", "/v1/runs/"+s.ticket, "", time.Second)
		if err != nil {
			s.t.Fatal(err)
		}
		var p problemDoc
		err = json.NewDecoder(resp.Body).Decode(&p)
		_ = resp.Body.Close()
		if err == nil && p.Code != 4002 {
			return p
		}
		time.Sleep(50 * time.Millisecond)
	}
}
