package engine_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/internal/standin/answer"
	standin "github.com/micarudder/micarudder/internal/standin/engine"
	"github.com/micarudder/micarudder/internal/standin/pipe"
)

// TestStartUnderFaults checks what each failure proves: after any error except
// ErrLost the request must not have run.
func TestStartUnderFaults(t *testing.T) {
	small := engine.Request{ID: "1", Path: chatPath, Body: chatBody(prompt("f", 900), 20)}
	cases := []struct {
		name   string
		faults standin.Faults
		before func(b *fixture)
		req    engine.Request
		want   error
		ran    int
	}{
		{name: "refused", faults: standin.Faults{Refuse: true}, req: small, want: engine.ErrRefused},
		{name: "response lost", faults: standin.Faults{LoseStart: true}, req: small, want: engine.ErrLost, ran: 1},
		{name: "hangs", faults: standin.Faults{Hang: true}, req: small, want: engine.ErrLost},
		{name: "too long", req: engine.Request{ID: "1", Path: textPath, Body: textBody(prompt("f", 450_000), 1)}, want: engine.ErrNoMemory},
		{name: "unknown model", req: engine.Request{ID: "1", Path: textPath, Body: []byte(`{"model":"none","prompt":"p"}`)}, want: engine.ErrRefused},
		{name: "unknown model, named", req: engine.Request{ID: "1", Path: textPath, Body: []byte(`{"model":"none","prompt":"p"}`)}, want: engine.ErrNotFound},
		{name: "unreadable body", req: engine.Request{ID: "1", Path: textPath, Body: []byte(`{"model`)}, want: engine.ErrRefused},
		{name: "unknown span", req: engine.Request{ID: "1", Path: textPath, Body: textBody("p", 1), Import: []string{"x"}}, want: engine.ErrNotFound},
		{name: "unreachable", before: func(b *fixture) { b.net.Close() }, req: small, want: engine.ErrUnreachable},
		{name: "id is not a valid header value", req: engine.Request{ID: "1\n2", Path: textPath, Body: textBody("p", 1)}, want: engine.ErrRefused},
		{name: "bad path", req: engine.Request{ID: "1", Path: "/%zz", Body: textBody("p", 1)}, want: engine.ErrRefused},
		{name: "id in use", before: func(b *fixture) {
			b.start(engine.Request{ID: "1", Path: chatPath, Body: chatBody(prompt("other", 50), 5000)})
		}, req: small, want: engine.ErrRefused, ran: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withEngine(t, nil, func(is *is.I, b *fixture) {
				b.engine.SetFaults(c.faults)
				if c.before != nil {
					c.before(b)
				}
				ctx, stop := context.WithTimeout(context.Background(), time.Second)
				defer stop()
				_, err := b.client.Start(ctx, c.req)
				is.True(errors.Is(err, c.want))
				is.Equal(engine.NotStarted(err), c.want != engine.ErrLost)
				is.Equal(b.engine.Counts().Total, c.ran)
			})
		})
	}
}

func TestStartWithCanceledContextNeverRuns(t *testing.T) {
	withEngine(t, nil, func(is *is.I, b *fixture) {
		ctx, stop := context.WithCancel(context.Background())
		stop()
		_, err := b.client.Start(ctx, engine.Request{ID: "1", Path: textPath, Body: textBody("p", 1)})
		is.True(errors.Is(err, engine.ErrRefused)) // not ErrUnreachable: the engine was not tried
		is.True(errors.Is(err, context.Canceled))
		is.Equal(b.engine.Counts().Total, 0)
	})
}

// TestStreamUnderFaults checks what a caller has received when a stream breaks
// off.
func TestStreamUnderFaults(t *testing.T) {
	p := prompt("s", 900)
	cases := []struct {
		name        string
		faults      standin.Faults
		during      func(b *fixture)
		tokens      int // delivered; -1: not checked
		want        error
		end         string
		incarnation string
	}{
		{name: "crashes", faults: standin.Faults{DieAfterTokens: 5}, tokens: 5, want: engine.ErrLost, end: "died", incarnation: "engine-2"},
		{name: "crashes at the first token", faults: standin.Faults{DieAfterTokens: 1}, tokens: 1, want: engine.ErrLost, end: "died", incarnation: "engine-2"},
		{name: "is cut off", faults: standin.Faults{CutAfterTokens: 5}, tokens: 5, want: engine.ErrLost, end: "finished", incarnation: "engine-1"},
		{name: "fails", faults: standin.Faults{FailStream: true}, tokens: 39, want: engine.ErrFailed, end: "finished", incarnation: "engine-1"},
		{name: "is slow", faults: standin.Faults{SlowFactor: 10}, tokens: 40, end: "finished", incarnation: "engine-1"},
		{name: "is cancelled", during: func(b *fixture) { _ = b.client.Cancel(context.Background(), "1") }, tokens: -1, want: engine.ErrFailed, end: "canceled", incarnation: "engine-1"},
		{name: "is killed", during: func(b *fixture) { b.engine.Crash() }, tokens: -1, want: engine.ErrLost, end: "died", incarnation: "engine-2"},
		{name: "hangs, then resumes", during: func(b *fixture) {
			b.engine.SetFaults(standin.Faults{Hang: true})
			time.Sleep(time.Hour)
			b.engine.SetFaults(standin.Faults{})
		}, tokens: 40, end: "finished", incarnation: "engine-1"},
		{name: "is not cancelled", faults: standin.Faults{IgnoreCancel: true}, during: func(b *fixture) { _ = b.client.Cancel(context.Background(), "1") }, tokens: 40, end: "finished", incarnation: "engine-1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withEngine(t, nil, func(is *is.I, b *fixture) {
				b.engine.SetFaults(c.faults)
				s, err := b.client.Start(context.Background(), engine.Request{ID: "1", Path: chatPath, Body: chatBody(p, 40)})
				is.NoErr(err)
				first, err := s.Recv()
				is.NoErr(err)
				if c.during != nil {
					c.during(b)
				}
				rest := readStream(s)
				is.True(errors.Is(rest.err, c.want))
				got := string(first.Text) + rest.text
				is.Equal(got, string(answer.Text([]byte(p), 40)[:len(got)])) // a prefix of the expected response
				if c.tokens >= 0 {
					is.Equal(int(first.Tokens)+rest.tokens, c.tokens)
				}
				time.Sleep(time.Minute)
				st := b.engine.State()
				is.Equal(b.engine.Executions()[0].End, c.end)
				is.Equal(st.Incarnation, c.incarnation)
				is.Equal(st.Load.FreeTokens, st.Load.MemoryTokens)
			})
		})
	}
}

