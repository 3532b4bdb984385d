package eventlog

import (
	"bufio"
	"io"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/gravitational/trace"
)

// maxLine is the maximum length of a line that is read.
const maxLine = 1 << 20

// Line is one line of a process's log.
type Line struct {
	Source string            `json:"source"` // name of the log
	At     time.Time         `json:"at"`
	Text   string            `json:"text"`
	Fields map[string]string `json:"-"`
}

// Read returns the lines of a log that have a timestamp and skips all others. It returns an
// error if reading fails.
func Read(source string, r io.Reader) ([]Line, error) {
	var out []Line
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLine)
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
		out = append(out, Line{Source: source, At: at, Text: text, Fields: fields})
	}
	return out, trace.Wrap(in.Err(), "%s", source)
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
