package e2e

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/micarudder/micarudder/document"
	"github.com/micarudder/micarudder/generation"
	standplatform "github.com/micarudder/micarudder/internal/standin/platform"
	"github.com/micarudder/micarudder/metastore"
	"github.com/micarudder/micarudder/rudderv1"
)

// settleTime is longer than a change takes to be in force everywhere.
const settleTime = 2 * time.Second

// acceptNext changes the configuration and writes it to the platform as the
// next generation.
func (b *cluster) acceptNext(change func(d *rudderv1.Document)) {
	b.t.Helper()
	next := proto.CloneOf(b.doc)
	next.Generation++
	next.PlanId = fmt.Sprint("plan-", next.Generation)
	next.History = document.History(b.doc)
	if change != nil {
		change(next)
	}
	b.doc = next
	b.putDocument(next)
}

// putDocument writes a document to the platform, whatever is stored there.
func (b *cluster) putDocument(d *rudderv1.Document) {
	b.t.Helper()
	is := is.New(b.t)
	store, err := metastore.NewClient(metastore.Options{Addresses: []string{platformAddr}, HTTPClient: b.httpClient(), Timeout: time.Second})
	is.NoErr(err)
	value, err := document.Encode(d)
	is.NoErr(err)
	e, err := store.CompareAndSwap(b.t.Context(), metastore.KeyDocument, 0, value, 0)
	if e.Revision != 0 && err != nil {
		_, err = store.CompareAndSwap(b.t.Context(), metastore.KeyDocument, e.Revision, value, 0)
	}
	is.NoErr(err)
}

// requireGeneration fails the test unless every process has the generation.
func (b *cluster) requireGeneration(generation uint64) {
	b.t.Helper()
	for name, k := range b.trackers {
		if k.Generation() != generation {
			b.t.Fatalf("%s has generation %d, want %d", name, k.Generation(), generation)
		}
	}
}

// metric sums a metric over all gateways; the name includes the labels.
func (b *cluster) metric(name string) float64 {
	sum := 0.0
	for _, set := range b.gatewayMetrics {
		var text bytes.Buffer
		set.WritePrometheus(&text)
		for line := range strings.Lines(text.String()) {
			if value, ok := strings.CutPrefix(strings.TrimSpace(line), name+" "); ok {
				v, _ := strconv.ParseFloat(value, 64)
				sum += v
			}
		}
	}
	return sum
}

// threeGateways starts three gateways that are each other's peers, and plain
// services with agents.
func (b *cluster) threeGateways(agents int) {
	b.t.Helper()
	b.fleetOf(3, agents)
}

// fleetOf is like threeGateways with any number of gateways, named from gw1 on.
func (b *cluster) fleetOf(gateways, agents int) {
	b.t.Helper()
	for i := range agents {
		b.service(fmt.Sprint("s", i), "bid-api")
	}
	var names []string
	for i := range gateways {
		names = append(names, fmt.Sprint("gw", i+1))
	}
	for i, name := range names {
		b.gateway(name, slices.Delete(slices.Clone(names), i, i+1)...)
	}
	b.publish()
	time.Sleep(10 * time.Second) // by their next reports the agents tell each gateway its rank
	b.requireGeneration(1)
}

const (
	deltasToAgents = `rudder_gateway_offers_total{to="agent",form="delta"}`
	wholeToAgents  = `rudder_gateway_offers_total{to="agent",form="whole"}`
	deltasToPeers  = `rudder_gateway_offers_total{to="peer",form="delta"}`
	wholeToPeers   = `rudder_gateway_offers_total{to="peer",form="whole"}`
	learnedPeer    = `rudder_gateway_learned_total{from="peer"}`
	learnedAgent   = `rudder_gateway_learned_total{from="agent"}`
)