func TestStreamEndsWithItsContext(t *testing.T) {
	withEngine(t, nil, func(is *is.I, b *fixture) {
		ctx, stop := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer stop()
		s, err := b.client.Start(ctx, engine.Request{ID: "1", Path: textPath, Body: textBody(prompt("x", 100), 5000)})
		is.NoErr(err)
		got := readStream(s)
		is.True(errors.Is(got.err, engine.ErrLost))
		is.True(errors.Is(got.err, context.DeadlineExceeded))
		synctest.Wait()
		is.Equal(b.engine.State().Running, nil)
	})
}

// TestUnexpectedResponses feeds the client responses that a conforming engine
// does not send.
func TestUnexpectedResponses(t *testing.T) {
	const text = `data: {"choices":[{"delta":{"content":"abc "}}]}` + "\n\n"
	const end = `data: {"choices":[{"delta":{},"finish_reason":"stop"}]}` + "\n\n"
	const done = "data: [DONE]\n\n"
	cases := []struct {
		name   string
		status int
		body   string
		want   error
	}{
		{"complete", 200, ": hello\n\nevent: x\n" + text + end + "data: {\"choices\":[],\"usage\":{\"completion_tokens\":1}}\n\n" + done, nil},
		{"lines ended by CR LF", 200, "data:{\"choices\":[{\"text\":\"a\",\r\ndata: \"finish_reason\":\"stop\"}]}\r\n\r\ndata: [DONE]\r\n\r\n", nil},
		{"no done marker", 200, text + end, engine.ErrLost},
		{"no finish reason", 200, text + done, engine.ErrLost},
		{"text after the finish", 200, text + end + text + done, engine.ErrLost},
		{"cut off within the done marker", 200, text + end + "data: [DONE]", engine.ErrLost},
		{"not JSON", 200, text + "data: oops\n\n" + end + done, engine.ErrLost},
		{"error event", 200, text + "data: {\"error\":{\"code\":\"x\",\"message\":\"y\"}}\n\n", engine.ErrFailed},
		{"empty", 200, "", engine.ErrLost},
		{"event over the size limit", 200, "data: " + string(make([]byte, 2<<20)), engine.ErrLost},
		{"server error", 500, "oops", engine.ErrLost},
		{"bad gateway", 502, "<html>", engine.ErrLost},
		{"unavailable", 503, "", engine.ErrLost},
		{"timeout", 408, "", engine.ErrLost},
		{"too many requests", 429, "", engine.ErrRefused},
		{"failed", 500, `{"error":{"code":"failed"}}`, engine.ErrFailed},
		{"server error with code refused", 500, `{"error":{"code":"refused"}}`, engine.ErrRefused},
		{"redirect", 307, "", engine.ErrLost},
		{"unknown code", 500, `{"error":{"code":"new"}}`, engine.ErrLost},
		{"code of another type", 500, `{"error":{"code":500}}`, engine.ErrLost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				requests := 0
				net := pipe.Serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					requests++
					w.Header().Set("Location", "/elsewhere")
					w.WriteHeader(c.status)
					_, _ = io.WriteString(w, c.body)
				}))
				b := &fixture{client: engine.NewClient(engine.Options{BaseURL: "http://engine", HTTPClient: net.Client})}
				got := b.complete(engine.Request{ID: "1", Path: chatPath, Body: []byte("{}")})
				is.True(errors.Is(got.err, c.want))
				is.Equal(requests, 1)
				net.Close()
			})
		})
	}
}

// TestReusedConnectionBreaks: the transport must not resend a request that may
// have arrived over a reused connection.
func TestReusedConnectionBreaks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		requests := 0
		net := pipe.Serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			requests++
			_, _ = io.Copy(io.Discard, r.Body)
			if requests > 1 {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, "{}")
		}))
		c := engine.NewClient(engine.Options{BaseURL: "http://engine", HTTPClient: net.Client})
		is.NoErr(c.Cancel(context.Background(), "1"))
		_, err := c.Start(context.Background(), engine.Request{ID: "1", Path: chatPath, Body: []byte("{}")})
		is.True(errors.Is(err, engine.ErrLost))
		is.Equal(requests, 2)
		net.Close()
	})
}
