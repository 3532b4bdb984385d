// Command ci prints the known failures and plays them, and writes the pattern that leaves them out of
// the run of all tests. It fails if an entry does not belong on the list.
package main

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"time"

	"github.com/micarudder/micarudder/internal/knownred"
	"github.com/micarudder/micarudder/internal/tool"
)

// maxTime bounds the plays of all entries.
const maxTime = 45 * time.Minute

type options struct {
	List string `long:"list" default:"KNOWN-RED.txt" description:"list of known failures; it may be missing"`
	Skip string `long:"skip-file" required:"true" description:"file to write the pattern for go test's -skip to"`
}

func main() { tool.Main("knownred", maxTime, run) }

func run(ctx context.Context, o options) error {
	entries, err := read(o.List)
	if err != nil {
		return err
	}
	var wrong []error
	for _, e := range entries {
		if e.Rare {
			fmt.Println("known failure that no test provokes yet, played by hand:", e.Text)
			continue
		}
		fmt.Println("known failure, left out:", e.Text)
		result := knownred.Play(ctx, ".", e)
		fmt.Printf("  played: passed %d times, then failed: %v\n", result.Passed, result.Failed)
		wrong = append(wrong, result.Check(e))
	}
	if err := errors.Join(wrong...); err != nil {
		return err
	}
	return os.WriteFile(o.Skip, []byte(knownred.Skip(entries)), 0o600)
}

func read(list string) ([]knownred.Entry, error) {
	f, err := os.Open(list)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return knownred.Parse(f)
}
