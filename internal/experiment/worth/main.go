// Command worth analyzes the logs of relaying gateways. By time window and by
// prompt length it reports the demand in engine seconds, the worth of requests
// answered in time, the reasons for which the rest was not, and an upper bound of
// what was possible. It also compares the time to first event expected when the
// endpoint was chosen with the measured one.
package main

import (
	"context"
	"errors"
	"io"
	"os"
	"slices"
	"time"

	"github.com/micarudder/micarudder/eventlog"
	"github.com/micarudder/micarudder/internal/tool"
)

type options struct {
	Log       []string `long:"log" required:"true" description:"log of a gateway; - is standard input; may be given again"`
	Endpoints int      `long:"endpoints" required:"true" description:"engines of the service"`
	ReadPerMs float64  `long:"read-per-ms" required:"true" description:"prompt tokens that an engine reads in a millisecond"`
	PairsPerM float64  `long:"pairs-per-m" required:"true" description:"milliseconds for a million pairs of tokens"`
	Kinds     []string `long:"kind" description:"what a kind of request is worth, as PAUSE_MS:WORTH:TOKENS with the pause that its route allows; may be given again; without, by length"`
	Seconds   int      `long:"window" default:"2" description:"width of a window in seconds"`
	HTML      string   `long:"html" description:"file for a page with charts"`
}

const limit = 5 * time.Minute

func main() { tool.Main("worth", limit, run) }

func run(_ context.Context, o options) error {
	if o.Endpoints <= 0 || o.ReadPerMs <= 0 || o.PairsPerM < 0 || o.Seconds <= 0 {
		return errors.New("--endpoints, --read-per-ms and --window must be greater than zero, --pairs-per-m must not be negative")
	}
	var lines []eventlog.Line
	for _, name := range o.Log {
		read, err := readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	slices.SortStableFunc(lines, func(a, b eventlog.Line) int { return a.At.Compare(b.At) })
	v, err := parseKinds(o.Kinds)
	if err != nil {
		return err
	}
	r := newReport(fleet{o.Endpoints, o.ReadPerMs, o.PairsPerM}, v, time.Duration(o.Seconds)*time.Second, collect(lines))
	if o.HTML != "" {
		if err := writePage(o.HTML, r); err != nil {
			return err
		}
	}
	return r.text(os.Stdout)
}

func readLog(name string) ([]eventlog.Line, error) {
	if name == "-" {
		return eventlog.Read(name, os.Stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return eventlog.Read(name, f)
}

func writePage(name string, r *report) error {
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	return errors.Join(r.html(io.Writer(f)), f.Close())
}
