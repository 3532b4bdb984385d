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

// calls sends non-repeatable calls to the plain services, each with a ticket,
// and presents a call again with the same ticket if no outcome arrives.
type calls struct {
	inst          *installation
	http          *http.Client
	mu            sync.Mutex
	outcomes      map[string]string // outcome by call path
	presentations int
}

func newCalls(s *installation) *calls {
	return &calls{inst: s, http: &http.Client{Timeout: callDeadline}, outcomes: make(map[string]string)}
}

// run sends calls until ctx ends and waits until all have ended.
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
			wg.Go(func() { c.runCall(i) })
		}
	}
}

func (c *calls) runCall(i int) {
	path := fmt.Sprintf("/positions/%d", i)
	ctx, cancel := context.WithTimeout(context.Background(), callDeadline)
	defer cancel()
	outcome := c.present(ctx, i, path)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[path] = outcome
}

// present presents a call to the gateways in turn until its outcome is known.
func (c *calls) present(ctx context.Context, i int, path string) string {
	ticket := ""
	for n := 0; ctx.Err() == nil; n++ {
		gw := c.inst.fleet.Gateways[(i+n)%len(c.inst.fleet.Gateways)]
		if ticket == "" {
			ticket = c.ticket(ctx, gw)
		} else if outcome := c.call(ctx, gw, path, ticket); outcome != "" {
			return outcome
		}
		if n > 0 || ticket == "" {
			time.Sleep(callPause)
		}
	}
	return "lost"
}

// ticket fetches one ticket. It returns "" if the gateway returns none.
func (c *calls) ticket(ctx context.Context, gw string) string {
	body, ok := c.do(ctx, gw+"/v1/tickets", `{"count":1,"service":"`+serviceName+`"}`, "")
	var got struct{ Tickets []string }
	if !ok || json.Unmarshal(body, &got) != nil || len(got.Tickets) == 0 {
		return ""
	}
	return got.Tickets[0]
}

// call presents a call once and returns its outcome, or "" if none arrived.
func (c *calls) call(ctx context.Context, gw, path, ticket string) string {
	c.mu.Lock()
	c.presentations++
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

// do sends a POST request and returns the response body. It returns false if the
// complete body did not arrive.
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

// tally counts the calls by their outcome, from the records of callers and
// executors.
type tally struct{ answered, refused, unknown, lost, doubled, inconsistent int }

// evaluate joins the outcomes with the services' execution records.
func (c *calls) evaluate(ctx context.Context) (tally, error) {
	ran := make(map[string]int)
	for _, url := range c.inst.executors {
		if err := executions(ctx, url, ran); err != nil {
			return tally{}, err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var t tally
	for path, outcome := range c.outcomes {
		n := ran[path]
		if n > 1 {
			t.doubled++
		}
		switch {
		case outcome == "answered" && n == 1:
			t.answered++
		case outcome == "not run" && n == 0:
			t.refused++
		case outcome == "may have run", outcome == "ran":
			t.unknown++
		case outcome == "lost":
			t.lost++
		default:
			t.inconsistent++
		}
	}
	return t, nil
}

// executions adds the executions of one service to ran, by call path.
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
