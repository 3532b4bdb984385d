package e2e

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	standengine "github.com/micarudder/micarudder/internal/standin/engine"
	"github.com/micarudder/micarudder/internal/standin/weights"
	"github.com/micarudder/micarudder/metastore"
)

// rolloutFaults happen in the middle of a rollout: begin runs some seconds
// after the document was accepted, end a minute later.
var rolloutFaults = []struct {
	name       string
	callers    bool // callers ask during the rollout; their answers must stay whole
	begin, end func(r *rollout)
}{
	{name: "agents die", callers: true, begin: func(r *rollout) {
		for i := range r.engines / 2 {
			r.b.restartAgent(engineName(i))
		}
	}},
	{name: "agent cut off", callers: true, begin: func(r *rollout) { r.b.isolate(agentAddr(engineName(0)), true) }, end: func(r *rollout) {
		r.b.isolate(agentAddr(engineName(0)), false)
	}},
	{name: "engines restart", callers: true, begin: func(r *rollout) {
		for _, e := range r.b.engines {
			e.Crash()
		}
		r.crashed = true
	}},
	{name: "engine hangs", begin: func(r *rollout) {
		r.b.engines[engineName(1)].SetFaults(standengine.Faults{Hang: true})
	}, end: func(r *rollout) { r.b.engines[engineName(1)].SetFaults(standengine.Faults{}) }},
	{name: "answers to orders lost", callers: true, begin: func(r *rollout) { r.faultAll(standengine.Faults{LoseOrderAnswer: true}) }},
	{name: "orders fail", callers: true, begin: func(r *rollout) { r.faultAll(standengine.Faults{FailOrders: true}) }, end: func(r *rollout) {
		r.faultAll(standengine.Faults{})
	}},
	{name: "weight store away", callers: true, begin: func(r *rollout) { r.store.SetFaults(weights.Faults{Refuse: true}) }, end: func(r *rollout) {
		r.store.SetFaults(weights.Faults{})
	}},
	{name: "weight store cuts", callers: true, begin: func(r *rollout) { r.store.SetFaults(weights.Faults{CutAfterBytes: 1000}) }, end: func(r *rollout) {
		r.store.SetFaults(weights.Faults{})
	}},
	{name: "platform away", callers: true, begin: func(r *rollout) { r.b.kill(platformAddr) }, end: func(r *rollout) {
		r.b.serve(platformAddr, r.b.platform.Handler())
	}},
	{name: "placer dies", begin: func(r *rollout) { r.b.killGateway(r.b.placer()) }},
	{name: "placer drains", begin: func(r *rollout) {
		g := r.b.gateways[r.b.placer()]
		if err := g.Drain(r.b.t.Context()); err != nil {
			r.b.t.Error(err)
		}
	}},
	{name: "placer cut off from most agents", begin: func(r *rollout) {
		holder := r.b.placer()
		for i := range r.engines - 1 {
			r.b.partition(holder, agentAddr(engineName(i)))
		}
	}},
	{name: "agents paused before their orders", callers: true, begin: func(r *rollout) {
		for i := range r.engines {
			r.b.setDelay(engineName(i), time.Minute)
		}
	}, end: func(r *rollout) {
		for i := range r.engines {
			r.b.setDelay(engineName(i), 0)
		}
	}},
	{name: "permits arrive a minute late", callers: true, begin: func(r *rollout) {
		r.b.setPlaceHook(func(next http.Handler, _ http.ResponseWriter, q *http.Request) {
			raw, _ := io.ReadAll(q.Body)
			time.Sleep(time.Minute)
			q = q.WithContext(context.WithoutCancel(q.Context())) // the sender has timed out
			q.Body = io.NopCloser(bytes.NewReader(raw))
			next.ServeHTTP(httptest.NewRecorder(), q)
		})
	}, end: func(r *rollout) { r.b.setPlaceHook(nil) }},
	{name: "answers to permits lost", callers: true, begin: func(r *rollout) {
		r.b.setPlaceHook(func(next http.Handler, _ http.ResponseWriter, q *http.Request) {
			next.ServeHTTP(httptest.NewRecorder(), q)
			panic(http.ErrAbortHandler)
		})
	}},
	{name: "next version in the middle", callers: true, begin: func(r *rollout) {
		r.b.nextVersion()
		r.b.publish()
	}},
}

