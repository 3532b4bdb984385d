package soak

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
)

// recordTime is the layout of the times in records, the same as in the violations.
const recordTime = "15:04:05.000"

// WriteTo writes what a trace of the run needs to files in the folder to: the violations, the
// faults, and all requests with their runs at workers.
func (r *Report) WriteTo(to string) error {
	var requests strings.Builder
	for _, a := range r.requests {
		fmt.Fprintf(&requests, "%s %s id %s kind %s key %s gateway %s status %d abandoned %v err %v\n",
			a.sent.Format(recordTime), a.ended.Format(recordTime), a.id, a.kind, a.key, a.gateway, a.status, a.abandoned, a.err)
		for _, run := range r.ledger.Runs(a.id) {
			fmt.Fprintf(&requests, "    run at %s worker %s\n", run.At.Format(recordTime), run.Worker)
		}
	}
	return errors.Join(
		writeLines(to, "violations", r.Violations),
		writeLines(to, "faults", r.Faults),
		os.WriteFile(filepath.Join(to, "requests"), []byte(requests.String()), 0o600),
	)
}

func writeLines(dir, name string, lines []string) error {
	return os.WriteFile(filepath.Join(dir, name), []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// CopyLogs copies the gateways' logs from dir to the folder to, one file per gateway.
func CopyLogs(dir, to string) error {
	return filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Base(path) != "log" {
			return err
		}
		p, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(to, filepath.Base(filepath.Dir(path))+".log"), p, 0o600)
	})
}
