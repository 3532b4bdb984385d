package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	callEvery    = 50 * time.Millisecond
	callDeadline = 15 * time.Second
	callPause    = 200 * time.Millisecond
)

// calls sends unrepeatable calls to the plain services, each with a ticket,
// and asks again under the same ticket when no answer comes.
type calls struct {
	s       *stage
	http    *http.Client
	mu      sync.Mutex
	ended   map[string]string // call path to its end
	presses int
}

func newCalls(s *stage) *calls {
	return &calls{s: s, http: &http.Client{Timeout: callDeadline}, ended: make(map[string]string)}
}

// run sends calls until ctx ends and waits for their ends.
func (c *calls) run(ctx context.Context) {
	var wg sync.WaitGroup
	tick := time.NewTicker(callEvery)
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			wg.Wait()
			return
		case <-tick.C:
			wg.Go(func() { c.one(i) })
		}
	}
}

func (c *calls) one(i int) {
	path := fmt.Sprintf("/positions/%d", i)
	ctx, cancel := context.WithTimeout(context.Background(), callDeadline)
	defer cancel()
	end := c.present(ctx, i, path)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended[path] = end
}

// present asks, through one gateway after the other, until an outcome is known.
func (c *calls) present(ctx context.Context, i int, path string) string {
	ticket := ""
	for n := 0; ctx.Err() == nil; n++ {
		gw := c.s.fleet.Gateways[(i+n)%len(c.s.fleet.Gateways)]
		if ticket == "" {
			ticket = c.ticket(ctx, gw)
		} else if end := c.call(ctx, gw, path, ticket); end != "" {
			return end
		}
		if n > 0 || ticket == "" {
			time.Sleep(callPause)
		}
	}
	return "lost"
}

// ticket fetches one ticket; empty when the gateway cannot be reached.
func (c *calls) ticket(ctx context.Context, gw string) string {
	body, ok := c.do(ctx, gw+"/v1/tickets", `{"count":1,"service":"`+serviceName+`"}`, "")
	var got struct{ Tickets []string }
	if !ok || json.Unmarshal(body, &got) != nil || len(got.Tickets) == 0 {
		return ""
	}
	return got.Tickets[0]
}

// call returns how the call ended, or nothing when no word came.
func (c *calls) call(ctx context.Context, gw, path, ticket string) string {
	c.mu.Lock()
	c.presses++
	c.mu.Unlock()
	body, ok := c.do(ctx, gw+"/services/"+serviceName+path, `{"mw":5}`, ticket)
	var p struct {
		Code          int
		Outcome, Path string
	}
	switch {
	case !ok || json.Unmarshal(body, &p) != nil:
		return ""
	case p.Path == path:
		return "answered"
	case p.Outcome != "":
		return p.Outcome
	default:
		return ""
	}
}

// do posts and returns the whole body; false when it did not arrive.
func (c *calls) do(ctx context.Context, url, body, ticket string) ([]byte, bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, false
	}
	req.Header.Set("Authorization", "Bearer demo-positions")
	if ticket != "" {
		req.Header.Set("Rudder-Ticket", ticket)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, false
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	return got, err == nil
}

// tally is the verdict over the calls, from callers and executors.
type tally struct{ answered, refused, unknown, lost, doubled, wrong int }

// judge joins the ends with the services' records of executions.
func (c *calls) judge(ctx context.Context) (tally, error) {
	ran := make(map[string]int)
	for _, url := range c.s.executors {
		if err := executions(ctx, url, ran); err != nil {
			return tally{}, err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var t tally
	for path, end := range c.ended {
		n := ran[path]
		if n > 1 {
			t.doubled++
		}
		switch {
		case end == "answered" && n == 1:
			t.answered++
		case end == "not run" && n == 0:
			t.refused++
		case end == "may have run", end == "ran":
			t.unknown++
		case end == "lost":
			t.lost++
		default:
			t.wrong++
		}
	}
	return t, nil
}

// executions adds one service's executions by path.
func executions(ctx context.Context, url string, ran map[string]int) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/executions", nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	var got struct {
		ByCall map[string]int `json:"by_call"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&got); err != nil {
		return err
	}
	for call, n := range got.ByCall {
		if fields := strings.Fields(call); len(fields) > 1 {
			ran[fields[1]] += n
		}
	}
	return nil
}
