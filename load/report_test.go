package load

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/internal/standin/engine"
)

func TestRunAloneAndTogether(t *testing.T) {
	m := mustMix(t, strings.Replace(sampleMix, "ticket = true", "", 1))
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := &fakeGateway{script: []http.HandlerFunc{answerWhole}}
		e := Experiment{Options: g.serve(t, m), MixName: "<sample>", Alone: true}
		e.Load = 0.1
		rep, err := Run(context.Background(), e)
		is.NoErr(err)
		is.True(rep.Slowdown.Pairs > 100)
		is.Equal(rep.Slowdown.Missing, 0)
		is.Equal(rep.Summary.Finals[Whole], rep.Summary.Requests)
		is.True(rep.Alone.Requests < rep.Summary.Requests)
		is.True(!rep.Summary.Joined) // no executors configured
		is.True(!rep.HasBreaches())
		var page bytes.Buffer
		is.NoErr(rep.WriteHTML(&page))
		text := page.String()
		is.True(strings.Contains(text, "&lt;sample&gt;"))
		is.True(strings.Contains(text, "records are missing"))
		is.True(strings.Contains(text, "<svg"))
		for _, outside := range []string{"src=", "@import", "<link", "<script"} {
			is.True(!strings.Contains(text, outside))
		}
	})
}

// A stand-in engine serves the completion API too, so it replaces the gateway
// here; its execution records are joined.
func TestRunJoinsExecutions(t *testing.T) {
	mix := strings.Replace(sampleMix, "ticket = true", "", 1)
	m := mustMix(t, strings.Replace(mix, "128k-1M", "32k-64k", 1))
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cfg := engine.Default()
		cfg.MemoryTokens = 10 * MaxTokens // no request is refused for lack of memory
		h := engine.NewServer(cfg).Handler()
		e := Experiment{Options: serveHandler(t, m, h), Alone: true}
		e.Engines, e.Load = e.Gateways, 0.05
		rep, err := Run(context.Background(), e)
		is.NoErr(err)
		is.True(rep.Summary.Joined)
		is.Equal(rep.Summary.Finals[Whole], rep.Summary.Requests)
		for _, r := range rep.Records {
			is.Equal(r.Executions, 1)
		}
		is.Equal(rep.Summary.Breaches, map[Breach]int{})
		is.True(rep.Slowdown.P95 > 1) // long and short requests share one engine
		e.Engines = []string{"http://gateway/nowhere"}
		_, err = Run(context.Background(), e)
		is.True(err != nil)
	})
}

func TestRunWithoutGateways(t *testing.T) {
	is := is.New(t)
	_, err := Run(context.Background(), Experiment{Options: Options{Mix: mustMix(t, sampleMix)}})
	is.True(err != nil)
}

func TestProgressCounts(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	update, end := Progress(&out, "bid-desk", 3)
	update(Record{Final: Whole})
	update(Record{Final: Refused})
	update(Record{Final: Lost})
	end()
	is.True(strings.Contains(out.String(), "bid-desk: 1 whole, 1 refused, 1 other"))
}
