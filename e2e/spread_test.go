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

// settle is longer than a change takes to be in force everywhere.
const settle = 2 * time.Second

// confirm changes the configuration and writes it to the platform as the next
// generation.
func (b *bubble) confirm(change func(d *rudderv1.Document)) {
	b.t.Helper()
	next := proto.CloneOf(b.doc)
	next.Generation++
	next.PlanId = fmt.Sprint("plan-", next.Generation)
	next.History = document.History(b.doc)
	if change != nil {
		change(next)
	}
	b.doc = next
	b.write(next)
}

// write puts a document into the platform, whatever is there.
func (b *bubble) write(d *rudderv1.Document) {
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

// inForce fails unless every process has the generation.
func (b *bubble) inForce(generation uint64) {
	b.t.Helper()
	for name, k := range b.keepers {
		if k.Generation() != generation {
			b.t.Fatalf("%s has generation %d, want %d", name, k.Generation(), generation)
		}
	}
}

// metric sums a metric over all gateways; name includes the labels.
func (b *bubble) metric(name string) float64 {
	sum := 0.0
	for _, set := range b.metrics {
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

// threeGateways starts three gateways, all peers, and agents beside plain services.
func (b *bubble) threeGateways(agents int) {
	b.t.Helper()
	b.fleetOf(3, agents)
}

// fleetOf is threeGateways with any number of gateways, gw1 and on.
func (b *bubble) fleetOf(gateways, agents int) {
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
	time.Sleep(10 * time.Second) // the agents' next reports tell each gateway its rank
	b.inForce(1)
}

const (
	deltasToAgents = `rudder_gateway_offers_total{to="agent",form="delta"}`
	wholeToAgents  = `rudder_gateway_offers_total{to="agent",form="whole"}`
	deltasToPeers  = `rudder_gateway_offers_total{to="peer",form="delta"}`
	wholeToPeers   = `rudder_gateway_offers_total{to="peer",form="whole"}`
	learnedPeer    = `rudder_gateway_learned_total{from="peer"}`
	learnedAgent   = `rudder_gateway_learned_total{from="agent"}`
)

// TestEachAgentHearsOnce: a change reaches every agent by one delta from one
// gateway, and no gateway from its peers.
func TestEachAgentHearsOnce(t *testing.T) {
	t.Parallel()
	const changes = 5
	cases := []struct{ gateways, agents int }{{1, 20}, {3, 20}, {25, 8}}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.gateways, " gateways"), func(t *testing.T) {
			run(t, func(b *bubble) {
				is := is.New(b.t)
				b.fleetOf(c.gateways, c.agents)
				whole, peers := b.metric(wholeToAgents), b.metric(wholeToPeers)
				for i := range changes {
					b.confirm(func(d *rudderv1.Document) { d.Workspaces[0].Weight++ })
					time.Sleep(settle)
					b.inForce(uint64(i) + 2)
				}
				is.Equal(b.metric(deltasToAgents), float64(changes*c.agents))
				is.Equal(b.metric(wholeToAgents), whole)
				is.Equal(b.metric(deltasToPeers), 0.0)
				is.Equal(b.metric(wholeToPeers), peers)
			})
		})
	}
}

// TestOffersSpreadOverGateways: no gateway brings a change to all agents.
func TestOffersSpreadOverGateways(t *testing.T) {
	t.Parallel()
	const agents = 20
	run(t, func(b *bubble) {
		is := is.New(b.t)
		b.threeGateways(agents)
		b.confirm(nil)
		time.Sleep(settle)
		all := b.metrics
		for name := range all {
			b.metrics = map[string]*metrics.Set{name: all[name]}
			n := b.metric(deltasToAgents)
			b.t.Log(name, n)
			is.True(n > 0 && n < agents*3/4)
		}
		b.metrics = all
	})
}

