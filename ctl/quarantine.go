package ctl

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/micarudder/micarudder/quarantine"
	"github.com/micarudder/micarudder/relay"
	"github.com/micarudder/micarudder/result"
)

// quarantineCommand lists the requests under which endpoints crashed, as recorded by relaying
// gateways, or clears one of them.
type quarantineCommand struct {
	app   *app
	Relay []string `long:"relay" value-name:"IP:PORT" description:"peer address of a relaying gateway; may be repeated, and the first one that answers is asked"`
	Clear string   `long:"clear" value-name:"FINGERPRINT" description:"let this request be sent again, at all gateways"`
}

// Execute implements flags.Commander.
func (c *quarantineCommand) Execute([]string) error {
	if len(c.Relay) == 0 {
		return usageError("--relay is needed")
	}
	if c.Clear != "" {
		if _, err := quarantine.ParseFingerprint(c.Clear); err != nil {
			return usageError(err.Error())
		}
		_, err := c.requestFromAny(http.MethodDelete, relay.PathQuarantine+"/"+c.Clear)
		return err
	}
	body, err := c.requestFromAny(http.MethodGet, relay.PathQuarantine)
	if err != nil {
		return err
	}
	var list []quarantine.Listing
	if err := json.Unmarshal(body, &list); err != nil {
		return trace.Wrap(err)
	}
	if c.app.JSON {
		return c.app.writeJSON(list)
	}
	for _, l := range list {
		state := "is sent"
		if l.ForMs > 0 {
			state = "not sent for " + (time.Duration(l.ForMs) * time.Millisecond).Round(time.Second).String()
		}
		kind := ""
		if l.Part {
			kind = "  part of prompts"
		}
		c.app.printf("%s  crashed before answering %d, while answering %d  %s%s\n", l.Fingerprint, l.CrashedBefore, l.CrashedWithin, state, kind)
	}
	return nil
}

// requestFromAny sends the request to the gateways in turn until one answers.
func (c *quarantineCommand) requestFromAny(method, path string) ([]byte, error) {
	var lastErr error
	for _, address := range c.Relay {
		body, status, err := c.app.callRelay(method, address, path)
		switch {
		case err != nil:
			lastErr = err
		case status == http.StatusNotFound:
			return nil, result.New(result.UnknownRun, "nothing stands against the request")
		case status != http.StatusOK:
			lastErr = fmt.Errorf("%s answered with status %d", address, status)
		default:
			return body, nil
		}
	}
	return nil, result.New(result.PlatformAway, "no relaying gateway answered: "+lastErr.Error())
}
