package metastore_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	standin "github.com/micarudder/micarudder/internal/standin/platform"
	"github.com/micarudder/micarudder/metastore"
)

// TestSockets checks on real sockets the cases that the outcomes depend on: a
// connection that breaks during a call, and one that cannot be established.
func TestSockets(t *testing.T) {
	is := is.New(t)
	service := standin.NewServer(standin.Config{})
	arrived := make(chan string)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		service.Handler().ServeHTTP(httptest.NewRecorder(), r)
		arrived <- r.URL.Path
		<-r.Context().Done()
	}))
	defer server.Close()
	client, err := metastore.NewClient(metastore.Options{Addresses: []string{server.Listener.Addr().String()}, Timeout: time.Minute})
	is.NoErr(err)
	calls := []struct {
		call func() error
		want error
	}{
		{func() error { _, err := client.Get(t.Context(), "k"); return err }, metastore.ErrUnavailable},
		{func() error {
			_, err := client.CompareAndSwap(t.Context(), "k", 0, make([]byte, metastore.MaxValue), 0)
			return err
		}, metastore.ErrUnknown},
		{func() error { _, err := client.Grant(t.Context(), time.Hour); return err }, metastore.ErrUnknown},
		{func() error {
			return client.Watch(t.Context(), "k", 0, func(metastore.Entry) {})
		}, metastore.ErrUnavailable},
	}
	for _, c := range calls {
		ended := make(chan error, 1)
		go func() { ended <- c.call() }()
		<-arrived
		server.CloseClientConnections()
		is.True(errors.Is(<-ended, c.want)) // broken during the call
	}
	is.Equal(len(service.History("k")), 1) // the write took effect
	server.Close()
	for _, c := range calls {
		is.True(errors.Is(c.call(), metastore.ErrUnavailable)) // connection refused
	}
}
