// Package eventlog writes structured log lines without blocking its caller. Lines pass through
// a bounded queue to one writer; lines that exceed the queue or the rate limit are dropped,
// counted and reported.
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
	// queueLines is the capacity of the queue.
	queueLines = 1024
	// reportInterval is the interval at which dropped lines are reported.
	reportInterval = 5 * time.Second
)

// Options configures a Log.
type Options struct {
	Prefix         string
	LinesPerSecond float64 // sustained rate of request lines; 0 drops all of them
	Level          log.Level
	Format         log.Formatter
}

// Log is a bounded structured log. Its methods may be called concurrently.
type Log struct {
	logger     *log.Logger
	limiter    *rate.Limiter
	queue      chan []byte
	unreported atomic.Uint64 // lines dropped since the last report
	dropped    atomic.Uint64 // lines dropped in total
	closing    chan struct{}
	done       chan struct{}
	once       sync.Once
}

// New returns a Log that writes to w until Close.
func New(w io.Writer, o Options) *Log {
	l := &Log{
		limiter: rate.NewLimiter(rate.Limit(o.LinesPerSecond), int(o.LinesPerSecond)),
		queue:   make(chan []byte, queueLines),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	l.logger = log.NewWithOptions(queueWriter{l}, log.Options{
		Prefix: o.Prefix, Level: o.Level, Formatter: o.Format,
		ReportTimestamp: true, TimeFormat: time.RFC3339Nano,
	})
	go l.write(w)
	return l
}

// Logger returns the underlying logger, for lines about the process itself. They are limited
// by the queue, not by the rate.
func (l *Log) Logger() *log.Logger { return l.logger }

// Request logs one decision about a request; it counts against the rate limit.
func (l *Log) Request(msg string, keyvals ...any) {
	if !l.limiter.Allow() {
		l.countDropped()
		return
	}
	l.logger.Info(msg, keyvals...)
}

// Dropped returns the number of lines dropped since the start.
func (l *Log) Dropped() uint64 { return l.dropped.Load() }

// Close writes the queued lines and stops the writer; it waits for at most d, also if nobody reads what is written.
func (l *Log) Close(d time.Duration) {
	l.once.Do(func() { close(l.closing) })
	select {
	case <-l.done:
	case <-time.After(d):
	}
}

func (l *Log) countDropped() {
	l.unreported.Add(1)
	l.dropped.Add(1)
}

// write writes lines from the queue to w. Errors of w are ignored: there is nowhere to report
// them, and the process must continue.
func (l *Log) write(w io.Writer) {
	defer close(l.done)
	buffered := bufio.NewWriter(w)
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	for {
		select {
		case <-l.closing:
			l.writeQueued(buffered)
			return
		case line := <-l.queue:
			_, _ = buffered.Write(line)
			if len(l.queue) == 0 {
				_ = buffered.Flush()
			}
		case <-report.C:
			if n := l.unreported.Swap(0); n > 0 {
				l.logger.Warn("Lines were left out of this log.", "lines", n)
			}
		}
	}
}

// writeQueued writes what is in the queue.
func (l *Log) writeQueued(buffered *bufio.Writer) {
	for {
		select {
		case line := <-l.queue:
			_, _ = buffered.Write(line)
		default:
			_ = buffered.Flush()
			return
		}
	}
}

// queueWriter passes formatted lines to the writer without blocking.
type queueWriter struct{ log *Log }

func (q queueWriter) Write(p []byte) (int, error) {
	line := make([]byte, len(p))
	copy(line, p)
	select {
	case q.log.queue <- line:
	default:
		q.log.countDropped()
	}
	return len(p), nil
}
