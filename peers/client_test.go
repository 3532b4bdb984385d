package peers

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/endpointlist"
	"github.com/micarudder/micarudder/internal/httpresponse"
	"github.com/micarudder/micarudder/internal/memtest"
	"github.com/micarudder/micarudder/internal/standin/rawhttp"
)

// TestEndlessDocuments guards against a gateway that sends a document without end, or something else at its address,
// and whose bytes fill the memory of the others.
func TestEndlessDocuments(t *testing.T) {
	const sent = 64 << 20
	repeat := func(w io.Writer, begin, text string) {
		_, _ = io.WriteString(w, begin)
		part := bytes.Repeat([]byte(text), 32<<10/len(text))
		for n := 0; n < sent; n += len(part) {
			if _, err := w.Write(part); err != nil {
				return
			}
		}
	}
	forms := []struct {
		name  string
		serve http.HandlerFunc
		most  int64 // bytes that are read
	}{
		{"list", func(w http.ResponseWriter, _ *http.Request) {
			repeat(w, "[", `{"id":"engine-1","address":"10.1.0.40:8227"},`)
		}, 2 * maxDocumentBytes},
		{"string", func(w http.ResponseWriter, _ *http.Request) { repeat(w, `["`, "x") }, 2 * maxDocumentBytes},
		{"compressed", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Encoding", "gzip")
			z := gzip.NewWriter(w)
			repeat(z, "[", `{},`)
		}, 1 << 20},
		{"many small objects", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprintf(w, "[%s{}]", bytes.Repeat([]byte("{},"), 1_000_000))
		}, 2 * maxDocumentBytes},
		{"head", func(w http.ResponseWriter, _ *http.Request) {
			c, _, _ := w.(http.Hijacker).Hijack()
			defer c.Close()
			repeat(c, "HTTP/1.1 200 OK\r\n", "X: y\r\n")
		}, 4 * maxHeadBytes},
	}
	for _, tc := range forms {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(tc.serve)
			defer server.Close()
			var read atomic.Int64
			c := NewClient(0, 20*time.Second, 1)
			transport := newTransport(1)
			transport.DialContext = memtest.CountingDialer(&read)
			c.http.Transport = httpresponse.NewTransport(transport)
			var into []struct{ ID string }
			err := c.Get(t.Context(), server.URL, &into)
			is.True(err != nil)
			is.True(errors.Is(err, ErrTooLarge) || tc.name == "head")
			is.Equal(len(into), 0)
			is.True(read.Load() <= tc.most)
		})
	}
}

// TestBrokenDocuments guards against a response of a gateway that is none, or that broke off, and passes for a document.
func TestBrokenDocuments(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
	for name, response := range map[string]string{
		"status 000":         "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n[]",
		"name with a blank":  sound + "Bad Name: x\r\n\r\n[]",
		"coding in HTTP/1.0": "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n[]",
		"cut head":           sound,
		"cut body":           sound + "\r\n[",
		"no body":            sound + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(rawhttp.Handler(response))
			defer server.Close()
			c := NewClient(0, 20*time.Second, 1)
			var into []struct{ ID string }
			is.True(c.Get(t.Context(), server.URL, &into) != nil)
			is.True(c.Post(t.Context(), server.URL, into, &into) != nil)
		})
	}
}

// TestDocumentsOfTheLargestInstallation guards against refusing what gateways tell each other at twice the size that
// the product is designed for.
func TestDocumentsOfTheLargestInstallation(t *testing.T) {
	const endpoints, gateways, workspaces, keys, routes = 2 * 2900, 2 * 400, 2 * 400, 20, 2 * 200
	var list endpointlist.List
	for i := range endpoints {
		list.Endpoints = append(list.Endpoints, catalog.Endpoint{ID: fmt.Sprintf("i-%010x", i), Service: "balancing-bids-llm", Address: "10.200.123.40:38227", DataCentre: "hall-petrzalka", Slots: 16, Born: 1_780_000_000_000})
	}
	var members MemberList
	for i := range gateways {
		members.Members = append(members.Members, Member{netip.MustParseAddrPort("10.200.123.40:38227"), fmt.Sprintf("front-hall-petrzalka-%d", i), "hall-petrzalka"})
	}
	c := catalog.Configuration{Version: 1, Services: make([]catalog.Service, 40)}
	for i := range workspaces {
		w := catalog.Workspace{Name: fmt.Sprintf("workspace-%d", i)}
		for k := range keys {
			w.Keys = append(w.Keys, fmt.Sprintf("key-%032x", k))
		}
		c.Workspaces = append(c.Workspaces, w)
	}
	for i := range routes {
		c.Routes = append(c.Routes, catalog.Route{Name: fmt.Sprintf("route-%d", i), Host: "album.example", PathPrefix: fmt.Sprintf("/photo-caption-%d/", i), Targets: make([]catalog.Target, 3)})
	}
	documents := []struct {
		name       string
		sent, into any
	}{
		{"endpoints", &list, new(endpointlist.List)},
		{"gateways", &members, new(MemberList)},
		{"configuration", &c, new(catalog.Configuration)},
	}
	for _, tc := range documents {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_ = json.NewEncoder(w).Encode(tc.sent)
			}))
			defer server.Close()
			is.NoErr(NewClient(0, 20*time.Second, 1).Get(t.Context(), server.URL, tc.into))
			is.Equal(tc.into, tc.sent)
		})
	}
}
