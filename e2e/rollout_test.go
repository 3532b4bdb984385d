package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/engine"
	standengine "github.com/micarudder/micarudder/internal/standin/engine"
	"github.com/micarudder/micarudder/internal/standin/weights"
	"github.com/micarudder/micarudder/placement"
	"github.com/micarudder/micarudder/rudderv1"
)

// storeReaders can read a model's weights in loadTime together.
const storeReaders = 2

// answerTokens is the length of an answer.
const answerTokens = 40

// rollout is a data centre of engines under load while its model moves on.
type rollout struct {
	b       *bubble
	engines int
	store   *weights.Server
	floor   int
	stop    chan struct{}
	work    sync.WaitGroup

	mu       sync.Mutex
	lowest   int // copies that served at the same time
	problems []string
	answers  int
	reading  int    // downloads in progress
	readers  int    // most of them
	crashed  bool   // an engine was
	under    string // the name that callers ask under; empty: the model's
}

// newRollout starts n engines with one gateway, moving at most two at a time.
func newRollout(b *bubble, n, floor int) *rollout { return newRolloutOf(b, n, floor, false) }

func newRolloutOf(b *bubble, n, floor int, checksFencing bool) *rollout {
	r := &rollout{b: b, engines: n, floor: floor, stop: make(chan struct{}), lowest: n}
	store := weights.NewServer(weights.Config{BytesPerSecond: storeReaders * weightBytes / loadTime.Seconds(), DefaultBytes: weightBytes})
	b.serve(weightsAddr, r.counted(store.Handler()))
	r.store = store
	for i := range n {
		b.engine(engineName(i), func(c *standengine.Config) {
			b.fromStore(c)
			c.ChecksFencing = checksFencing
			c.Costs.Step = 30 * time.Millisecond // an answer takes more than a second
		})
	}
	b.doc.Models[0].Floor = uint32(floor)
	b.doc.Models[0].Replicas[dataCentre] = uint32(n)
	b.doc.Placement = &rudderv1.Placement{ConcurrentLoads: 2, MovingPercent: uint32(200/n + 1)}
	return r
}

func engineName(i int) string { return fmt.Sprintf("e%02d", i) }

// counted counts the downloads in progress.
func (r *rollout) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.mu.Lock()
		r.reading++
		r.readers = max(r.readers, r.reading)
		r.mu.Unlock()
		defer func() {
			r.mu.Lock()
			r.reading--
			r.mu.Unlock()
		}()
		next.ServeHTTP(w, q)
	})
}

// watch samples the copies that serve, and asks for answers all the time.
func (r *rollout) watch(callers bool) {
	r.work.Go(func() {
		for r.going(50 * time.Millisecond) {
			n := r.serving()
			r.mu.Lock()
			r.lowest = min(r.lowest, n)
			r.mu.Unlock()
		}
	})
	if !callers {
		return
	}
	for i := range 2 {
		r.work.Go(func() {
			for n := 0; r.going(time.Duration(400+i*150) * time.Millisecond); n++ {
				r.ask(fmt.Sprintf("caller %d question %d", i, n))
			}
		})
	}
}

func (r *rollout) going(pause time.Duration) bool {
	select {
	case <-r.stop:
		return false
	case <-time.After(pause):
		return true
	}
}

// serving counts the engines that hold the model.
func (r *rollout) serving() int {
	n := 0
	for _, e := range r.b.engines {
		if len(loaded(e.State())) > 0 {
			n++
		}
	}
	return n
}

func loaded(st engine.State) []string {
	var out []string
	for _, m := range st.Models {
		if !m.Loading {
			out = append(out, m.Version)
		}
	}
	return out
}