func (r *rollout) faultAll(f standengine.Faults) {
	for _, e := range r.b.engines {
		e.SetFaults(f)
	}
}

// isolate breaks the connections to a process and refuses new ones, or ends
// that.
func (b *cluster) isolate(addr string, isolated bool) {
	b.mu.Lock()
	b.unreachable[addr] = isolated
	conns := b.conns[addr]
	b.conns[addr] = nil
	b.mu.Unlock()
	if isolated {
		for _, c := range conns {
			_ = c.Close()
		}
	}
}

// placer returns the gateway that holds the placer lease.
func (b *cluster) placer() string {
	store, err := metastore.NewClient(metastore.Options{Addresses: []string{platformAddr}, HTTPClient: b.httpClient(), Timeout: time.Second})
	if err != nil {
		b.t.Fatal(err)
	}
	e, err := store.Get(b.t.Context(), metastore.PrefixPlacers+dataCentre)
	if err != nil {
		b.t.Fatal(err)
	}
	name, _, _ := strings.Cut(string(e.Value), " ")
	return name
}

// killGateway ends a gateway as a crash does: it does not release its lease.
func (b *cluster) killGateway(name string) {
	b.kill(name)
	b.kill(innerAddr(name))
	g := b.gateways[name]
	delete(b.gateways, name)
	b.isolate(platformAddr, true)
	g.Close()
	b.isolate(platformAddr, false)
}

// TestRollOutUnderFaults: whatever fault happens in the middle of a rollout,
// the rollout ends, the floor holds, the weight store is not overloaded, orders
// come one at a time, and no answer is cut off.
func TestRollOutUnderFaults(t *testing.T) {
	for _, f := range rolloutFaults {
		for _, checks := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/checks fencing %t", f.name, checks), func(t *testing.T) {
				t.Parallel()
				runSession(t, func(b *cluster) {
					r := newRolloutOf(b, 6, 4, checks)
					b.gateway("gw1")
					b.gateway("gw2", "gw1")
					b.publish()
					r.watch(f.callers)
					time.Sleep(5 * time.Second)
					b.nextVersion()
					b.publish()
					time.Sleep(6 * time.Second)
					f.begin(r)
					time.Sleep(time.Minute)
					if f.end != nil {
						f.end(r)
					}
					took := r.await(b.doc.Models[0].Version)
					r.finish()
					b.t.Logf("%v after the fault's end, %d orders, fewest serving replicas %d", took, len(b.orderLog), r.minServing)
				})
			})
		}
	}
}

// TestEndpointLostIsReplaced: the model of an endpoint that is lost for good is
// loaded at another one, also during a platform outage.
func TestEndpointLostIsReplaced(t *testing.T) {
	for _, outage := range []bool{false, true} {
		runSession(t, func(b *cluster) {
			is := is.New(b.t)
			r := newRollout(b, 3, 1)
			b.doc.Models[0].Replicas[dataCentre] = 2
			b.gateway("gw1")
			b.publish()
			time.Sleep(time.Minute) // the surplus engine unloads the model
			is.Equal(r.serving(), 2)
			var lost string
			for name, e := range b.engines {
				if len(loadedVersions(e.State())) > 0 {
					lost = name
				}
			}
			if outage {
				b.kill(platformAddr)
			}
			b.isolate(agentAddr(lost), true)
			b.agents[lost].Close()
			time.Sleep(2 * time.Minute)
			is.Equal(r.serving(), 3) // two reachable engines and the lost one
		})
	}
}
