package relay

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/eventlog"
	"github.com/micarudder/micarudder/limits"
	"github.com/micarudder/micarudder/upstream"
)

const (
	// mostUnused is how long the users allow memory to stay set aside without use.
	mostUnused = 9 * time.Second
	// mostAfterUse is how long they allow it to stay after the last request that used it.
	mostAfterUse = 4 * time.Second
)

// memoryBench is a gateway before four engines under virtual time; a prompt of hugePrompt
// tokens needs the memory of two of them.
type memoryBench struct {
	gateway *Gateway
	engines *testEngines
}

const (
	engineMemory = 1000
	hugePrompt   = 1500
)

// newMemoryBench starts the gateway; it must be called in a synctest bubble.
func newMemoryBench(t *testing.T, play engineScript) *memoryBench {
	t.Helper()
	b := &memoryBench{engines: newTestEngines(play)}
	events := eventlog.New(io.Discard, eventlog.Options{Level: log.InfoLevel, LinesPerSecond: 100})
	b.gateway = New(Config{
		Name: "g", DrainTime: time.Minute, Policy: balance.Default(),
		Retries: limits.WindowConfig{Ratio: 0.2, Slack: 100, Window: 10 * time.Second},
	}, Deps{
		Protocol: testProtocol{}, Log: events, Metrics: metrics.NewSet(),
		Endpoints: upstream.New(upstream.Options{MaxIdle: time.Minute, IdlePerHost: 1, Dialer: b.engines.dial}),
	})
	t.Cleanup(func() { b.gateway.Close(); events.Close(time.Second) })
	config := testConfig(1)
	config.Services[0].Engine = &catalog.Engine{Slots: 16, MemoryTokens: engineMemory, StepMs: 1, ReadPerMs: 1, Stride: 1}
	for i := range config.Routes {
		config.Routes[i].Objective, config.Routes[i].Timeout = 4*time.Second, 15*time.Second
	}
	b.gateway.state.Take(config)
	var list []catalog.Endpoint
	for i := range 4 {
		list = append(list, catalog.Endpoint{ID: string(rune('a' + i)), Service: "s", Address: addressOf(i), Slots: 16, Born: 1})
	}
	b.gateway.state.Listed(list, time.Now(), time.Time{})
	return b
}

// ask sends a huge prompt on a route and returns the answer and how long it took.
func (b *memoryBench) ask(t *testing.T, route string) (*httptest.ResponseRecorder, time.Duration) {
	began := time.Now()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/"+route+"/1", strings.NewReader("x"))
	r.Host = "h.example"
	r.Header = http.Header{"Id": {"r1"}, "Key": {"k"}, "Tokens": {strconv.Itoa(hugePrompt)}, "Wait-Ms": {"15000"}}
	w := httptest.NewRecorder()
	func() {
		defer func() {
			if e := recover(); e != nil && e != http.ErrAbortHandler {
				panic(e)
			}
		}()
		b.gateway.ServeHTTP(w, r)
	}()
	return w, time.Since(began)
}

// wholeAnswer is what a caller of the scripts here gets.
const wholeAnswer = "id: 1\ndata: d1\n\nid: 2\ndata: d2\n\n"

// serveWhole uses the memory and answers.
func serveWhole(r *engineRun) {
	r.use(true)
	time.Sleep(time.Second)
	r.head()
	r.event(1)
	r.event(2)
	r.end()
}

// TestMemoryNobodyUses: memory was set aside at engines for over 13 s and no request used it,
// twice within a second; meanwhile over a tenth of the longest prompts was not served. Such a
// prompt needs the memory of several engines: the gateway sets it aside at all but the one that
// generates, sends the prompt there and renews it each second. Where that engine never began the
// prompt, or its answer was lost, the gateway went on renewing until its caller's time was
// over, since it took the wait for an answer for use. Evidence: reports of the engines that held
// the memory said "set aside, not used" from the first second to the fourteenth, while the one that was to
// generate had no such request in its queue and nothing to do.
func TestMemoryNobodyUses(t *testing.T) {
	first := func(play func(r *engineRun)) engineScript {
		return func(n int, r *engineRun) {
			if n == 1 {
				play(r)
				return
			}
			serveWhole(r)
		}
	}
	cases := []struct {
		name string
		play engineScript
		most time.Duration
	}{
		{"the engine never begins", first((*engineRun).hang), mostUnused},
		{"the answer is lost", first(func(r *engineRun) {
			r.use(true)
			time.Sleep(2 * time.Second)
			r.use(false)
			r.hang()
		}), mostAfterUse},
		{"the end of the stream is lost", first(func(r *engineRun) {
			r.use(true)
			time.Sleep(2 * time.Second)
			r.head()
			r.event(1)
			r.use(false)
			r.hang()
		}), mostAfterUse},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newMemoryBench(t, tc.play)
				w, took := b.ask(t, "stream")
				t.Logf("status %d after %v, %d sends", w.Code, took, b.engines.sends())
				time.Sleep(mostAfterUse)
				idle, left := b.engines.memory()
				is.True(idle <= tc.most) // memory stayed set aside unused for too long
				is.Equal(left, 0)
				is.Equal(b.engines.sends(), 2)
				is.Equal(w.Code, http.StatusOK) // from another engine, while its caller waits
				is.Equal(w.Body.String(), wholeAnswer)
			})
		})
	}
}

// TestSlowPromptKeepsItsMemory: a prompt that is read for long, or whose answer pauses, keeps
// its memory and its endpoint for as long as that says that it is used.
func TestSlowPromptKeepsItsMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newMemoryBench(t, func(_ int, r *engineRun) {
			time.Sleep(time.Second) // in the queue
			r.use(true)
			time.Sleep(8 * time.Second)
			r.head()
			r.event(1)
			time.Sleep(5 * time.Second)
			r.event(2)
			r.end()
		})
		w, _ := b.ask(t, "stream")
		is.Equal(w.Code, http.StatusOK)
		is.Equal(w.Body.String(), wholeAnswer)
		is.Equal(b.engines.sends(), 1)
		time.Sleep(time.Second)
		_, left := b.engines.memory()
		is.Equal(left, 0)
	})
}
