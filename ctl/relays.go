package ctl

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/micarudder/micarudder/peers"
	"github.com/micarudder/micarudder/relay"
	"github.com/micarudder/micarudder/result"
)

// relaysCommand shows what relaying gateways know of the store.
type relaysCommand struct {
	app   *app
	Relay []string `long:"relay" value-name:"IP:PORT" description:"peer address of a relaying gateway; may be repeated"`
}

// relayState is the state of one relaying gateway.
type relayState struct {
	Relay string
	relay.GatewayState
	Error string `json:",omitempty"` // why there is no state
}

// Execute implements flags.Commander.
func (c *relaysCommand) Execute([]string) error {
	if len(c.Relay) == 0 {
		return usageError("--relay is needed")
	}
	states := make([]relayState, len(c.Relay))
	failed := 0
	for i, address := range c.Relay {
		states[i] = c.state(address)
		if states[i].Error != "" {
			failed++
		}
	}
	if err := c.print(states); err != nil {
		return err
	}
	if failed > 0 {
		return result.New(result.PlatformAway, "some relaying gateways did not answer")
	}
	return nil
}

func (c *relaysCommand) state(address string) relayState {
	s := relayState{Relay: address}
	body, status, err := c.app.callRelay(http.MethodGet, address, relay.PathState)
	switch {
	case err != nil:
		s.Error = err.Error()
	case status != http.StatusOK:
		s.Error = http.StatusText(status)
	default:
		if err := json.Unmarshal(body, &s.GatewayState); err != nil {
			s.Error = err.Error()
		}
	}
	return s
}

func (c *relaysCommand) print(states []relayState) error {
	if c.app.JSON {
		return c.app.writeJSON(states)
	}
	for _, s := range states {
		if s.Error != "" {
			c.app.printf("%s  no answer: %s\n", s.Relay, s.Error)
			continue
		}
		evacuated := "none"
		if len(s.Evacuations.DataCentres) > 0 {
			evacuated = strings.Join(s.Evacuations.DataCentres, ", ")
		}
		c.app.printf("%s  configuration %d, proved %s ago; endpoints read %s ago; evacuated: %s\n", s.Relay, s.Version, age(s.AgeMs), age(s.EndpointsAgeMs), evacuated)
		if s.ConfigurationProblem != "" {
			c.app.printf("%s  the newest configuration entry cannot be used: %s\n", s.Relay, s.ConfigurationProblem)
		}
	}
	return nil
}

// age formats an age in milliseconds; one that is negative or very long is not known.
func age(ms int64) string {
	if ms < 0 || ms >= peers.MaxAge.Milliseconds() {
		return "long"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}

// relayTimeout limits the call to one gateway, so that the next one can be tried.
const relayTimeout = 2 * time.Second

// maxListBytes limits a gateway's response, which lists up to 4,096 requests of about 120 bytes each.
const maxListBytes = 1 << 20

// callRelay sends a request to the peer address of a relaying gateway.
func (a *app) callRelay(method, address, path string) (body []byte, status int, err error) {
	ctx, cancel := context.WithTimeout(a.ctx, relayTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return nil, 0, trace.Wrap(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, 0, trace.Wrap(err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err = io.ReadAll(io.LimitReader(res.Body, maxListBytes))
	return body, res.StatusCode, trace.Wrap(err)
}
