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

// storeReaders is the number of engines that can read a model's weights in
// loadTime concurrently.
const storeReaders = 2

// answerTokens is the length of an answer.
const answerTokens = 40

// rollout is a data centre of engines under load whose model moves to a new
// version.
type rollout struct {
	b       *cluster
	engines int
	store   *weights.Server
	floor   int
	stop    chan struct{}
	wg      sync.WaitGroup

	mu             sync.Mutex
	minServing     int // lowest number of replicas that served at the same time
	problems       []string
	answers        int
	downloads      int    // downloads in progress
	maxDownloads   int    // highest number of concurrent downloads
	crashed        bool   // an engine was crashed on purpose
	requestedModel string // model name in the callers' requests; empty: the base model
}

// newRollout starts n engines, of which at most two move to a new version at a
// time.
func newRollout(b *cluster, n, floor int) *rollout { return newRolloutOf(b, n, floor, false) }

func newRolloutOf(b *cluster, n, floor int, checksFencing bool) *rollout {
	r := &rollout{b: b, engines: n, floor: floor, stop: make(chan struct{}), minServing: n}
	store := weights.NewServer(weights.Config{BytesPerSecond: storeReaders * weightBytes / loadTime.Seconds(), DefaultBytes: weightBytes})
	b.serve(weightsAddr, r.countDownloads(store.Handler()))
	r.store = store
	for i := range n {
		b.engine(engineName(i), func(c *standengine.Config) {
			b.useWeightStore(c)
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

// countDownloads wraps the weight store's handler and counts the downloads in
// progress.
func (r *rollout) countDownloads(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.mu.Lock()
		r.downloads++
		r.maxDownloads = max(r.maxDownloads, r.downloads)
		r.mu.Unlock()
		defer func() {
			r.mu.Lock()
			r.downloads--
			r.mu.Unlock()
		}()
		next.ServeHTTP(w, q)
	})
}

// watch samples the number of serving replicas and, with callers, sends
// requests all the time.
func (r *rollout) watch(callers bool) {
	r.wg.Go(func() {
		for r.tick(50 * time.Millisecond) {
			n := r.serving()
			r.mu.Lock()
			r.minServing = min(r.minServing, n)
			r.mu.Unlock()
		}
	})
	if !callers {
		return
	}
	for i := range 2 {
		r.wg.Go(func() {
			for n := 0; r.tick(time.Duration(400+i*150) * time.Millisecond); n++ {
				r.ask(fmt.Sprintf("caller %d question %d", i, n))
			}
		})
	}
}

func (r *rollout) tick(pause time.Duration) bool {
	select {
	case <-r.stop:
		return false
	case <-time.After(pause):
		return true
	}
}

// serving counts the engines that have a model loaded.
func (r *rollout) serving() int {
	n := 0
	for _, e := range r.b.engines {
		if len(loadedVersions(e.State())) > 0 {
			n++
		}
	}
	return n
}

func loadedVersions(st engine.State) []string {
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
	if r.requestedModel != "" {
		body = strings.Replace(body, model, r.requestedModel, 1)
	}
	answer := r.b.ask("gw1", "POST", chatPath, body, nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers++
	if answer.err != nil || !answer.done || answer.restart || answer.text != answerTo(prompt, answerTokens) {
		r.problems = append(r.problems, fmt.Sprintf("%s: %v, status %d %s %s", prompt, answer.err, answer.status, answer.problem, answer.body))
	}
}

// await waits until every engine holds only the version and returns the time
// that it took.
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
		r.b.t.Log(name, e.State().Models, r.b.placerClient(name).report())
	}
	r.b.t.Fatalf("version %s is not loaded on every engine after an hour", version)
	return 0
}

func (r *rollout) reached(version string) bool {
	for _, e := range r.b.engines {
		if got := loadedVersions(e.State()); len(got) != 1 || got[0] != version {
			return false
		}
	}
	return true
}

// finish stops the callers and checks the invariants of a rollout.
func (r *rollout) finish() {
	r.b.t.Helper()
	close(r.stop)
	r.wg.Wait()
	for _, p := range r.problems {
		r.b.t.Error(p)
	}
	if r.minServing < r.floor {
		r.b.t.Errorf("%d replicas served, below the floor of %d", r.minServing, r.floor)
	}
	if r.maxDownloads > 2 {
		r.b.t.Errorf("%d concurrent readers of the weight store, more than 2", r.maxDownloads)
	}
	for name, e := range r.b.engines {
		if n := e.Counts().Died; n > 0 && !r.crashed {
			r.b.t.Errorf("%d runs were cut off at %s", n, name)
		}
		r.b.requireSequentialOrders(name)
	}
}

// TestRollOut accepts a new version: it reaches every engine, no answer is cut
// off, and the floor holds.
func TestRollOut(t *testing.T) {
	for _, slots := range []uint32{1, 2} {
		t.Run(fmt.Sprintf("room for %d", slots), func(t *testing.T) {
			t.Parallel()
			runSession(t, func(b *cluster) {
				r := newRollout(b, 8, 6)
				b.setMaxModels(slots)
				b.gateway("gw1")
				b.gateway("gw2", "gw1")
				b.publish()
				r.watch(true)
				time.Sleep(10 * time.Second)
				b.nextVersion()
				b.publish()
				took := r.await("2")
				r.finish()
				b.t.Logf("%d engines in %v, %d answers, fewest serving replicas %d, most concurrent readers %d, %d orders", r.engines, took, r.answers, r.minServing, r.maxDownloads, len(b.orderLog))
			})
		})
	}
}

// TestAdaptersAreLoadedAndRouted declares an adapter and later its next
// version; each is loaded and requests for it are served.
func TestAdaptersAreLoadedAndRouted(t *testing.T) {
	runSession(t, func(b *cluster) {
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
		is.True(r.maxDownloads <= 2)
	})
}

// TestRolesFollowTheDocument changes an endpoint's role in the document; the
// engine gets one order to follow it.
func TestRolesFollowTheDocument(t *testing.T) {
	runSession(t, func(b *cluster) {
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
		is.Equal(len(b.ordersAt("a")), 1)
	})
}

// TestAnswerKeepsItsVersion kills the agent of an answer in the middle while
// two versions are served: the answer continues under the version that it began
// with, or begins again if no engine serves that version any more.
func TestAnswerKeepsItsVersion(t *testing.T) {
	for _, other := range []string{"1", "2"} {
		runSession(t, func(b *cluster) {
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

// TestAdapterServedDuringRollOut: an adapter stays available while its model
// moves to the next version, however few loads are allowed at once.
func TestAdapterServedDuringRollOut(t *testing.T) {
	for _, loads := range []uint32{1, 2} {
		t.Run(fmt.Sprintf("%d loads", loads), func(t *testing.T) {
			t.Parallel()
			runSession(t, func(b *cluster) {
				is := is.New(b.t)
				r := newRollout(b, 6, 3)
				b.doc.Placement.ConcurrentLoads, b.doc.Placement.MovingPercent = loads, 50
				b.doc.Models[0].Adapters = []*rudderv1.Adapter{{Name: "style", Version: "1", Weights: "style-1"}}
				b.gateway("gw1")
				b.publish()
				time.Sleep(3 * time.Minute)
				r.requestedModel = "style"
				r.watch(true)
				b.nextVersion()
				b.publish()
				r.await("2")
				time.Sleep(3 * time.Minute)
				for _, e := range b.engines {
					is.Equal(e.State().Models[0].Adapters, []string{styleOne})
				}
				r.finish()
			})
		})
	}
}
