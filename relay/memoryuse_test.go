package relay

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
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
	gateway   *Gateway
	engines   *testEngines
	suspended atomic.Int64 // how long the gateway's host was suspended, in nanoseconds
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
		Name: "g", UnusedMemory: mostUnused, DrainTime: time.Minute, Policy: balance.Default(),
		Retries: limits.WindowConfig{Ratio: 0.2, Slack: 100, Window: 10 * time.Second},
	}, Deps{
		Protocol: testProtocol{}, Log: events, Metrics: metrics.NewSet(),
		Suspended: func() time.Duration { return time.Duration(b.suspended.Load()) },
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
	b.gateway.state.Listed(list, time.Now(), time.Now(), time.Time{})
	return b
}

// ask sends a huge prompt on a route and returns the answer and how long it took.
func (b *memoryBench) ask(t *testing.T, route string) (*httptest.ResponseRecorder, time.Duration) {
	began := time.Now()
	w := httptest.NewRecorder()
	b.askInto(t, route, w)
	return w, time.Since(began)
}

// askInto does so with a caller of the test's own.
func (b *memoryBench) askInto(t *testing.T, route string, w http.ResponseWriter) {
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/"+route+"/1", strings.NewReader("x"))
	r.Host = "h.example"
	r.Header = http.Header{"Id": {"r1"}, "Key": {"k"}, "Tokens": {strconv.Itoa(hugePrompt)}, "Wait-Ms": {"15000"}}
	defer func() {
		if e := recover(); e != nil && e != http.ErrAbortHandler {
			panic(e)
		}
	}()
	b.gateway.ServeHTTP(w, r)
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
				t.Logf("status %d after %v, %d sends, unused for %v", w.Code, took, b.engines.sends(), b.engines.longest())
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

// TestSlowPromptKeepsItsMemory: a prompt that waits in a queue that moves, is read for long, or
// whose answer pauses, keeps its memory and its endpoint.
func TestSlowPromptKeepsItsMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newMemoryBench(t, func(_ int, r *engineRun) {
			r.queue(4500 * time.Millisecond)
			r.use(true)
			time.Sleep(5 * time.Second)
			r.head()
			r.event(1)
			time.Sleep(4 * time.Second)
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

// TestUnusedMemoryWithoutReports: where no endpoint answers whether its memory is used, a prompt
// that brings nothing does not keep it for longer than the users allow either.
func TestUnusedMemoryWithoutReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newMemoryBench(t, func(n int, r *engineRun) {
			if n == 1 {
				r.hang()
				return
			}
			serveWhole(r)
		})
		b.engines.noReports = true
		w, _ := b.ask(t, "stream")
		time.Sleep(mostAfterUse)
		idle, left := b.engines.memory()
		is.True(idle <= mostUnused)
		is.Equal(left, 0)
		is.Equal(w.Code, http.StatusOK)
		is.Equal(w.Body.String(), wholeAnswer)
	})
}

// TestStreamKeepsItsMemoryWithoutReports: the events of a stream prove that its memory is used,
// whether or not endpoints answer.
func TestStreamKeepsItsMemoryWithoutReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const events = 13
		b := newMemoryBench(t, func(_ int, r *engineRun) {
			r.use(true)
			r.head()
			for id := range events {
				r.event(id + 1)
				time.Sleep(time.Second)
			}
			r.end()
		})
		b.engines.noReports = true
		w, _ := b.ask(t, "stream")
		is.Equal(strings.Count(w.Body.String(), "data: "), events)
		is.Equal(b.engines.sends(), 1)
	})
}

// TestUnusedMemoryOfAPromptThatMayRunOnce: the caller of a prompt that must not be sent again
// hears when its endpoint does not use the memory that it may have run, and does not wait for the end of its time.
func TestUnusedMemoryOfAPromptThatMayRunOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newMemoryBench(t, func(_ int, r *engineRun) { r.hang() })
		w, took := b.ask(t, "story")
		is.Equal(w.Code, http.StatusBadGateway)
		is.True(took <= mostUnused)
		is.Equal(b.engines.sends(), 1)
		time.Sleep(time.Second)
		idle, left := b.engines.memory()
		is.True(idle <= mostUnused)
		is.Equal(left, 0)
	})
}

// slowCaller is a caller that does not read for a while after the first event.
type slowCaller struct {
	*httptest.ResponseRecorder
	pause time.Duration
}

// Write implements io.Writer.
func (c *slowCaller) Write(p []byte) (int, error) {
	n, err := c.ResponseRecorder.Write(p)
	time.Sleep(c.pause)
	c.pause = 0
	return n, err
}

// TestAnswerThatWaitsForItsCaller: the run is over and its memory unused while its caller does
// not read. The memory goes back; the rest of the answer, which is ready, still goes out.
func TestAnswerThatWaitsForItsCaller(t *testing.T) {
	for _, route := range []string{"stream", "story"} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := newMemoryBench(t, func(_ int, r *engineRun) {
				r.use(true)
				r.head()
				r.event(1)
				r.use(false) // the rest lies ready in the connection
				r.event(2)
				r.end()
			})
			w := &slowCaller{httptest.NewRecorder(), 8 * time.Second}
			b.askInto(t, route, w)
			is.Equal(w.Body.String(), wholeAnswer)
			is.Equal(b.engines.sends(), 1)
			idle, left := b.engines.memory()
			is.True(idle <= mostAfterUse)
			is.Equal(left, 0)
		})
	}
}

