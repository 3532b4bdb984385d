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

// oneRequest is a flow whose first arrival is the only one kept.
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

// first keeps the first arrival only.
func first(a Arrival) bool { return a.ID == "f-0" }

// attachTo answers a re-attachment with the rest of the answer to a prompt
// that an earlier presentation carried.
func attachTo(text *string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != pathRuns+"T" {
			panic("attached to " + r.URL.Path)
		}
		from, _ := strconv.Atoi(r.Header.Get(headerLastEvent))
		stream(w, *text, from)
		done(w)
	}
}

// remember notes the answer of the presentation for a later attachTo.
func remember(text *string, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		b := bodyOf(r)
		*text = textOf(b)
		w.Header().Set(headerTicket, "T")
		stream(w, (*text)[:3*answer.TokenBytes], 0)
		h(w, r)
	}
}

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// hang reads the request and answers nothing until the caller has gone.
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
		{"refused", "", []http.HandlerFunc{tell(503, notRun)}, Refused, 1, func(r Record) bool {
			return r.Code == result.Overloaded && r.RetryAfter == 1500*time.Millisecond
		}},
		{"refused, comes back after the stated time", "retries = 1", []http.HandlerFunc{tell(503, notRun), answerWhole}, Whole, 2, func(r Record) bool {
			return r.Took() == 1500*time.Millisecond
		}},
		{"told may have run, without a ticket", "", []http.HandlerFunc{tell(502, mayHaveRun)}, Unknown, 1, nil},
		{"an error that is no problem document", "", []http.HandlerFunc{func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(502) }}, Unknown, 1, nil},
		{"broken, then attached", "", []http.HandlerFunc{remember(&text, abort), attachTo(&text)}, Whole, 2, func(r Record) bool {
			return r.Reattached == 1 && r.Presentations == 1
		}},
		{"broken, then the run's records are gone", "", []http.HandlerFunc{remember(&text, abort), tell(410, gone)}, Unknown, 2, nil},
		{"the agent has no such run yet", "", []http.HandlerFunc{remember(&text, abort), tell(404, unknownRun), answerWhole}, Whole, 3, func(r Record) bool {
			return r.Presentations == 2
		}},
		{"told may have run, asked, no such run", "idempotency_key = true", []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(headerTicket, "T")
			tell(502, mayHaveRun)(w, r)
		}, tell(404, unknownRun), answerWhole}, Whole, 3, func(r Record) bool { return r.Presentations == 2 }},
		{"broken, without a ticket", "", []http.HandlerFunc{abort}, Lost, 1, nil},
		{"broken under a key, asked again", "idempotency_key = true", []http.HandlerFunc{abort, answerWhole}, Whole, 2, nil},
		{"ended early without an end", "", []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
			stream(w, textOf(bodyOf(r))[:8], 0)
		}}, CutOff, 1, nil},
		{"another's answer", "", []http.HandlerFunc{func(w http.ResponseWriter, _ *http.Request) {
			stream(w, string(answer.Text([]byte("another"), 8)), 0)
			done(w)
		}}, Damaged, 1, nil},
		{"end announced too early", "", []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
			stream(w, textOf(bodyOf(r))[:8], 0)
			done(w)
		}}, Damaged, 1, nil},
		{"a gap in the offsets", "", []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
			stream(w, textOf(bodyOf(r)), 4)
			done(w)
		}}, Damaged, 1, nil},
		{"an announced restart", "", []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
			own := textOf(bodyOf(r))
			stream(w, own[:12], 0)
			fmt.Fprint(w, "event: restart\nid: 0\ndata: {}\n\n")
			stream(w, own, 0)
			done(w)
		}}, Whole, 1, func(r Record) bool { return r.Restarts == 1 }},
		{"a failure inside the stream", "", []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
			stream(w, textOf(bodyOf(r))[:8], 0)
			fmt.Fprint(w, "event: error\ndata: {\"error\":{\"code\":5001,\"outcome\":\"ran\"}}\n\n")
		}}, Failed, 1, func(r Record) bool { return r.Code == result.EndpointFailed }},
		{"hangs past the deadline and the grace", "", []http.HandlerFunc{hang}, Lost, 1, func(r Record) bool { return r.Took() == 21*time.Second }},
		{"impatient, submits the same request again", "idempotency_key = true\npatience = 3s", []http.HandlerFunc{hang, answerWhole}, Whole, 2, func(r Record) bool {
			return r.Resubmits == 1 && r.Anew == 0 && r.Took() == 3*time.Second+reattachWait
		}},
		{"impatient, submits a new request", "resubmit = new\npatience = 3s", []http.HandlerFunc{hang, answerWhole}, Whole, 2, func(r Record) bool { return r.Anew == 1 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := mustMix(t, oneRequest+c.extra+"\n")
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := &gatewayFake{script: c.script}
				opt := g.serve(t, m)
				opt.Keep = first
				c0 := make([]Record, 0, 1)
				opt.Progress = func(r Record) { c0 = append(c0, r) }
				recs := doVerified(t, opt)
				is.Equal(len(recs), 1)
				is.Equal(recs[0].Final, c.final)
				is.Equal(len(g.seen), c.seen)
				is.Equal(c0, recs)
				is.Equal(g.seen[0].Header.Get("Authorization"), "Bearer secret")
				if c.check != nil {
					is.True(c.check(recs[0]))
				}
			})
		})
	}
}

// doVerified runs the schedule with answers compared; the fake keeps no
// records of executions, so the join is left out.
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
		g := &gatewayFake{script: []http.HandlerFunc{func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, `{"tickets":["A"]}`)
		}, answerWhole}}
		opt := g.serve(t, m)
		opt.Keep = first
		recs := doVerified(t, opt)
		is.Equal(recs[0].Final, Whole)
		is.Equal(g.seen[0].URL.Path, pathTickets)
		h := g.seen[1].Header
		is.Equal(h.Get(headerTicket), "A")
		is.Equal(h.Get(headerRepeatable), "false")
		is.Equal(h.Get(headerDeadline), "20s")
	})
}

// A gateway that stalls for ten seconds makes every request due in that time
// wait for the rest of it. A generator that waited with it would record one
// slow request and hide the others.
func TestStallIsNotHidden(t *testing.T) {
	const stall = 10 * time.Second
	m := mustMix(t, oneRequest)
	m.Run.Rate = 20
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		over := time.After(stall)
		open := make(chan struct{})
		go func() { <-over; close(open) }()
		g := &gatewayFake{script: []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
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
		g := &gatewayFake{script: []http.HandlerFunc{hang}}
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

// A connection that never comes about carries no request, however it ends.
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
		recs := doVerified(t, Options{Mix: m, Gateways: []string{"http://gateway"}, Seed: 1, Keep: first, Transport: &http.Transport{DialContext: hangs}})
		is.Equal(recs[0].Final, Unsent)
	})
}
