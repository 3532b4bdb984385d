package engine_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/engine"
	"github.com/micarudder/micarudder/internal/standin/answer"
	standin "github.com/micarudder/micarudder/internal/standin/engine"
	"github.com/micarudder/micarudder/internal/standin/pipe"
)

const million = 1_000_000

// TestPromptAcrossFourEngines: four engines of 450,000 tokens each compute a
// quarter of a prompt of a million tokens, and the last one runs the
// completion.
func TestPromptAcrossFourEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := prompt("archive", million)
		body := chatBody(p, 8)
		const members, part = 4, million / 4
		var group []*fixture
		for i := range members {
			cfg := standin.Default()
			cfg.Name = fmt.Sprint("e", i)
			b := &fixture{engine: standin.NewServer(cfg)}
			b.net = pipe.Serve(b.engine.Handler())
			b.client = engine.NewClient(engine.Options{BaseURL: "http://engine", HTTPClient: b.net.Client})
			group = append(group, b)
		}
		var handles []string
		var exported [][]byte
		for i, b := range group {
			for k, data := range exported {
				is.NoErr(b.client.Import(bg, handles[k], "g1", data))
			}
			if i == members-1 {
				break
			}
			id := fmt.Sprint("span", i)
			is.NoErr(b.client.Prefill(bg, engine.Span{ID: id, Owner: "g1", Path: chatPath, Body: body, Start: uint64(i * part), Tokens: part, Import: handles}))
			data, err := b.client.Export(bg, id)
			is.NoErr(err)
			handles, exported = append(handles, id), append(exported, data)
		}
		last := group[members-1]
		got := last.complete(engine.Request{ID: "run", Path: chatPath, Body: body, Import: handles})
		is.NoErr(got.err)
		is.Equal(got.text, string(answer.Text([]byte(p), 8)))
		is.Equal(got.usage.CachedTokens, uint64(3*part))
		is.Equal(last.engine.State().Load.FreeTokens, uint64(450_000-3*part/8))
		for i, b := range group {
			for k := range min(i+1, len(handles)) {
				is.NoErr(b.client.Free(bg, handles[k]))
			}
			is.Equal(b.engine.State().Load.FreeTokens, uint64(450_000))
			b.engine.Close()
			b.net.Close()
		}
	})
}

// TestSpanUnderFaults checks which memory remains held after each failure of a
// span call.
func TestSpanUnderFaults(t *testing.T) {
	p := prompt("span", 10_000)
	span := engine.Span{ID: "s", Owner: "g", Path: textPath, Body: textBody(p, 1), Tokens: 6000}
	prefill := func(b *fixture) error { return b.client.Prefill(bg, span) }
	cases := []struct {
		name string
		do   func(b *fixture) error
		want error
		held uint64
	}{
		{"prefilled", prefill, nil, 6000},
		{"refused", func(b *fixture) error { b.engine.SetFaults(standin.Faults{Refuse: true}); return prefill(b) }, engine.ErrRefused, 0},
		{"response lost", func(b *fixture) error {
			b.engine.SetFaults(standin.Faults{LoseOrderAnswer: true})
			return prefill(b)
		}, engine.ErrLost, 6000},
		{"twice", func(b *fixture) error { _ = prefill(b); return prefill(b) }, engine.ErrRefused, 6000},
		{"cancelled", func(b *fixture) error {
			time.AfterFunc(100*time.Millisecond, func() { _ = b.client.Cancel(bg, "s") })
			return prefill(b)
		}, engine.ErrFailed, 0},
		{"engine crashes", func(b *fixture) error {
			time.AfterFunc(100*time.Millisecond, b.engine.Crash)
			return prefill(b)
		}, engine.ErrLost, 0},
		{"gap before the span", func(b *fixture) error {
			s := span
			s.Start = 10
			return b.client.Prefill(bg, s)
		}, engine.ErrRefused, 0},
		{"past the end of the prompt", func(b *fixture) error {
			s := span
			s.Tokens = 10_001
			return b.client.Prefill(bg, s)
		}, engine.ErrRefused, 0},
		{"no memory", func(b *fixture) error {
			s := span
			s.Body, s.Tokens = textBody(prompt("big", 500_000), 1), 0
			return b.client.Prefill(bg, s)
		}, engine.ErrNoMemory, 0},
		{"import for another prompt", func(b *fixture) error {
			_ = prefill(b)
			return b.complete(engine.Request{ID: "1", Path: textPath, Body: textBody(prompt("other", 10_000), 1), Import: []string{"s"}}).err
		}, engine.ErrRefused, 6000},
		{"damaged import", func(b *fixture) error {
			_ = prefill(b)
			data, _ := b.client.Export(bg, "s")
			data[len(data)/2] ^= 1
			return b.client.Import(bg, "t", "g", data)
		}, engine.ErrRefused, 6000},
		{"imported twice", func(b *fixture) error {
			_ = prefill(b)
			data, _ := b.client.Export(bg, "s")
			_ = b.client.Import(bg, "t", "g", data)
			return b.client.Import(bg, "t", "g", data)
		}, nil, 6000 + 6000/8},
		{"freed", func(b *fixture) error { _ = prefill(b); return b.client.Free(bg, "s") }, nil, 0},
		{"freed twice", func(b *fixture) error {
			_, _ = prefill(b), b.client.Free(bg, "s")
			return b.client.Free(bg, "s")
		}, engine.ErrNotFound, 0},
		{"freed while in use", func(b *fixture) error {
			_ = prefill(b)
			b.start(engine.Request{ID: "1", Path: textPath, Body: textBody(p, 1), Import: []string{"s"}})
			return b.client.Free(bg, "s")
		}, engine.ErrRefused, 6000},
		{"abandoned during import", func(b *fixture) error {
			_ = prefill(b)
			data, _ := b.client.Export(bg, "s")
			ctx, stop := context.WithTimeout(bg, time.Millisecond) // it takes 30 ms
			defer stop()
			return b.client.Import(ctx, "t", "g", data)
		}, engine.ErrLost, 6000 + 6000/8},
		{"export of an unknown span", func(b *fixture) error { _, err := b.client.Export(bg, "x"); return err }, engine.ErrNotFound, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withEngine(t, nil, func(is *is.I, b *fixture) {
				err := c.do(b)
				is.True(errors.Is(err, c.want))
				time.Sleep(time.Minute)
				st, err := b.client.State(bg)
				is.NoErr(err)
				var held uint64
				for _, h := range st.Held {
					held += h.Tokens
					is.Equal(h.Owner, "g")
				}
				is.Equal(held, c.held)
				is.Equal(st.Load.FreeTokens, st.Load.MemoryTokens-held)
			})
		})
	}
}

// TestCompletionOvertakesPrefill: a completion with a lower priority number
// runs ahead of a span that is being prefilled.
func TestCompletionOvertakesPrefill(t *testing.T) {
	withEngine(t, nil, func(is *is.I, b *fixture) {
		long := prompt("long", 100_000)
		done := make(chan error, 1)
		go func() {
			done <- b.client.Prefill(bg, engine.Span{ID: "s", Owner: "g", Path: textPath, Body: textBody(long, 1), Priority: 24})
		}()
		time.Sleep(time.Second)
		began := time.Now()
		got := b.complete(engine.Request{ID: "1", Path: textPath, Body: textBody(prompt("short", 1000), 1)})
		is.NoErr(got.err)
		is.True(time.Since(began) < 200*time.Millisecond) // the span takes 6 s
		is.NoErr(<-done)
	})
}
