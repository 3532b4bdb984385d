// Command worth reads the logs of relaying gateways and says, by time and by the
// length of the prompts, what was asked for in engine seconds, what was answered in
// time, for what reason the rest was not, how much could have been, and how far the
// choice's expectation of the first event was from what came.
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

// valueTokens is how many prompt tokens are worth as much as one short request, as
// in balance.
const valueTokens = 10_000

type options struct {
	Log       []string `long:"log" required:"true" description:"log of a gateway; - is standard input; may be given again"`
	Endpoints int      `long:"endpoints" required:"true" description:"engines of the service"`
	ReadPerMs float64  `long:"read-per-ms" required:"true" description:"prompt tokens that an engine reads in a millisecond"`
	PairsPerM float64  `long:"pairs-per-m" required:"true" description:"milliseconds for a million pairs of tokens"`
	Seconds   int      `long:"window" default:"2" description:"width of a window in seconds"`
	HTML      string   `long:"html" description:"file for a page with charts"`
}

const limit = 5 * time.Minute

func main() { tool.Main("worth", limit, run) }

func run(_ context.Context, o options) error {
	if o.Endpoints <= 0 || o.ReadPerMs <= 0 || o.PairsPerM < 0 || o.Seconds <= 0 {
		return errors.New("--endpoints, --read-per-ms and --window must be above zero, --pairs-per-m not below")
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
	r := newReport(fleet{o.Endpoints, o.ReadPerMs, o.PairsPerM}, time.Duration(o.Seconds)*time.Second, collect(lines))
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
