// Package eventlog writes structured log lines without ever holding up its
// caller: lines go through a bounded queue to one writer, and what does not fit
// the queue or the rate is counted and reported instead of written.
package eventlog

import (
	"bufio"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"
)

const (
	// queueLines is the number of lines that wait for the writer.
	queueLines = 1024
	// reportEvery is how often left-out lines are reported.
	reportEvery = 5 * time.Second
)

// Options configures a Log.
type Options struct {
	Prefix         string
	LinesPerSecond float64 // sustained rate of request lines; 0 leaves them all out
	Level          log.Level
	Format         log.Formatter
}

// Log is a bounded structured log. Its methods may be called concurrently.
type Log struct {
	logger  *log.Logger
	limiter *rate.Limiter
	queue   chan []byte
	left    atomic.Uint64 // lines left out since the last report
	total   atomic.Uint64 // lines left out in all
	done    chan struct{}
	once    sync.Once
}

// New returns a Log that writes to w until Close.
func New(w io.Writer, o Options) *Log {
	l := &Log{
		limiter: rate.NewLimiter(rate.Limit(o.LinesPerSecond), int(o.LinesPerSecond)),
		queue:   make(chan []byte, queueLines),
		done:    make(chan struct{}),
	}
	l.logger = log.NewWithOptions(queueWriter{l}, log.Options{
		Prefix: o.Prefix, Level: o.Level, Formatter: o.Format,
		ReportTimestamp: true, TimeFormat: time.RFC3339Nano,
	})
	go l.write(w)
	return l
}

// Logger returns the underlying logger, for lines about the process itself.
// They are bounded by the queue, not by the rate.
func (l *Log) Logger() *log.Logger { return l.logger }

// Request logs one decision about a request; it counts against the rate.
func (l *Log) Request(msg string, keyvals ...any) {
	if !l.limiter.Allow() {
		l.leaveOut()
		return
	}
	l.logger.Info(msg, keyvals...)
}

// LeftOut returns how many lines were not written since the start.
func (l *Log) LeftOut() uint64 { return l.total.Load() }

// Close writes what is queued and ends the writer; it waits for at most d.
func (l *Log) Close(d time.Duration) {
	l.once.Do(func() { l.queue <- nil })
	select {
	case <-l.done:
	case <-time.After(d):
	}
}

func (l *Log) leaveOut() {
	l.left.Add(1)
	l.total.Add(1)
}

// write moves lines from the queue to w. An error of w ends nothing: there is
// nowhere to report it, and the process must go on.
func (l *Log) write(w io.Writer) {
	defer close(l.done)
	buffered := bufio.NewWriter(w)
	report := time.NewTicker(reportEvery)
	defer report.Stop()
	for {
		select {
		case line := <-l.queue:
			if line == nil {
				_ = buffered.Flush()
				return
			}
			_, _ = buffered.Write(line)
			if len(l.queue) == 0 {
				_ = buffered.Flush()
			}
		case <-report.C:
			if n := l.left.Swap(0); n > 0 {
				l.logger.Warn("Lines were left out of this log.", "lines", n)
			}
		}
	}
}

// queueWriter hands formatted lines to the writer without blocking.
type queueWriter struct{ log *Log }

func (q queueWriter) Write(p []byte) (int, error) {
	line := make([]byte, len(p))
	copy(line, p)
	select {
	case q.log.queue <- line:
	default:
		q.log.leaveOut()
	}
	return len(p), nil
}
