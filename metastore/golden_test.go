package metastore_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	standin "github.com/micarudder/micarudder/internal/standin/platform"
	"github.com/micarudder/micarudder/metastore"
	"github.com/sebdah/goldie/v2"
)

// transcript records every request and its response as sent on the wire. It
// groups the lines by request, since two responses written at the same moment
// have no defined order.
type transcript struct {
	mu        sync.Mutex
	exchanges []*bytes.Buffer
	inner     http.Handler
}

// begin starts the lines of one request.
func (t *transcript) begin(format string, args ...any) *bytes.Buffer {
	t.mu.Lock()
	defer t.mu.Unlock()
	lines := &bytes.Buffer{}
	fmt.Fprintf(lines, format, args...)
	t.exchanges = append(t.exchanges, lines)
	return lines
}

// add appends to the lines of one request.
func (t *transcript) add(lines *bytes.Buffer, format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fmt.Fprintf(lines, format, args...)
}

// bytes returns all lines in the order of their requests.
func (t *transcript) bytes() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all bytes.Buffer
	for _, lines := range t.exchanges {
		all.Write(lines.Bytes())
	}
	return all.Bytes()
}

func (t *transcript) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	lines := t.begin("%s %s %s\n", r.Method, r.URL, body)
	defer func() {
		if p := recover(); p != nil {
			t.add(lines, "  connection closed\n")
			panic(p)
		}
	}()
	t.inner.ServeHTTP(&recordingWriter{ResponseWriter: w, transcript: t, lines: lines}, r)
}

// recordingWriter is a response writer that records the response as it is
// written.
type recordingWriter struct {
	http.ResponseWriter
	transcript *transcript
	lines      *bytes.Buffer
}

func (n *recordingWriter) WriteHeader(status int) {
	n.transcript.add(n.lines, "  %d\n", status)
	n.ResponseWriter.WriteHeader(status)
}

func (n *recordingWriter) Write(p []byte) (int, error) {
	n.transcript.add(n.lines, "  %s", p)
	return n.ResponseWriter.Write(p)
}

func (n *recordingWriter) Unwrap() http.ResponseWriter { return n.ResponseWriter }

// TestGoldenSession pins the protocol for a lease holder and a follower,
// including a lost response and a broken connection.
func TestGoldenSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t, standin.Config{Hosts: []metastore.Host{
			{Name: "h1", DataCentre: "hall-mlynska", State: metastore.HostLive, Address: "10.1.0.1:7000"},
		}}, nil)
		record := &transcript{inner: b.server.Handler()}
		b.net.remove(address)
		b.serve(address, record)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		section := func(what string) { record.begin("# %s\n", what) }

		section("hosts, a missing key and a list")
		_, err := b.client.Hosts(ctx)
		b.NoErr(err)
		_, _ = b.client.Get(ctx, "k")
		_, err = b.client.List(ctx, "p/")
		b.NoErr(err)

		section("a lease with a key")
		l, err := metastore.Acquire(ctx, b.client, 10*time.Second)
		b.NoErr(err)
		e, err := b.client.CompareAndSwap(ctx, "k", 0, []byte("1"), l.ID())
		b.NoErr(err)
		b.NoErr(l.Renew(ctx))

		section("a watch and a change")
		go func() { _ = b.client.Watch(ctx, "k", e.Revision, func(metastore.Entry) {}) }()
		synctest.Wait()
		e = b.swap(e, "2")
		synctest.Wait()

		section("a conflict")
		_, _ = b.client.CompareAndSwap(ctx, "k", 1, []byte("3"), 0)

		section("a write that is applied and whose answer is lost")
		b.server.SetFaults(standin.Faults{LoseApplied: 1})
		e, err = metastore.SwapAndResolve(ctx, b.client, "k", e.Revision, []byte("4"), l.ID(), func(e metastore.Entry) bool { return string(e.Value) == "4" })
		b.NoErr(err)
		synctest.Wait()

		section("no leader")
		b.server.SetFaults(standin.Faults{Outage: standin.OutageRefuse})
		synctest.Wait()
		_, _ = b.client.Get(ctx, "k")
		b.server.SetFaults(standin.Faults{})

		section("a watch that learns of a deletion")
		b.NoErr(l.Release(ctx))
		go func() { _ = b.client.Watch(ctx, "k", e.Revision, func(metastore.Entry) {}) }()
		synctest.Wait()

		g := goldie.New(t)
		g.Assert(t, "session", record.bytes())
	})
}
