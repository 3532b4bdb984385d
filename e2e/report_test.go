package e2e

import (
	"fmt"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	standengine "github.com/micarudder/micarudder/internal/standin/engine"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

// timedReport is a report with the time of its arrival.
type timedReport struct {
	*rudderv1.AgentReport
	at time.Time
}

// reports subscribes to an agent and returns a channel of the reports received.
func (b *cluster) reports(name string, req *rudderv1.SubscribeRequest) <-chan timedReport {
	b.t.Helper()
	stream, err := b.agentClient(name).Subscribe(b.t.Context(), connect.NewRequest(req))
	if err != nil {
		b.t.Fatal(err)
	}
	out := make(chan timedReport, 1000)
	go func() {
		for stream.Receive() {
			out <- timedReport{proto.CloneOf(stream.Msg()), time.Now()}
		}
	}()
	b.cleanup = append(b.cleanup, func() { _ = stream.Close() })
	return out
}

// maxHeartbeat is the maximum size in bytes of a report without changes.
const maxHeartbeat = 16

func TestHeartbeatIsShort(t *testing.T) {
	runSession(t, func(b *cluster) {
		is := is.New(b.t)
		b.engine("a", nil)
		time.Sleep(time.Minute)
		short := b.reports("a", &rudderv1.SubscribeRequest{Gateway: "gw1", ShortReports: true, ShortLoads: true})
		full := b.reports("a", &rudderv1.SubscribeRequest{Gateway: "gw2"})
		first := <-short
		is.True(!first.GenerationOnly)
		is.True(first.Load != nil)
		next := <-short
		is.True(next.GenerationOnly && next.Load == nil)
		is.True(proto.Size(next.AgentReport) <= maxHeartbeat)
		is.Equal(next.at.Sub(first.at), 5*time.Second)
		<-full
		is.Equal((<-full).Incarnation, b.agents["a"].Incarnation()) // this subscriber does not accept short reports
	})
}

// TestLoadReportsArePaced: the more endpoints a data centre has, the less often
// each reports a changed load; all other changes are reported at once.
func TestLoadReportsArePaced(t *testing.T) {
	runSession(t, func(b *cluster) {
		is := is.New(b.t)
		b.engine("a", func(c *standengine.Config) { c.Costs.DecodeToken = 600 * time.Millisecond })
		for i := range 199 {
			b.declareEndpoint(fmt.Sprint("other-", i), "", 1)
		}
		ctx, c := b.t.Context(), b.agentClient("a")
		_, err := c.Offer(ctx, connect.NewRequest(&rudderv1.OfferRequest{Document: b.doc}))
		is.NoErr(err)
		time.Sleep(time.Minute)
		reports := b.reports("a", &rudderv1.SubscribeRequest{Gateway: "gw1", ShortReports: true, ShortLoads: true})
		<-reports
		began := time.Now()
		is.Equal(result.Code(runOnce(is, ctx, c, b.order("one", b.agents["a"].Incarnation())).Code), result.OK)
		is.True(time.Since(began) > 5*time.Second)
		last := began
		for r := range reports {
			is.True(r.GenerationOnly)
			is.True(r.at.Sub(last) >= 2400*time.Millisecond)
			last = r.at
			if r.Load != nil && r.Load.Running == 0 {
				break
			}
		}
		_, err = c.Offer(ctx, connect.NewRequest(&rudderv1.OfferRequest{Document: b.leavingDoc(true)}))
		is.NoErr(err)
		began = time.Now()
		for r := range reports {
			if r.State == rudderv1.AgentState_AGENT_STATE_LEAVING {
				is.True(r.at.Sub(began) < 10*time.Millisecond)
				break
			}
		}
	})
}