// TestOneDeltaPerAgent: a change reaches every agent as one delta from one
// gateway, and gateways get nothing from their peers.
func TestOneDeltaPerAgent(t *testing.T) {
	t.Parallel()
	const changes = 5
	cases := []struct{ gateways, agents int }{{1, 20}, {3, 20}, {25, 8}}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.gateways, " gateways"), func(t *testing.T) {
			runSession(t, func(b *cluster) {
				is := is.New(b.t)
				b.fleetOf(c.gateways, c.agents)
				whole, peers := b.metric(wholeToAgents), b.metric(wholeToPeers)
				for i := range changes {
					b.acceptNext(func(d *rudderv1.Document) { d.Workspaces[0].Weight++ })
					time.Sleep(settleTime)
					b.requireGeneration(uint64(i) + 2)
				}
				is.Equal(b.metric(deltasToAgents), float64(changes*c.agents))
				is.Equal(b.metric(wholeToAgents), whole)
				is.Equal(b.metric(deltasToPeers), 0.0)
				is.Equal(b.metric(wholeToPeers), peers)
			})
		})
	}
}

// TestOffersSpreadOverGateways: no gateway sends a change to all agents.
func TestOffersSpreadOverGateways(t *testing.T) {
	t.Parallel()
	const agents = 20
	runSession(t, func(b *cluster) {
		is := is.New(b.t)
		b.threeGateways(agents)
		b.acceptNext(nil)
		time.Sleep(settleTime)
		all := b.gatewayMetrics
		for name := range all {
			b.gatewayMetrics = map[string]*metrics.Set{name: all[name]}
			n := b.metric(deltasToAgents)
			b.t.Log(name, n)
			is.True(n > 0 && n < agents*3/4)
		}
		b.gatewayMetrics = all
	})
}

// TestPlatformCallsGrowWithGatewaysOnly: over five idle minutes and ten
// changes, eight times as many agents cause no more platform calls.
func TestPlatformCallsGrowWithGatewaysOnly(t *testing.T) {
	t.Parallel()
	calls := func(gateways, agents int) (reads, writes int64) {
		runSession(t, func(b *cluster) {
			b.fleetOf(gateways, agents)
			before := b.platform.Counts()
			time.Sleep(5 * time.Minute)
			for range 10 {
				b.acceptNext(nil)
				time.Sleep(settleTime)
			}
			reads = b.platform.Counts().Reads() - before.Reads()
			writes = b.platform.Counts().Writes() - before.Writes()
		})
		return reads, writes
	}
	is := is.New(t)
	few, fewWrites := calls(2, 2)
	many, manyWrites := calls(2, 16)
	double, _ := calls(4, 2)
	t.Log("reads with 2 agents, 16 agents, twice the gateways:", few, many, double)
	is.Equal(fewWrites, manyWrites)
	is.True(many < few*105/100 && few < many*105/100)
	is.True(double > few*180/100 && double < few*220/100)
}

// requireGenerationExcept is requireGeneration for all processes except one.
func (b *cluster) requireGenerationExcept(generation uint64, name string) {
	b.t.Helper()
	k := b.trackers[name]
	delete(b.trackers, name)
	b.requireGeneration(generation)
	b.trackers[name] = k
}

// TestCutOffFromPlatform: a gateway without the platform learns a change from
// its peers, and without them from its agents.
func TestCutOffFromPlatform(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name    string
		cut     []string
		learned string
	}{
		{"platform", []string{platformAddr}, learnedPeer},
		{"platform and peers", []string{platformAddr, innerAddr("gw2"), innerAddr("gw3")}, learnedAgent},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runSession(t, func(b *cluster) {
				is := is.New(b.t)
				b.threeGateways(6)
				b.partition("gw1", c.cut...)
				time.Sleep(30 * time.Second)
				fromPeer, fromAgent := b.metric(learnedPeer), b.metric(learnedAgent)
				b.acceptNext(nil)
				time.Sleep(settleTime)
				b.requireGeneration(2)
				is.Equal(b.metric(learnedPeer)+b.metric(learnedAgent)-fromPeer-fromAgent, 1.0)
				is.True(b.metric(c.learned) > 0)
				b.heal("gw1", c.cut...)
				time.Sleep(30 * time.Second)
				b.acceptNext(nil)
				time.Sleep(settleTime)
				b.requireGeneration(3)
			})
		})
	}
}

