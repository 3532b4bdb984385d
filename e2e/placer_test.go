package e2e

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

// placerFreezeTime is how long a placer is frozen; the lease expires meanwhile.
const placerFreezeTime = 25 * time.Second

// permitBatchTime is the time within which the permits of one round are sent.
const permitBatchTime = 100 * time.Millisecond

// frozenPlacer holds back the permits of one placer, beginning with its next
// one, as if it had been paused right after its decision.
type frozenPlacer struct {
	b       *cluster
	gateway string
	thaw    chan struct{} // closed at the end of the freeze

	mu    sync.Mutex
	began time.Time
	held  int
	codes []result.Code // results of the permits held back
}

func (b *cluster) freezePlacer() *frozenPlacer {
	f := &frozenPlacer{b: b, gateway: b.placer(), thaw: make(chan struct{})}
	b.setPlaceHook(f.place)
	return f
}

func (f *frozenPlacer) place(next http.Handler, w http.ResponseWriter, r *http.Request) {
	raw, _ := io.ReadAll(r.Body)
	var req rudderv1.PlaceRequest
	_ = proto.Unmarshal(raw, &req)
	r.Body = io.NopCloser(bytes.NewReader(raw))
	if req.Gateway != f.gateway || req.Kind == "" {
		next.ServeHTTP(w, r)
		return
	}
	select {
	case <-f.thaw:
		next.ServeHTTP(w, r)
		return
	default:
	}
	if !f.hold() {
		panic(http.ErrAbortHandler)
	}
	<-f.thaw
	recorder := httptest.NewRecorder()
	next.ServeHTTP(recorder, r.WithContext(context.WithoutCancel(r.Context())))
	var resp rudderv1.PlaceResponse
	if err := proto.Unmarshal(recorder.Body.Bytes(), &resp); err != nil || recorder.Code != http.StatusOK {
		f.b.t.Errorf("permit after the thaw: status %d, %v", recorder.Code, err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.codes = append(f.codes, result.Code(resp.Code))
}

// hold begins the freeze with the first permit and reports whether the present
// permit was already in flight then: a frozen process sends no more.
func (f *frozenPlacer) hold() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.began.IsZero() {
		f.began = time.Now()
		f.b.partition(f.gateway, platformAddr)
	}
	if time.Since(f.began) > permitBatchTime {
		return false
	}
	f.held++
	return true
}

// await waits until the freeze has lasted placerFreezeTime.
func (f *frozenPlacer) await() {
	for {
		time.Sleep(100 * time.Millisecond)
		f.mu.Lock()
		over := !f.began.IsZero() && time.Since(f.began) >= placerFreezeTime
		f.mu.Unlock()
		if over {
			return
		}
	}
}

// TestFrozenPlacerDoesNothing freezes the placer with permits in flight.
// Another gateway takes over, and the permits that arrive after the thaw are
// refused, under the same generation and under a later one.
func TestFrozenPlacerDoesNothing(t *testing.T) {
	for _, newGeneration := range []bool{false, true} {
		runSession(t, func(b *cluster) {
			is := is.New(b.t)
			r := newRollout(b, 6, 4)
			b.gateway("gw1")
			b.gateway("gw2", "gw1")
			b.publish()
			r.watch(false)
			b.nextVersion()
			b.publish()
			time.Sleep(6 * time.Second)
			f := b.freezePlacer()
			f.await()
			is.True(b.placer() != f.gateway)
			if newGeneration {
				b.nextVersion()
				b.publish()
			}
			close(f.thaw)
			r.await(b.doc.Models[0].Version)
			r.finish()
			f.mu.Lock()
			defer f.mu.Unlock()
			is.True(f.held > 0)
			is.Equal(len(f.codes), f.held)
			for _, c := range f.codes {
				// Refused as late or outdated, not as invalid in the present
				// state.
				is.True(c == result.OrderExpired || c == result.FenceOld || c == result.OldGeneration || c == result.OrderInProgress)
			}
		})
	}
}

// TestUnloadWaitsForGroups: the unload of a model waits until a group's
// reservation for it has expired, and no new group can reserve meanwhile.
func TestUnloadWaitsForGroups(t *testing.T) {
	runSession(t, func(b *cluster) {
		is := is.New(b.t)
		b.engine("a", nil)
		h := b.placerClient("a")
		h.offer()
		h.await()
		reserve := func(group string) *rudderv1.ReserveResponse {
			resp, err := h.client.Reserve(b.t.Context(), connect.NewRequest(&rudderv1.ReserveRequest{
				Group: group, Holder: "gw1", Tokens: 1000, LeaseMs: 5000, Epoch: 1, SinceUnixMs: time.Now().UnixMilli(),
			}))
			is.NoErr(err)
			return resp.Msg
		}
		is.True(reserve("g1").Granted)
		is.True(h.place(h.permit(unload1)).Accepted)
		time.Sleep(4 * time.Second)
		is.Equal(h.report().Order.Phase, rudderv1.OrderPhase_ORDER_PHASE_WAITING)
		is.True(!reserve("g2").Granted)
		time.Sleep(5 * time.Second) // the lease has expired
		h.await()
		is.Equal(len(b.engines["a"].State().Models), 0)
	})
}

// TestUnloadOfAdapterWaitsForItsRuns: the unload of an adapter waits for the
// adapter's own runs only; runs of the base model neither delay it nor are
// affected.
func TestUnloadOfAdapterWaitsForItsRuns(t *testing.T) {
	runSession(t, func(b *cluster) {
		is := is.New(b.t)
		b.engine("a", nil)
		b.doc.Models[0].Adapters = []*rudderv1.Adapter{{Name: "style", Version: "1"}}
		b.gateway("gw1")
		b.publish()
		time.Sleep(10 * time.Second)
		answers := make(chan reply, 2)
		ask := func(name string, tokens int) {
			answers <- b.ask("gw1", "POST", chatPath, strings.Replace(chat("of "+name, tokens, true), model, name, 1), nil)
		}
		go ask("style", 200)
		go ask(model, 400)
		time.Sleep(500 * time.Millisecond)
		h := b.placerClient("a")
		is.True(h.place(h.permit(engine.Order{Kind: engine.OrderUnloadAdapter, Model: model, Version: "1", Adapter: styleOne})).Accepted)
		time.Sleep(500 * time.Millisecond)
		is.Equal(h.report().Order.Runs, uint32(1))
		is.True(hasAdapter(b.engines["a"].State(), styleOne))
		is.Equal((<-answers).text, answerTo("of style", 200))
		is.True(len(b.ordersAt("a")) <= 2) // the load and, at most, an unload that has just begun
		is.Equal((<-answers).text, answerTo("of "+model, 400))
		time.Sleep(time.Second)
		is.Equal(b.ordersAt("a")[1].order.Kind, engine.OrderUnloadAdapter)
		is.Equal(b.engines["a"].Counts().Died, 0)
	})
}