func (r *rollout) ask(prompt string) {
	body := chat(prompt, answerTokens, true)
	if r.under != "" {
		body = strings.Replace(body, model, r.under, 1)
	}
	got := r.b.ask("gw1", "POST", chatPath, body, nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers++
	if got.err != nil || !got.done || got.restart || got.text != answerTo(prompt, answerTokens) {
		r.problems = append(r.problems, fmt.Sprintf("%s: %v %d %s %s", prompt, got.err, got.status, got.problem, got.body))
	}
}

// await waits until every engine holds only the version and returns the time
// it took.
func (r *rollout) await(version string) time.Duration {
	r.b.t.Helper()
	began := time.Now()
	for range 3600 {
		if r.reached(version) {
			return time.Since(began)
		}
		time.Sleep(time.Second)
	}
	for name, e := range r.b.engines {
		r.b.t.Log(name, e.State().Models, r.b.hand(name).report())
	}
	r.b.t.Fatalf("version %s is not everywhere after an hour", version)
	return 0
}

func (r *rollout) reached(version string) bool {
	for _, e := range r.b.engines {
		if got := loaded(e.State()); len(got) != 1 || got[0] != version {
			return false
		}
	}
	return true
}

// end stops the callers and checks what must hold.
func (r *rollout) end() {
	r.b.t.Helper()
	close(r.stop)
	r.work.Wait()
	for _, p := range r.problems {
		r.b.t.Error(p)
	}
	if r.lowest < r.floor {
		r.b.t.Errorf("%d copies served, floor %d", r.lowest, r.floor)
	}
	if r.readers > 2 {
		r.b.t.Errorf("%d readers of the weight store", r.readers)
	}
	for name, e := range r.b.engines {
		if n := e.Counts().Died; n > 0 && !r.crashed {
			r.b.t.Errorf("%d runs were cut off at %s", n, name)
		}
		r.b.requireInTurn(name)
	}
}

// TestRollOut confirms a new version: it gets everywhere, no answer is cut
// off, and the floor holds.
func TestRollOut(t *testing.T) {
	for _, slots := range []uint32{1, 2} {
		t.Run(fmt.Sprintf("room for %d", slots), func(t *testing.T) {
			t.Parallel()
			run(t, func(b *bubble) {
				r := newRollout(b, 8, 6)
				b.slots(slots)
				b.gateway("gw1")
				b.gateway("gw2", "gw1")
				b.publish()
				r.watch(true)
				time.Sleep(10 * time.Second)
				b.nextVersion()
				b.publish()
				took := r.await("2")
				r.end()
				b.t.Logf("%d engines in %v, %d answers, lowest %d, most readers %d, %d orders", r.engines, took, r.answers, r.lowest, r.readers, len(b.orders))
			})
		})
	}
}

// TestAdaptersAreLoadedAndRouted declares an adapter, and later its next version.
func TestAdaptersAreLoadedAndRouted(t *testing.T) {
	run(t, func(b *bubble) {
		is := is.New(b.t)
		r := newRollout(b, 4, 3)
		b.gateway("gw1")
		b.publish()
		ask := func(name string) int {
			body := strings.Replace(chat("in style", 5, false), model, name, 1)
			return b.ask("gw1", "POST", chatPath, body, nil).status
		}
		is.Equal(ask("style"), 404)
		for _, version := range []string{"1", "2"} {
			b.doc = cloneDocument(b.doc)
			b.doc.Generation++
			b.doc.PlanId = "plan-style-" + version
			b.doc.Models[0].Adapters = []*rudderv1.Adapter{{Name: "style", Version: version, Weights: "style-" + version}}
			b.publish()
			time.Sleep(3 * time.Minute)
			for _, e := range b.engines {
				is.Equal(e.State().Models[0].Adapters, []string{placement.AdapterID("style", version)})
			}
			is.Equal(ask("style"), 200)
			is.Equal(ask("style@"+version), 200)
		}
		is.Equal(ask("style@1"), 503)
		is.Equal(ask(model+"@1"), 200)
		is.True(r.readers <= 2)
	})
}

// TestRolesFollowTheDocument changes an endpoint's role.
func TestRolesFollowTheDocument(t *testing.T) {
	run(t, func(b *bubble) {
		is := is.New(b.t)
		b.engine("a", nil)
		b.gateway("gw1")
		b.publish()
		b.doc = cloneDocument(b.doc)
		b.doc.Generation, b.doc.PlanId = 2, "plan-role"
		b.doc.Endpoints[0].Role = "prefill"
		b.publish()
		time.Sleep(20 * time.Second)
		is.Equal(b.engines["a"].State().Role, "prefill")
		is.Equal(len(b.seen("a")), 1)
	})
}

// TestAnswerKeepsItsVersion kills the endpoint of an answer in its middle
// while two versions are served: it goes on under the version that it began
// under, or begins again where nobody serves that any more.
func TestAnswerKeepsItsVersion(t *testing.T) {
	for _, other := range []string{"1", "2"} {
		run(t, func(b *bubble) {
			is := is.New(b.t)
			b.engine("a", nil)
			b.gateway("gw1")
			b.doc.Models[0].Floor = 100 // nothing is unloaded
			b.publish()
			answer := make(chan reply, 1)
			go func() { answer <- b.ask("gw1", "POST", chatPath, chat("two versions", 200, true), nil) }()
			time.Sleep(time.Second)
			b.engine("b", func(c *standengine.Config) { c.Models = []string{model + "@2"} })
			b.engine("c", func(c *standengine.Config) { c.Models = []string{model + "@" + other} })
			b.doc = cloneDocument(b.doc)
			b.doc.Generation, b.doc.PlanId = 2, "plan-2"
			b.publish()
			b.kill(agentAddr("a"))
			got := <-answer
			is.Equal(got.text, answerTo("two versions", 200))
			is.True(got.done)
			is.Equal(got.restart, other == "2")
			is.True(other == "2" || len(b.engines["c"].Executions()) == 1)
		})
	}
}

// TestAdapterServedDuringRollOut: an adapter stays reachable while its model
// moves to the next version, however few may load at once.
func TestAdapterServedDuringRollOut(t *testing.T) {
	for _, loads := range []uint32{1, 2} {
		t.Run(fmt.Sprintf("%d loads", loads), func(t *testing.T) {
			t.Parallel()
			run(t, func(b *bubble) {
				is := is.New(b.t)
				r := newRollout(b, 6, 3)
				b.doc.Placement.ConcurrentLoads, b.doc.Placement.MovingPercent = loads, 50
				b.doc.Models[0].Adapters = []*rudderv1.Adapter{{Name: "style", Version: "1", Weights: "style-1"}}
				b.gateway("gw1")
				b.publish()
				time.Sleep(3 * time.Minute)
				r.under = "style"
				r.watch(true)
				b.nextVersion()
				b.publish()
				r.await("2")
				time.Sleep(3 * time.Minute)
				for _, e := range b.engines {
					is.Equal(e.State().Models[0].Adapters, []string{styleOne})
				}
				r.end()
			})
		})
	}
}
