package agent

import (
	"time"

	"github.com/micarudder/micarudder/rudderv1"
)

// report is the agent's word about itself; the caller holds mu.
func (a *Agent) report() *rudderv1.AgentReport {
	return &rudderv1.AgentReport{
		Endpoint:    a.cfg.Endpoint,
		Host:        a.cfg.Host,
		DataCentre:  a.cfg.DataCentre,
		Incarnation: a.incarnation,
		AgentMs:     a.clockMS(),
		State:       a.current(),
		Generation:  a.deps.Keeper.Generation(),
		Load:        a.load(),
		Models:      a.models,
		Role:        a.role,
		Service:     a.cfg.Service,
	}
}

// load is the agent's exact load; the caller holds mu.
func (a *Agent) load() *rudderv1.Load {
	t := a.queue.Load(time.Now())
	l := &rudderv1.Load{
		Queued:             uint32(t.Queued),
		Running:            uint32(a.running),
		QueuedTokens:       t.QueuedTokens,
		MemoryTokens:       a.cfg.MemoryTokens,
		FreeTokens:         a.capacity().FreeTokens,
		PrefillUsPerToken:  float64(t.Cost.PrefillPerToken) / float64(time.Microsecond),
		PrefillUsPerToken2: t.Cost.PrefillPerToken2,
		DecodeUsPerToken:   float64(t.Cost.DecodePerToken) / float64(time.Microsecond),
		LongTokens:         t.LongTokens,
		ReserveLimit:       a.desk.book.Limit(),
		ReservedTokens:     a.desk.tokens(),
	}
	for _, w := range t.Wait {
		l.WaitMs = append(l.WaitMs, w.Milliseconds())
	}
	return l
}
