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
	// contextPeriod is the time before a request for which contextMessages of its
	// gateways are shown. Older proofs of the configuration are refused.
	contextPeriod = 10 * time.Second
)

// contextMessages are the messages that describe a gateway's view of the system.
var contextMessages = map[string]bool{
	"Configuration in force.": true, "Dependency lost.": true, "Dependency regained.": true, "Endpoint changed.": true, "Endpoint suspect.": true,
	"Started.": true, "Stop begun.": true, "Stopped.": true, "Settings read again.": true, "Lines were left out of this log.": true,
	"Endpoint crashed.": true, "Host was suspended.": true,
}

// relatedMessages are the messages about other requests with the same fingerprint that are shown too,
// since they determine whether the request is sent.
var relatedMessages = map[string]bool{"Exchange broke.": true, "Request quarantined.": true, "Request cleared.": true}

// explainLogs shows the log lines that are relevant to the request.
func (c *explainCommand) explainLogs() error {
	lines, err := readLogs(c.Logs, c.app.Stdin)
	if err != nil {
		return err
	}
	related := requestLines(lines, c.Args.Request)
	if len(related) == 0 {
		return result.New(result.UnknownRun, "the logs have no line of request "+c.Args.Request)
	}
	if c.app.JSON {
		return c.app.writeJSON(related)
	}
	for _, l := range related {
		c.app.printf("%s: %s\n", l.Source, l.Text)
	}
	return nil
}

// readLogs reads several logs.
func readLogs(names []string, stdin io.Reader) ([]eventlog.Line, error) {
	var lines []eventlog.Line
	for _, name := range names {
		read, err := readLog(name, stdin)
		if err != nil {
			return nil, err
		}
		lines = append(lines, read...)
	}
	return lines, nil
}

// readLog reads one log; the name "-" means standard input.
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

// requestLines returns the lines of the request, the context lines of its gateways
// from shortly before and during the request, and the related lines of requests with
// the same fingerprint, ordered by time.
func requestLines(lines []eventlog.Line, request string) []eventlog.Line {
	type interval struct{ from, to time.Time }
	intervals := make(map[string]interval) // of the request's lines, by log
	endpoints := make(map[string]bool)
	fingerprints := make(map[string]bool)
	for _, l := range lines {
		if l.Fields["request"] != request {
			continue
		}
		s, ok := intervals[l.Source]
		if !ok {
			s = interval{l.At, l.At}
		}
		if l.At.Before(s.from) {
			s.from = l.At
		}
		if l.At.After(s.to) {
			s.to = l.At
		}
		intervals[l.Source] = s
		fingerprints[l.Fields["fingerprint"]] = true
		for _, id := range strings.Fields(strings.Trim(l.Fields["tried"], "[]") + " " + l.Fields["endpoint"]) {
			endpoints[id] = true
		}
	}
	delete(fingerprints, "") // lines without a fingerprint
	var out []eventlog.Line
	for _, l := range lines {
		s, ok := intervals[l.Source]
		inContext := ok && !l.At.Before(s.from.Add(-contextPeriod)) && !l.At.After(s.to)
		endpoint := l.Fields["endpoint"]
		if l.Fields["request"] == request || inContext && contextMessages[l.Fields["msg"]] && (endpoint == "" || endpoints[endpoint]) ||
			relatedMessages[l.Fields["msg"]] && fingerprints[l.Fields["fingerprint"]] {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b eventlog.Line) int { return a.At.Compare(b.At) })
	return out
}
