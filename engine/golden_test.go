package engine_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"github.com/micarudder/micarudder/engine"
	standin "github.com/micarudder/micarudder/internal/standin/engine"
)

// recorder is a transport that records requests and responses with the virtual
// time at which each piece was transferred.
type recorder struct {
	next  http.RoundTripper
	begin time.Time
	out   *bytes.Buffer
}

func (r *recorder) record(mark string, text []byte) {
	for line := range bytes.Lines(text) {
		fmt.Fprintf(r.out, "%7.1fms %s %s\n", time.Since(r.begin).Seconds()*1000, mark, bytes.TrimRight(line, "\n"))
	}
}

// RoundTrip implements http.RoundTripper.
func (r *recorder) RoundTrip(req *http.Request) (*http.Response, error) {
	r.record(">", []byte(req.Method+" "+req.URL.Path))
	var head bytes.Buffer
	_ = req.Header.Write(&head)
	r.record(">", bytes.ReplaceAll(head.Bytes(), []byte("\r"), nil))
	resp, err := r.next.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	r.record("<", []byte(resp.Status))
	resp.Body = &recordedBody{resp.Body, r}
	return resp, nil
}

type recordedBody struct {
	io.ReadCloser
	r *recorder
}

func (b *recordedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.r.record("<", p[:n])
	return n, err
}

// TestGoldenStream pins a session on the wire: a run, its resumption after the
// engine crashed, and a run with a cached prefix.
func TestGoldenStream(t *testing.T) {
	var out bytes.Buffer
	withEngine(t, nil, func(is *is.I, b *fixture) {
		rec := &recorder{next: b.net.Client.Transport, begin: time.Now(), out: &out}
		b.client = engine.NewClient(engine.Options{BaseURL: "http://engine", HTTPClient: &http.Client{Transport: rec}, Name: "agent"})
		p := prompt("golden", 2500)
		b.engine.SetFaults(standin.Faults{DieAfterTokens: 3})
		first := b.complete(engine.Request{ID: "r-1", Path: chatPath, Body: chatBody(p, 6), Priority: 2})
		is.True(first.err != nil)
		second := b.complete(engine.Request{ID: "r-2", Path: chatPath, Body: chatBody(p, 6), Priority: 2, ResumeText: []byte(first.text)})
		is.NoErr(second.err)
		third := b.complete(engine.Request{ID: "r-3", Path: textPath, Body: textBody(p, 2), MaxTokens: 9})
		is.NoErr(third.err)
		_, err := b.client.State(context.Background())
		is.NoErr(err)
	})
	goldie.New(t).Assert(t, "stream", out.Bytes())
}