// TestSuspendedGatewayDoesNotSetMemoryAsideAnew: a gateway whose host stood still for longer than
// its memory is held does not renew it: the endpoint has ended the request with it, and a
// renewal would set it aside for nobody.
func TestSuspendedGatewayDoesNotSetMemoryAsideAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newMemoryBench(t, nil)
		b.engines.used = true
		first, _ := b.gateway.state.Endpoint("a")
		memory, err := b.gateway.reserve(t.Context(), "r", &place{reserve: []wantedMemory{{first, 100}}})
		is.NoErr(err)
		time.Sleep(renewEvery + renewEvery/2)
		reserved, _ := b.engines.orders()
		is.Equal(reserved, 2)
		b.suspended.Add(int64(holdTime))
		time.Sleep(2 * renewEvery)
		reserved, released := b.engines.orders()
		is.Equal(reserved, 2)
		is.Equal(released, 1)
		is.True(memory.unused())
		memory.end()
	})
}

// TestMemoryUse holds when memory counts as used, and what follows. Times are seconds after
// it was set aside.
func TestMemoryUse(t *testing.T) {
	at := func(seconds float64) time.Time {
		return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
	}
	const (
		used   = 'u' // by a part of the answer, or by an endpoint's word
		idle   = 'i' // an endpoint says that it is not, and nothing waits
		queued = 'q' // ... and something waits where it is to be used
		silent = 's' // no answer
	)
	type answer struct {
		at   float64
		kind rune
	}
	every := func(from, to float64, kind rune) (out []answer) {
		for s := from; s <= to; s++ {
			out = append(out, answer{s, kind})
		}
		return out
	}
	cases := []struct {
		name    string
		answers []answer
		back    float64 // when it is given back; 0: not in 20 s
	}{
		{"nobody answers", every(1, 20, silent), 6},
		{"never begun", every(1, 20, idle), 3},
		{"in the queue for ever", every(1, 20, queued), 6},
		{"in the queue, and begun", append(every(1, 4, queued), every(5, 20, used)...), 0},
		{"in the queue, and lost there", append(every(1, 2, queued), every(3, 20, idle)...), 5},
		{"begun while the report lags", append(append(every(1, 3, queued), answer{4, idle}), every(5, 20, used)...), 0},
		{"read for long", every(1, 20, used), 0},
		{"over, and the answer lost", append(every(1, 4, used), every(5, 20, idle)...), 6},
		{"over, and others wait there", append(every(1, 4, used), every(5, 20, queued)...), 6},
		{"put off and read anew", append(append(every(1, 4, used), answer{5, idle}), every(6, 20, used)...), 0},
		{"over, and nobody answers", append(every(1, 4, used), every(5, 20, silent)...), 10},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			u := newMemoryUse(newUseLimits(mostUnused), at(0))
			back := 0.0
			for _, a := range tc.answers {
				asked := at(a.at + 0.001)
				if u.next(asked) == giveBack {
					back = a.at
					break
				}
				if a.kind == used {
					u.prove(asked)
				}
				if (a.kind == idle || a.kind == queued) && u.unused(asked, a.kind == queued) {
					back = a.at
					break
				}
			}
			if back != tc.back {
				t.Errorf("given back after %v s, want %v", back, tc.back)
			}
		})
	}
}

// TestAskUse: endpoints are asked only where an answer brings nothing, and an answer that an
// event has overtaken counts for nothing.
func TestAskUse(t *testing.T) {
	is := is.New(t)
	began := time.Now()
	u := newMemoryUse(newUseLimits(mostUnused), began)
	is.Equal(u.next(began.Add(askUseAfter/2)), keepMemory)
	is.Equal(u.next(began.Add(askUseAfter)), askUse)
	u.prove(began.Add(5 * time.Second))
	is.Equal(u.next(began.Add(5*time.Second+askUseAfter/2)), keepMemory)
	is.True(!u.unused(began.Add(4*time.Second), false))
	is.Equal(u.unproved(began.Add(6*time.Second)), time.Second)
}

// TestUseLimits: with what a lost release leaves, memory is unused no longer than is allowed.
func TestUseLimits(t *testing.T) {
	for most := 5 * time.Second; most < time.Minute; most += time.Second {
		l := newUseLimits(most)
		if l.queued+holdTime > most || l.lost >= l.queued {
			t.Errorf("%v: %+v", most, l)
		}
	}
}

// TestQuestionsGoRound: an endpoint that does not answer hides nothing for long.
func TestQuestionsGoRound(t *testing.T) {
	is := is.New(t)
	u := newMemoryUse(newUseLimits(mostUnused), time.Now())
	for _, want := range []int{0, 1, 2, 0} {
		is.Equal(u.question(3), want)
	}
}
