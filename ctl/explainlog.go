package ctl

import (
	"bufio"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/gravitational/trace"

	"github.com/micarudder/micarudder/result"
)

const (
	// beliefTime is how long before a request lines about what its gateway
	// believed are shown; a proof of the configuration is refused when older.
	beliefTime = 10 * time.Second
	// maxLogLine bounds a line of a log.
	maxLogLine = 1 << 20
)

// logLine is one line of a gateway's log.
type logLine struct {
	Source string            `json:"source"` // the file
	At     time.Time         `json:"at"`
	Text   string            `json:"text"`
	Fields map[string]string `json:"-"`
}

// beliefs are the messages that tell what a gateway believes.
var beliefs = map[string]bool{
	"Configuration in force.": true, "Dependency lost.": true, "Dependency regained.": true, "Endpoint changed.": true, "Endpoint suspect.": true,
	"Started.": true, "Stop begun.": true, "Stopped.": true, "Settings read again.": true, "Lines were left out of this log.": true,
}

// explainLogs shows what the logs say of a request.
func (c *explainCommand) explainLogs() error {
	var lines []logLine
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
func readLog(name string, stdin io.Reader) ([]logLine, error) {
	if name == "-" {
		return parseLog(name, stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer f.Close()
	return parseLog(name, f)
}

// parseLog reads the lines that carry a time; what else stands in a log is
// passed over.
func parseLog(name string, r io.Reader) ([]logLine, error) {
	var out []logLine
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLogLine)
	for in.Scan() {
		text := in.Text()
		begin := strings.Index(text, "time=")
		if begin < 0 {
			continue
		}
		fields := parseFields(text[begin:])
		at, err := time.Parse(time.RFC3339Nano, fields["time"])
		if err != nil {
			continue
		}
		out = append(out, logLine{Source: name, At: at, Text: text, Fields: fields})
	}
	return out, trace.Wrap(in.Err(), "%s", name)
}

func parseFields(text string) map[string]string {
	out := make(map[string]string)
	d := logfmt.NewDecoder(strings.NewReader(text))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			out[string(d.Key())] = string(d.Value())
		}
	}
	return out
}

// tellRequest returns the request's lines, and what its gateways believed before
// and while they had it, in the order of their times.
func tellRequest(lines []logLine, request string) []logLine {
	type stretch struct{ from, to time.Time }
	had := make(map[string]stretch) // by log
	endpoints := make(map[string]bool)
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
		for _, id := range strings.Fields(strings.Trim(l.Fields["tried"], "[]") + " " + l.Fields["endpoint"]) {
			endpoints[id] = true
		}
	}
	var out []logLine
	for _, l := range lines {
		s, ok := had[l.Source]
		near := ok && !l.At.Before(s.from.Add(-beliefTime)) && !l.At.After(s.to)
		about := l.Fields["endpoint"]
		if l.Fields["request"] == request || near && beliefs[l.Fields["msg"]] && (about == "" || endpoints[about]) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b logLine) int { return a.At.Compare(b.At) })
	return out
}