// TestCutOffFromEverything: a gateway that is cut off from all others reaches
// no endpoint, keeps its configuration, and catches up when it is connected
// again.
func TestCutOffFromEverything(t *testing.T) {
	t.Parallel()
	runSession(t, func(b *cluster) {
		is := is.New(b.t)
		b.threeGateways(2)
		all := []string{platformAddr, innerAddr("gw2"), innerAddr("gw3"), agentAddr("s0"), agentAddr("s1")}
		b.partition("gw1", all...)
		b.acceptNext(nil)
		time.Sleep(settleTime)
		b.requireGenerationExcept(2, "gw1")
		is.Equal(b.trackers["gw1"].Generation(), uint64(1))
		r := b.ask("gw1", "POST", "/services/bid-api/x", "{}", nil)
		is.True(strings.Contains(r.body, `"outcome":"not run"`))
		is.Equal(b.services["s0"].Counts().Total+b.services["s1"].Counts().Total, 0)
		time.Sleep(settleTime)
		is.True(!b.gateways["gw1"].Ready()) // the balancer uses other gateways
		b.heal("gw1", all...)
		time.Sleep(10 * time.Second)
		b.requireGeneration(2)
		is.True(b.gateways["gw1"].Ready())
		is.Equal(b.ask("gw1", "POST", "/services/bid-api/x", "{}", nil).status, 200)
	})
}

// TestStartTakesTheHighest: a gateway that starts during a platform outage
// takes the highest document among its reachable peers.
func TestStartTakesTheHighest(t *testing.T) {
	t.Parallel()
	runSession(t, func(b *cluster) {
		is := is.New(b.t)
		b.threeGateways(2)
		b.partition("gw2", platformAddr, innerAddr("gw1"), innerAddr("gw3"), agentAddr("s0"), agentAddr("s1"))
		b.acceptNext(nil)
		time.Sleep(settleTime)
		b.requireGenerationExcept(2, "gw2")
		is.Equal(b.trackers["gw2"].Generation(), uint64(1))
		b.platform.SetFaults(standplatform.Faults{Outage: standplatform.OutageHang})
		b.kill(innerAddr("gw3"))
		g := b.gateway("gw4", "gw2", "gw3", "gw1")
		is.True(!g.Ready())
		time.Sleep(settleTime)
		is.Equal(b.trackers["gw4"].Generation(), uint64(2))
		is.True(g.Ready())
	})
}

// TestDivergedDocumentsReplaced: processes that hold a different document of
// the same generation cannot apply a delta and get the next document whole.
func TestDivergedDocumentsReplaced(t *testing.T) {
	t.Parallel()
	diverged := &rudderv1.Document{Generation: 2, PlanId: "twin"}
	runSession(t, func(b *cluster) {
		is := is.New(b.t)
		b.threeGateways(3)
		others := []string{platformAddr, innerAddr("gw2"), innerAddr("gw3")}
		b.partition("gw1", append(others, agentAddr("s0"), agentAddr("s1"), agentAddr("s2"))...)
		is.Equal(b.trackers["s0"].Offer(diverged), generation.Newer)
		diverged := proto.CloneOf(b.doc)
		diverged.Generation, diverged.PlanId = 2, "twin"
		is.Equal(b.trackers["gw1"].Offer(diverged), generation.Newer)
		b.acceptNext(nil)
		time.Sleep(settleTime)
		b.requireGeneration(2)
		is.Equal(b.trackers["s0"].Document().PlanId, "twin")
		b.heal("gw1", agentAddr("s0"), agentAddr("s1"), agentAddr("s2"))
		time.Sleep(10 * time.Second)
		b.acceptNext(nil)
		time.Sleep(2 * settleTime)
		b.requireGeneration(3)
		for _, k := range b.trackers {
			is.Equal(k.Document().PlanId, "plan-3")
		}
	})
}

