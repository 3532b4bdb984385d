package engine_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/internal/standin/answer"
	standin "github.com/micarudder/micarudder/internal/standin/engine"
	"github.com/micarudder/micarudder/internal/standin/pipe"
)

const (
	model    = "rudder-llm"
	chatPath = "/v1/chat/completions"
	textPath = "/v1/completions"
)

// fixture is a client connected to a stand-in engine.
type fixture struct {
	engine      *standin.Server
	net         *pipe.Server
	client      *engine.Client
	openStreams []engine.Stream // closed at the end of the test
}

// start begins a run whose stream the test does not read.
func (b *fixture) start(r engine.Request) {
	s, err := b.client.Start(context.Background(), r)
	if err != nil {
		panic(err)
	}
	b.openStreams = append(b.openStreams, s)
}

// withEngine runs f under virtual time with a stand-in engine of default costs.
func withEngine(t *testing.T, change func(*standin.Config), f func(is *is.I, b *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		cfg := standin.Default()
		cfg.EventGap = 0
		if change != nil {
			change(&cfg)
		}
		b := &fixture{engine: standin.NewServer(cfg)}
		b.net = pipe.Serve(b.engine.Handler())
		b.client = engine.NewClient(engine.Options{BaseURL: "http://engine", HTTPClient: b.net.Client, Name: "test"})
		f(is.New(t), b)
		for _, s := range b.openStreams {
			_ = s.Close()
		}
		b.engine.Close()
		b.net.Close()
		synctest.Wait()
	})
}

func chatBody(prompt string, tokens int) []byte {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	b, _ := json.Marshal(map[string]any{
		"model": model, "messages": []message{{"user", prompt}}, "max_tokens": tokens, "user": "kept",
	})
	return b
}

func textBody(prompt string, tokens int) []byte {
	b, _ := json.Marshal(map[string]any{"model": model, "prompt": prompt, "max_tokens": tokens})
	return b
}

// prompt returns a text of n tokens that begins with the tag of name.
func prompt(name string, n int) string {
	s := answer.Tag(name) + strings.Repeat(name+" ", n*4/(len(name)+1)+1)
	return s[:n*4]
}

// streamResult is what was received from a stream.
type streamResult struct {
	text   string
	tokens int
	finish string
	usage  engine.Usage
	first  time.Duration // time to the first text
	err    error         // nil for a complete stream
}

func readStream(s engine.Stream) streamResult {
	var r streamResult
	begin := time.Now()
	for {
		ev, err := s.Recv()
		if errors.Is(err, io.EOF) {
			return r
		}
		if err != nil {
			r.err = err
			return r
		}
		if r.text == "" {
			r.first = time.Since(begin)
		}
		r.text += string(ev.Text)
		r.tokens += int(ev.Tokens)
		r.finish, r.usage = ev.Finish, ev.Usage
	}
}

func (b *fixture) complete(r engine.Request) streamResult {
	s, err := b.client.Start(context.Background(), r)
	if err != nil {
		return streamResult{err: err}
	}
	defer s.Close()
	return readStream(s)
}

func TestStartStreamsTheCompleteResponse(t *testing.T) {
	p := prompt("a", 2000)
	cases := []struct {
		name string
		req  engine.Request
		want int
	}{
		{"chat", engine.Request{ID: "1", Path: chatPath, Body: chatBody(p, 40)}, 40},
		{"text", engine.Request{ID: "1", Path: textPath, Body: textBody(p, 40)}, 40},
		{"capped", engine.Request{ID: "1", Path: chatPath, Body: chatBody(p, 40), MaxTokens: 7}, 7},
		{"default length", engine.Request{ID: "1", Path: chatPath, Body: chatBody(p, 0)}, answer.DefaultTokens},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withEngine(t, nil, func(is *is.I, b *fixture) {
				got := b.complete(c.req)
				is.NoErr(got.err)
				is.Equal(got.text, string(answer.Text([]byte(p), c.want)))
				is.Equal(got.tokens, c.want)
				is.Equal(got.finish, "length")
				is.Equal(got.usage, engine.Usage{PromptTokens: 2000, OutputTokens: uint64(c.want)})
				is.Equal(b.engine.Counts().ByTag, map[string]int{"a": 1})
				is.Equal(b.engine.State().Running, nil)
			})
		})
	}
}

