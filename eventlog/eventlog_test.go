package eventlog

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
)

// lockedBuffer is a buffer that may be read while it is written.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func options(perSecond float64) Options {
	return Options{Prefix: "p", LinesPerSecond: perSecond, Level: log.InfoLevel, Format: log.LogfmtFormatter}
}

func TestLinesAreWritten(t *testing.T) {
	is := is.New(t)
	var out lockedBuffer
	l := New(&out, options(10))
	l.Request("Chosen.", "request", "r1")
	l.Logger().Warn("Lost.", "dependency", "store")
	l.Close(time.Minute)
	is.True(strings.Contains(out.String(), `msg=Chosen. request=r1`))
	is.True(strings.Contains(out.String(), `msg=Lost. dependency=store`))
}

// TestRateIsBounded checks that lines above the rate limit are dropped and that their number
// is reported.
func TestRateIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out lockedBuffer
		l := New(&out, options(5))
		for range 20 {
			l.Request("Chosen.")
		}
		is.Equal(l.Dropped(), uint64(15))
		time.Sleep(reportInterval + time.Millisecond)
		synctest.Wait()
		is.True(strings.Contains(out.String(), "lines=15"))
		l.Close(time.Minute)
		is.Equal(strings.Count(out.String(), "Chosen."), 5)
	})
}

// TestBlockedWriterDropsLines checks that Request does not block when the log's output blocks.
func TestBlockedWriterDropsLines(t *testing.T) {
	is := is.New(t)
	r, w := io.Pipe() // nobody reads: each write blocks
	l := New(w, options(1e9))
	for range 2 * queueLines {
		l.Request("Chosen.")
	}
	// The queue is full, and the writer holds a buffer of a few dozen lines.
	is.True(l.Dropped() >= queueLines/2)
	is.True(l.Dropped() <= queueLines)
	_ = r.Close()
	l.Close(time.Minute)
}

// BenchmarkRequest measures a line as long as the one at the end of a request.
func BenchmarkRequest(b *testing.B) {
	l := New(io.Discard, options(1e9))
	for b.Loop() {
		l.Request("Request ended.", "request", "a0dc01f2b3", "outcome", "answered", "route", "r-2yhvz3p", "version", 7,
			"proof_age_ms", 384, "attempts", 1, "unsent", 0, "tried", []string{"i-014ee1cfba"}, "first_ms", 120, "gap_ms", 60, "ms", 1800, "err", nil)
	}
	l.Close(time.Minute)
}

// TestCloseWithoutReader guards against a process that does not exit because nobody reads its log: the queue is full, and
// the writer waits.
func TestCloseWithoutReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r, w := io.Pipe()
		l := New(w, options(0))
		for range 2 * queueLines {
			l.Logger().Info("A line.")
		}
		began := time.Now()
		l.Close(200 * time.Millisecond)
		is.Equal(time.Since(began), 200*time.Millisecond)
		_ = r.Close() // the writer ends
	})
}