// TestNextInRankOffers: whichever gateways cannot reach an agent, or die when a
// change comes, the next one in rank sends the change.
func TestNextInRankOffers(t *testing.T) {
	t.Parallel()
	gateways := []string{"gw1", "gw2", "gw3"}
	for unreachable := range 1<<len(gateways) - 1 { // every subset except all of them
		for _, dead := range []bool{false, true} {
			runSession(t, func(b *cluster) {
				b.threeGateways(3)
				for i, gw := range gateways {
					if unreachable&(1<<i) == 0 {
						continue
					}
					b.partition(gw, agentAddr("s0"), agentAddr("s1"), agentAddr("s2"))
					if dead {
						b.kill(innerAddr(gw))
						b.partition(gw, platformAddr)
						delete(b.trackers, gw)
					}
				}
				b.acceptNext(nil)
				time.Sleep(settleTime)
				b.requireGeneration(2)
			})
		}
	}
}

// TestOldGenerationIsRetriedAtOnce: an agent refuses an order planned under an
// older generation and returns the newer document; the gateway retries at once
// with the same endpoint, and the call runs once.
func TestOldGenerationIsRetriedAtOnce(t *testing.T) {
	t.Parallel()
	for _, header := range []map[string]string{nil, {"Rudder-Repeatable": "true"}} {
		runSession(t, func(b *cluster) {
			is := is.New(b.t)
			b.threeGateways(1)
			b.partition("gw1", platformAddr, innerAddr("gw2"), innerAddr("gw3"))
			b.acceptNext(nil)
			for b.trackers["s0"].Generation() < 2 {
				time.Sleep(time.Millisecond)
			}
			is.Equal(b.trackers["gw1"].Generation(), uint64(1))
			began := time.Now()
			r := b.ask("gw1", "POST", "/services/bid-api/x", "{}", header)
			is.Equal(r.status, 200)
			is.True(time.Since(began) < 100*time.Millisecond)
			is.Equal(b.trackers["gw1"].Generation(), uint64(2))
			is.Equal(b.services["s0"].Counts().Total, 1)
		})
	}
}

// TestNewerRelease: fields unknown to this release are preserved by the
// platform, a delta, a peer and an agent.
func TestNewerRelease(t *testing.T) {
	t.Parallel()
	unknown := protowire.AppendString(protowire.AppendTag(nil, 999, protowire.BytesType), "of a newer release")
	runSession(t, func(b *cluster) {
		is := is.New(b.t)
		b.threeGateways(2)
		b.partition("gw1", platformAddr)
		b.partition("gw2", platformAddr, innerAddr("gw1"), innerAddr("gw3"))
		time.Sleep(30 * time.Second)
		b.acceptNext(func(d *rudderv1.Document) {
			d.ProtoReflect().SetUnknown(unknown)
			d.Workspaces[0].ProtoReflect().SetUnknown(unknown)
		})
		time.Sleep(settleTime)
		b.acceptNext(func(d *rudderv1.Document) { d.Endpoints[0].MemoryTokens++ })
		time.Sleep(settleTime)
		b.requireGeneration(3)
		is.True(b.metric(deltasToAgents) > 0)
		is.True(b.metric(learnedPeer) > 0)
		is.True(b.metric(learnedAgent) > 0)
		for _, k := range b.trackers {
			is.True(bytes.Equal(k.Document().ProtoReflect().GetUnknown(), unknown))
			is.True(bytes.Equal(k.Document().Workspaces[0].ProtoReflect().GetUnknown(), unknown))
		}
	})
}

// TestPlatformSilence: the gateway measures the silence from the last contact
// with the platform, not from the last change.
func TestPlatformSilence(t *testing.T) {
	t.Parallel()
	runSession(t, func(b *cluster) {
		is := is.New(b.t)
		b.threeGateways(1)
		time.Sleep(3 * time.Minute)
		is.True(b.metric("rudder_gateway_platform_silent_seconds") < 3*10)
		b.platform.SetFaults(standplatform.Faults{Outage: standplatform.OutageReset})
		time.Sleep(3 * time.Minute)
		is.True(b.metric("rudder_gateway_platform_silent_seconds") > 3*170)
	})
}
