package ctl

import (
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/micarudder/micarudder/eventlog"
	"github.com/micarudder/micarudder/result"
)

const (
	// beliefTime is how long before a request lines about what its gateway
	// believed are shown; a proof of the configuration is refused when older.
	beliefTime = 10 * time.Second
)

// beliefs are the messages that tell what a gateway believes.
var beliefs = map[string]bool{
	"Configuration in force.": true, "Dependency lost.": true, "Dependency regained.": true, "Endpoint changed.": true, "Endpoint suspect.": true,
	"Started.": true, "Stop begun.": true, "Stopped.": true, "Settings read again.": true, "Lines were left out of this log.": true,
	"Endpoint crashed.": true, "Host was suspended.": true,
}

// copies are the messages about other copies of the same work that are shown too: whether
// it is sent depends on them.
var copies = map[string]bool{"Exchange broke.": true, "Request quarantined.": true, "Request cleared.": true}

// explainLogs shows what the logs say of a request.
func (c *explainCommand) explainLogs() error {
	var lines []eventlog.Line
	for _, name := range c.Logs {
		read, err := readLog(name, c.app.Stdin)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	story := tellRequest(lines, c.Args.Request)
	if len(story) == 0 {
		return result.New(result.UnknownRun, "the logs have no line of request "+c.Args.Request)
	}
	if c.app.JSON {
		return c.app.writeJSON(story)
	}
	for _, l := range story {
		c.app.printf("%s: %s\n", l.Source, l.Text)
	}
	return nil
}

// readLog reads one log; the name - stands for standard input.
func readLog(name string, stdin io.Reader) ([]eventlog.Line, error) {
	if name == "-" {
		return eventlog.Read(name, stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer f.Close()
	return eventlog.Read(name, f)
}

// tellRequest returns the request's lines, and what its gateways believed before
// and while they had it, in the order of their times.
func tellRequest(lines []eventlog.Line, request string) []eventlog.Line {
	type stretch struct{ from, to time.Time }
	had := make(map[string]stretch) // by log
	endpoints := make(map[string]bool)
	fingerprints := make(map[string]bool)
	for _, l := range lines {
		if l.Fields["request"] != request {
			continue
		}
		s, ok := had[l.Source]
		if !ok {
			s = stretch{l.At, l.At}
		}
		if l.At.Before(s.from) {
			s.from = l.At
		}
		if l.At.After(s.to) {
			s.to = l.At
		}
		had[l.Source] = s
		fingerprints[l.Fields["fingerprint"]] = true
		for _, id := range strings.Fields(strings.Trim(l.Fields["tried"], "[]") + " " + l.Fields["endpoint"]) {
			endpoints[id] = true
		}
	}
	delete(fingerprints, "") // most requests need none
	var out []eventlog.Line
	for _, l := range lines {
		s, ok := had[l.Source]
		near := ok && !l.At.Before(s.from.Add(-beliefTime)) && !l.At.After(s.to)
		about := l.Fields["endpoint"]
		if l.Fields["request"] == request || near && beliefs[l.Fields["msg"]] && (about == "" || endpoints[about]) ||
			copies[l.Fields["msg"]] && fingerprints[l.Fields["fingerprint"]] {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b eventlog.Line) int { return a.At.Compare(b.At) })
	return out
}