func TestResumeContinuesWithoutRepeating(t *testing.T) {
	p := prompt("r", 500)
	full := string(answer.Text([]byte(p), 30))
	for _, cut := range []int{4, 6, 40, 119} {
		withEngine(t, nil, func(is *is.I, b *fixture) {
			got := b.complete(engine.Request{ID: "2", Path: chatPath, Body: chatBody(p, 30), ResumeText: []byte(full[:cut])})
			is.NoErr(got.err)
			is.Equal(full[:cut]+got.text, full)
			is.Equal(got.usage.OutputTokens, uint64(30))
		})
	}
}

func TestResumeRejectsMismatchedText(t *testing.T) {
	withEngine(t, nil, func(is *is.I, b *fixture) {
		got := b.complete(engine.Request{ID: "2", Path: chatPath, Body: chatBody("p", 9), ResumeText: []byte("none")})
		is.True(errors.Is(got.err, engine.ErrRefused))
		is.Equal(b.engine.Counts().Total, 0)
	})
}

func TestCancelFreesMemory(t *testing.T) {
	cancelMethods := map[string]func(b *fixture, s engine.Stream, stop func()) error{
		"cancel":  func(b *fixture, _ engine.Stream, _ func()) error { return b.client.Cancel(context.Background(), "1") },
		"close":   func(_ *fixture, s engine.Stream, _ func()) error { return s.Close() },
		"context": func(_ *fixture, _ engine.Stream, stop func()) error { stop(); return nil },
	}
	for name, cancelRun := range cancelMethods {
		t.Run(name, func(t *testing.T) {
			withEngine(t, nil, func(is *is.I, b *fixture) {
				ctx, stop := context.WithCancel(context.Background())
				defer stop()
				s, err := b.client.Start(ctx, engine.Request{ID: "1", Path: chatPath, Body: chatBody(prompt("c", 3000), 500)})
				is.NoErr(err)
				_, err = s.Recv()
				is.NoErr(err)
				is.NoErr(cancelRun(b, s, stop))
				synctest.Wait()
				st, err := b.client.State(context.Background())
				is.NoErr(err)
				is.Equal(st.Running, nil)
				is.Equal(st.Load.FreeTokens, st.Load.MemoryTokens)
				is.Equal(b.engine.Executions()[0].End, "canceled")
				is.True(errors.Is(b.client.Cancel(context.Background(), "1"), engine.ErrNotFound))
			})
		})
	}
}

// TestPriorityIsStrict: a prompt is scheduled between the chunks of another one
// if, and only if, its priority number is lower.
func TestPriorityIsStrict(t *testing.T) {
	const chunks = 300 * time.Millisecond // one chunk of the long prompt plus the short prompt's own
	cases := []struct {
		name        string
		long, short int
		overtakes   bool
	}{{"lower", 9, 1, true}, {"equal", 5, 5, false}, {"higher", 1, 9, false}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withEngine(t, nil, func(is *is.I, b *fixture) {
				b.start(engine.Request{ID: "long", Path: chatPath, Body: chatBody(prompt("l", 100_000), 4), Priority: c.long})
				time.Sleep(time.Second)
				short := b.complete(engine.Request{ID: "short", Path: chatPath, Body: chatBody(prompt("s", 500), 4), Priority: c.short})
				is.NoErr(short.err)
				is.Equal(short.first < chunks, c.overtakes)
				is.Equal(len(b.engine.State().Running) == 1, c.overtakes) // the long prompt is still running
			})
		})
	}
}
