package load

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/internal/standin/answer"
	"github.com/micarudder/micarudder/result"
)

// oneRequest is a mix with one flow; most tests keep only its first arrival.
const oneRequest = `
[run]
duration = 60s
rate = 1
grace = 1s

[flow f]
workspace = w
key = secret
model = m
share = 1
prompt = 1k
answer = 8
deadline = 20s
`

// isFirst selects the first arrival.
func isFirst(a Arrival) bool { return a.ID == "f-0" }

// attachTo serves a reattachment with the rest of *text, the answer to an
// earlier presentation.
func attachTo(text *string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != pathRuns+"T" {
			panic("reattachment requested the path " + r.URL.Path)
		}
		from, _ := strconv.Atoi(r.Header.Get(headerLastEvent))
		stream(w, *text, from)
		endStream(w)
	}
}

// startAnswer stores the presentation's answer in *text for a later attachTo,
// streams its first three tokens and calls h.
func startAnswer(text *string, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		b := bodyOf(r)
		*text = textOf(b)
		w.Header().Set(headerTicket, "T")
		stream(w, (*text)[:3*answer.TokenBytes], 0)
		h(w, r)
	}
}

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// hang reads the request and sends no answer until the caller disconnects.
func hang(_ http.ResponseWriter, r *http.Request) {
	_ = bodyOf(r)
	<-r.Context().Done()
}

func TestCaller(t *testing.T) {
	var text string
	notRun := problem{Code: result.Overloaded, Outcome: "not run", RetryAfterMS: 1500}
	mayHaveRun := problem{Code: result.EndpointLost, Outcome: "may have run"}
	gone := problem{Code: result.IncarnationGone, Outcome: "may have run"}
	unknownRun := problem{Code: result.UnknownRun, Outcome: "may have run"}
	cases := []struct {
		name   string
		extra  string // added to the flow
		script []http.HandlerFunc
		final  Final
		seen   int
		check  func(r Record) bool
	}{
		{"whole", "", []http.HandlerFunc{answerWhole}, Whole, 1, nil},
		{"whole in one body", "path = /v1/completions\nstream = false", []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			fmt.Fprintf(w, `{"choices":[{"text":%q}]}`, textOf(bodyOf(r)))
		}}, Whole, 1, nil},
		{"refused", "", []http.HandlerFunc{answerProblem(503, notRun)}, Refused, 1, func(r Record) bool {
			return r.Code == result.Overloaded && r.RetryAfter == 1500*time.Millisecond
		}},
		{"refused, retried after the stated time", "retries = 1", []http.HandlerFunc{answerProblem(503, notRun), answerWhole}, Whole, 2, func(r Record) bool {
			return r.Took() == 1500*time.Millisecond
		}},
		{"outcome may have run, without a ticket", "", []http.HandlerFunc{answerProblem(502, mayHaveRun)}, Unknown, 1, nil},
		{"an error without a problem document", "", []http.HandlerFunc{func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(502) }}, Unknown, 1, nil},
		{"connection broken, then reattached", "", []http.HandlerFunc{startAnswer(&text, abort), attachTo(&text)}, Whole, 2, func(r Record) bool {
			return r.Reattached == 1 && r.Presentations == 1
		}},
		{"connection broken, then the run's records are gone", "", []http.HandlerFunc{startAnswer(&text, abort), answerProblem(410, gone)}, Unknown, 2, nil},
		{"the agent has no such run yet", "", []http.HandlerFunc{startAnswer(&text, abort), answerProblem(404, unknownRun), answerWhole}, Whole, 3, func(r Record) bool {
			return r.Presentations == 2
		}},
		{"outcome may have run, reattached, no such run", "idempotency_key = true", []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(headerTicket, "T")
			answerProblem(502, mayHaveRun)(w, r)
		}, answerProblem(404, unknownRun), answerWhole}, Whole, 3, func(r Record) bool { return r.Presentations == 2 }},
		{"connection broken, without a ticket", "", []http.HandlerFunc{abort}, Lost, 1, nil},
		{"connection broken, presented again with the same key", "idempotency_key = true", []http.HandlerFunc{abort, answerWhole}, Whole, 2, nil},
		{"stream ended without its end marker", "", []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
			stream(w, textOf(bodyOf(r))[:8], 0)
		}}, CutOff, 1, nil},
		{"answer of another request", "", []http.HandlerFunc{func(w http.ResponseWriter, _ *http.Request) {
			stream(w, string(answer.Text([]byte("another"), 8)), 0)
			endStream(w)
		}}, Damaged, 1, nil},
		{"end announced too early", "", []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
			stream(w, textOf(bodyOf(r))[:8], 0)
			endStream(w)
		}}, Damaged, 1, nil},
		{"a gap in the offsets", "", []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
			stream(w, textOf(bodyOf(r)), 4)
			endStream(w)
		}}, Damaged, 1, nil},
		{"an announced restart", "", []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
			own := textOf(bodyOf(r))
			stream(w, own[:12], 0)
			fmt.Fprint(w, "event: restart\nid: 0\ndata: {}\n\n")
			stream(w, own, 0)
			endStream(w)
		}}, Whole, 1, func(r Record) bool { return r.Restarts == 1 }},
		{"a failure inside the stream", "", []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
			stream(w, textOf(bodyOf(r))[:8], 0)
			fmt.Fprint(w, "event: error\ndata: {\"error\":{\"code\":5001,\"outcome\":\"ran\"}}\n\n")
		}}, Failed, 1, func(r Record) bool { return r.Code == result.EndpointFailed }},
		{"no answer until deadline and grace have passed", "", []http.HandlerFunc{hang}, Lost, 1, func(r Record) bool { return r.Took() == 21*time.Second }},
		{"patience over, same request resubmitted", "idempotency_key = true\npatience = 3s", []http.HandlerFunc{hang, answerWhole}, Whole, 2, func(r Record) bool {
			return r.Resubmits == 1 && r.Anew == 0 && r.Took() == 3*time.Second+retryDelay
		}},
		{"patience over, new request submitted", "resubmit = new\npatience = 3s", []http.HandlerFunc{hang, answerWhole}, Whole, 2, func(r Record) bool { return r.Anew == 1 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := mustMix(t, oneRequest+c.extra+"\n")
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := &fakeGateway{script: c.script}
				opt := g.serve(t, m)
				opt.Keep = isFirst
				reported := make([]Record, 0, 1)
				opt.Progress = func(r Record) { reported = append(reported, r) }
				recs := doVerified(t, opt)
				is.Equal(len(recs), 1)
				is.Equal(recs[0].Final, c.final)
				is.Equal(len(g.seen), c.seen)
				is.Equal(reported, recs)
				is.Equal(g.seen[0].Header.Get("Authorization"), "Bearer secret")
				if c.check != nil {
					is.True(c.check(recs[0]))
				}
			})
		})
	}
}

