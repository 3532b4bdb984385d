package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/micarudder/micarudder/internal/standin/usersplatform"
)

const (
	// progressSettings are the gateways' settings for streams without progress and slow readers.
	progressSettings = "[load]\nstall_resume = true\nslow_reader_timeout = 1s\nheld_memory = 48MiB\n"
	// progressGap is the longest gap between two events that is in time, and stallLimit the time after
	// which a gateway must cut a stream with this gap.
	progressGap = 100 * time.Millisecond
	stallLimit  = time.Second
	// resumeTime is how long after stallLimit a stalled stream must have reached another worker: an
	// eighth of the limit between two checks, and the time that a busy machine takes.
	resumeTime = 900 * time.Millisecond
	// stoppedReaderTime is how long a response may last whose caller does not read: the setting, a
	// quarter of it between two checks, and the time to fill the buffers on a busy machine.
	stoppedReaderTime = 2500 * time.Millisecond
)

// progressFaults lists the faults of runs with Config.Progress.
var progressFaults = []fault{
	{"workers stall streams", false, setWorkerFaults(usersplatform.Faults{Stall: 0.5})},
	{"workers stall streams", false, setWorkerFaults(usersplatform.Faults{Stall: 0.5})},
	{"workers truncate responses", false, setWorkerFaults(usersplatform.Faults{Truncate: 0.2})},
	{"gateway frozen", false, freezeGateway},
	{"gateway's host suspended", false, suspendGateway},
}

// stopReading sends requests for endless streams and reads none of the responses.
func (r *run) stopReading(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.c.Seed, 0x5107))
	var conns []net.Conn
	defer func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}()
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(maxFaultGap / 4)
		gateway := r.pickReadyGateway(random)
		if gateway == "" {
			continue
		}
		c, err := net.DialTimeout("tcp", gateway, time.Second)
		if err != nil {
			continue // it may be frozen
		}
		conns = append(conns, c)
		a := request{id: fmt.Sprintf("endless-%d", n), kind: "endless", key: "key-0", gateway: gateway, sent: time.Now()}
		_, err = fmt.Fprintf(c, "POST /stream/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
			soakHost, a.id, a.key, len(usersplatform.EndlessBody), usersplatform.EndlessBody)
		if err == nil {
			r.record(a)
		}
	}
}

// progressResult is what checkProgress found.
type progressResult struct {
	violations      []string
	stalls, endless int
}

// checkProgress verifies that streams which stalled at a worker were resumed at another one in time,
// and that responses whose callers do not read end.
func checkProgress(all []request, f *facts) (out progressResult) {
	gateways := make(map[string]string)
	for i := range all {
		a := &all[i]
		gateways[a.id] = a.gateway
		if s, ok := f.ledger.FirstStall(a.id); ok && a.kind == "stream" && !a.abandoned {
			out.stalls++
			if problem := checkResumed(a, s, f); problem != "" {
				out.violations = append(out.violations, fmt.Sprintf("%s by %s: %s", a.id, a.gateway, problem))
			}
		}
	}
	for _, e := range f.ledger.EndlessRuns() {
		out.endless++
		lasted := e.To.Sub(e.From)
		if lasted > stoppedReaderTime && !overlapsAny(f.disrupted[gateways[e.ID]], e.From, e.To) {
			out.violations = append(out.violations, fmt.Sprintf("%s by %s: its caller read nothing, and it lasted %v", e.ID, gateways[e.ID], lasted))
		}
	}
	return out
}

// checkResumed verifies that a stalled stream reached another worker after the event that the caller had.
func checkResumed(a *request, s usersplatform.Stall, f *facts) string {
	due := s.At.Add(stallLimit + resumeTime)
	runs := f.ledger.Runs(a.id)
	if a.ended.Before(due) || len(runs) > 0 && runs[0].Worker != s.Worker || overlapsAny(f.disrupted[a.gateway], a.sent, due) {
		return "" // it was not there for long enough, stalled at its last attempt, or its gateway was disturbed
	}
	if len(runs) < 2 {
		return fmt.Sprintf("stalled at %s %v before its end and was not resumed", s.Worker, a.ended.Sub(s.At))
	}
	switch resumed := runs[1]; {
	case resumed.At.Sub(s.At) < stallLimit:
		return fmt.Sprintf("resumed %v after its last event, before the limit", resumed.At.Sub(s.At))
	case resumed.At.After(due):
		return fmt.Sprintf("resumed %v after its last event", resumed.At.Sub(s.At))
	case resumed.ResumedAfter != fmt.Sprint(s.LastEvent):
		return fmt.Sprintf("resumed after event %q, and its caller had %d", resumed.ResumedAfter, s.LastEvent)
	}
	return ""
}