// TestPlatformCallsGrowWithGatewaysOnly: over five quiet minutes and ten
// changes, eight times the agents cost the platform nothing more.
func TestPlatformCallsGrowWithGatewaysOnly(t *testing.T) {
	t.Parallel()
	calls := func(gateways, agents int) (reads, writes int64) {
		run(t, func(b *bubble) {
			b.fleetOf(gateways, agents)
			before := b.platform.Counts()
			time.Sleep(5 * time.Minute)
			for range 10 {
				b.confirm(nil)
				time.Sleep(settle)
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

// inForceBut is inForce for all but one process.
func (b *bubble) inForceBut(generation uint64, name string) {
	b.t.Helper()
	k := b.keepers[name]
	delete(b.keepers, name)
	b.inForce(generation)
	b.keepers[name] = k
}

// TestCutOffFromPlatform: a gateway without the platform learns from its
// peers, and without them from its agents.
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
			run(t, func(b *bubble) {
				is := is.New(b.t)
				b.threeGateways(6)
				b.part("gw1", c.cut...)
				time.Sleep(30 * time.Second)
				peer, agent := b.metric(learnedPeer), b.metric(learnedAgent)
				b.confirm(nil)
				time.Sleep(settle)
				b.inForce(2)
				is.Equal(b.metric(learnedPeer)+b.metric(learnedAgent)-peer-agent, 1.0)
				is.True(b.metric(c.learned) > 0)
				b.join("gw1", c.cut...)
				time.Sleep(30 * time.Second)
				b.confirm(nil)
				time.Sleep(settle)
				b.inForce(3)
			})
		})
	}
}

// TestCutOffFromEverything: a gateway that hears nothing reaches no endpoint
// either, keeps what it has, and catches up when it is back.
func TestCutOffFromEverything(t *testing.T) {
	t.Parallel()
	run(t, func(b *bubble) {
		is := is.New(b.t)
		b.threeGateways(2)
		all := []string{platformAddr, innerAddr("gw2"), innerAddr("gw3"), agentAddr("s0"), agentAddr("s1")}
		b.part("gw1", all...)
		b.confirm(nil)
		time.Sleep(settle)
		b.inForceBut(2, "gw1")
		is.Equal(b.keepers["gw1"].Generation(), uint64(1))
		r := b.ask("gw1", "POST", "/services/bid-api/x", "{}", nil)
		is.True(strings.Contains(r.body, `"outcome":"not run"`))
		is.Equal(b.services["s0"].Counts().Total+b.services["s1"].Counts().Total, 0)
		time.Sleep(settle)
		is.True(!b.gateways["gw1"].Ready()) // the balancer looks elsewhere
		b.join("gw1", all...)
		time.Sleep(10 * time.Second)
		b.inForce(2)
		is.True(b.gateways["gw1"].Ready())
		is.Equal(b.ask("gw1", "POST", "/services/bid-api/x", "{}", nil).status, 200)
	})
}

// TestStartTakesTheHighest: a gateway that starts in an outage takes the
// highest of the documents that its peers hold, the dead ones aside.
func TestStartTakesTheHighest(t *testing.T) {
	t.Parallel()
	run(t, func(b *bubble) {
		is := is.New(b.t)
		b.threeGateways(2)
		b.part("gw2", platformAddr, innerAddr("gw1"), innerAddr("gw3"), agentAddr("s0"), agentAddr("s1"))
		b.confirm(nil)
		time.Sleep(settle)
		b.inForceBut(2, "gw2")
		is.Equal(b.keepers["gw2"].Generation(), uint64(1))
		b.platform.SetFaults(standplatform.Faults{Outage: standplatform.OutageHang})
		b.kill(innerAddr("gw3"))
		g := b.gateway("gw4", "gw2", "gw3", "gw1")
		is.True(!g.Ready())
		time.Sleep(settle)
		is.Equal(b.keepers["gw4"].Generation(), uint64(2))
		is.True(g.Ready())
	})
}

// TestTwinsEnd: processes that hold another document of the generation in
// force cannot use a delta and are given the next document whole.
func TestTwinsEnd(t *testing.T) {
	t.Parallel()
	twin := &rudderv1.Document{Generation: 2, PlanId: "twin"}
	run(t, func(b *bubble) {
		is := is.New(b.t)
		b.threeGateways(3)
		rest := []string{platformAddr, innerAddr("gw2"), innerAddr("gw3")}
		b.part("gw1", append(rest, agentAddr("s0"), agentAddr("s1"), agentAddr("s2"))...)
		is.Equal(b.keepers["s0"].Offer(twin), generation.Newer)
		twin := proto.CloneOf(b.doc)
		twin.Generation, twin.PlanId = 2, "twin"
		is.Equal(b.keepers["gw1"].Offer(twin), generation.Newer)
		b.confirm(nil)
		time.Sleep(settle)
		b.inForce(2)
		is.Equal(b.keepers["s0"].Document().PlanId, "twin")
		b.join("gw1", agentAddr("s0"), agentAddr("s1"), agentAddr("s2"))
		time.Sleep(10 * time.Second)
		b.confirm(nil)
		time.Sleep(2 * settle)
		b.inForce(3)
		for _, k := range b.keepers {
			is.Equal(k.Document().PlanId, "plan-3")
		}
	})
}

// TestNextInRankOffers: whichever gateways do not reach an agent, or die as a
// change comes, the next one brings it the change.
func TestNextInRankOffers(t *testing.T) {
	t.Parallel()
	gateways := []string{"gw1", "gw2", "gw3"}
	for away := range 1<<len(gateways) - 1 { // every choice but all of them
		for _, dead := range []bool{false, true} {
			run(t, func(b *bubble) {
				b.threeGateways(3)
				for i, gw := range gateways {
					if away&(1<<i) == 0 {
						continue
					}
					b.part(gw, agentAddr("s0"), agentAddr("s1"), agentAddr("s2"))
					if dead {
						b.kill(innerAddr(gw))
						b.part(gw, platformAddr)
						delete(b.keepers, gw)
					}
				}
				b.confirm(nil)
				time.Sleep(settle)
				b.inForce(2)
			})
		}
	}
}

// TestOldGenerationIsRetriedAtOnce: an order planned under an older generation
// is refused by the agent, which hands the newer one back; the gateway orders
// again from the same endpoint, and the call runs once.
func TestOldGenerationIsRetriedAtOnce(t *testing.T) {
	t.Parallel()
	for _, header := range []map[string]string{nil, {"Rudder-Repeatable": "true"}} {
		run(t, func(b *bubble) {
			is := is.New(b.t)
			b.threeGateways(1)
			b.part("gw1", platformAddr, innerAddr("gw2"), innerAddr("gw3"))
			b.confirm(nil)
			for b.keepers["s0"].Generation() < 2 {
				time.Sleep(time.Millisecond)
			}
			is.Equal(b.keepers["gw1"].Generation(), uint64(1))
			began := time.Now()
			r := b.ask("gw1", "POST", "/services/bid-api/x", "{}", header)
			is.Equal(r.status, 200)
			is.True(time.Since(began) < 100*time.Millisecond)
			is.Equal(b.keepers["gw1"].Generation(), uint64(2))
			is.Equal(b.services["s0"].Counts().Total, 1)
		})
	}
}

// TestNewerRelease: fields that this release does not know survive the
// platform, a delta, a peer and an agent.
func TestNewerRelease(t *testing.T) {
	t.Parallel()
	unknown := protowire.AppendString(protowire.AppendTag(nil, 999, protowire.BytesType), "of a newer release")
	run(t, func(b *bubble) {
		is := is.New(b.t)
		b.threeGateways(2)
		b.part("gw1", platformAddr)
		b.part("gw2", platformAddr, innerAddr("gw1"), innerAddr("gw3"))
		time.Sleep(30 * time.Second)
		b.confirm(func(d *rudderv1.Document) {
			d.ProtoReflect().SetUnknown(unknown)
			d.Workspaces[0].ProtoReflect().SetUnknown(unknown)
		})
		time.Sleep(settle)
		b.confirm(func(d *rudderv1.Document) { d.Endpoints[0].MemoryTokens++ })
		time.Sleep(settle)
		b.inForce(3)
		is.True(b.metric(deltasToAgents) > 0)
		is.True(b.metric(learnedPeer) > 0)
		is.True(b.metric(learnedAgent) > 0)
		for _, k := range b.keepers {
			is.True(bytes.Equal(k.Document().ProtoReflect().GetUnknown(), unknown))
			is.True(bytes.Equal(k.Document().Workspaces[0].ProtoReflect().GetUnknown(), unknown))
		}
	})
}

// TestPlatformSilence: the gateway counts from the last contact with the
// platform, not from the last change.
func TestPlatformSilence(t *testing.T) {
	t.Parallel()
	run(t, func(b *bubble) {
		is := is.New(b.t)
		b.threeGateways(1)
		time.Sleep(3 * time.Minute)
		is.True(b.metric("rudder_gateway_platform_silent_seconds") < 3*10)
		b.platform.SetFaults(standplatform.Faults{Outage: standplatform.OutageReset})
		time.Sleep(3 * time.Minute)
		is.True(b.metric("rudder_gateway_platform_silent_seconds") > 3*170)
	})
}