// doVerified runs the schedule and compares the answers. The fake gateway keeps
// no execution records, so none are joined.
func doVerified(t *testing.T, o Options) []Record {
	t.Helper()
	arrivals := o.schedule()
	g := newGenerator(o, len(arrivals))
	g.verify = true
	for i, a := range arrivals {
		g.records[i] = o.record(a)
	}
	g.run(context.Background(), arrivals)
	return g.records
}

func TestCallerHeaders(t *testing.T) {
	m := mustMix(t, oneRequest+"repeatable = false\nticket = true\n")
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := &fakeGateway{script: []http.HandlerFunc{func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, `{"tickets":["A"]}`)
		}, answerWhole}}
		opt := g.serve(t, m)
		opt.Keep = isFirst
		recs := doVerified(t, opt)
		is.Equal(recs[0].Final, Whole)
		is.Equal(g.seen[0].URL.Path, pathTickets)
		h := g.seen[1].Header
		is.Equal(h.Get(headerTicket), "A")
		is.Equal(h.Get(headerRepeatable), "false")
		is.Equal(h.Get(headerDeadline), "20s")
	})
}

// Guards against coordinated omission: a gateway that stalls for ten seconds
// delays every request due in that time, but a generator that waits for each
// answer before it sends the next request records only one slow request.
func TestLatencyIncludesGatewayStall(t *testing.T) {
	const stall = 10 * time.Second
	m := mustMix(t, oneRequest)
	m.Run.Rate = 20
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		over := time.After(stall)
		open := make(chan struct{})
		go func() { <-over; close(open) }()
		g := &fakeGateway{script: []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
			<-open
			answerWhole(w, r)
		}}}
		recs := doVerified(t, g.serve(t, m))
		stalled := 0
		for _, r := range recs {
			is.Equal(r.Final, Whole)
			is.Equal(r.Sent, r.Due)
			if r.Due < stall {
				stalled++
				is.Equal(r.FirstToken, stall)
				is.Equal(r.TimeToFirstToken(), stall-r.Due)
			} else {
				is.Equal(r.TimeToFirstToken(), time.Duration(0))
			}
		}
		is.True(stalled > 150)
	})
}

func TestTooManyInFlightAreUnsent(t *testing.T) {
	m := mustMix(t, oneRequest)
	m.Run.MaxInFlight = 1
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := &fakeGateway{script: []http.HandlerFunc{hang}}
		opt := g.serve(t, m)
		opt.Keep = func(a Arrival) bool { return a.At < 10*time.Second }
		recs := doVerified(t, opt)
		is.Equal(recs[0].Final, Lost)
		for _, r := range recs[1:] {
			is.Equal(r.Final, Unsent)
			is.Equal(r.End, r.Due)
		}
	})
}

// A request whose connection was never established counts as unsent, even if
// the dial ends only with the request's deadline.
func TestNoConnectionIsUnsent(t *testing.T) {
	m := mustMix(t, oneRequest)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		over := make(chan struct{})
		defer close(over)
		hangs := func(context.Context, string, string) (net.Conn, error) {
			<-over
			return nil, net.ErrClosed
		}
		recs := doVerified(t, Options{Mix: m, Gateways: []string{"http://gateway"}, Seed: 1, Keep: isFirst, Transport: &http.Transport{DialContext: hangs}})
		is.Equal(recs[0].Final, Unsent)
	})
}
