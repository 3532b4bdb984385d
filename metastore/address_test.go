package metastore_test

import (
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	standin "github.com/micarudder/micarudder/internal/standin/platform"
	"github.com/micarudder/micarudder/metastore"
)

// secondAddress is another address of the same service.
const secondAddress = "10.0.0.2:2379"

func twoAddresses(o *metastore.Options) { o.Addresses = []string{address, secondAddress} }

// TestAddresses: a call that certainly had no effect is retried at the next
// address. A write that may have had an effect is not retried, but the next
// call goes to the other address.
func TestAddresses(t *testing.T) {
	cases := []struct {
		name        string
		begin       func(b *fixture)
		read, write error
	}{
		{"first refuses connections", func(b *fixture) { b.net.remove(address) }, nil, nil},
		{"first hangs", func(b *fixture) {
			b.net.remove(address)
			hanging := standin.NewServer(standin.Config{})
			hanging.SetFaults(standin.Faults{Outage: standin.OutageHang})
			b.serve(address, hanging.Handler())
		}, nil, metastore.ErrUnknown},
		{"first fails", respondingWith(http.StatusBadGateway, ""), nil, metastore.ErrUnknown},
		{"first rejects the call", respondingWith(http.StatusTooManyRequests, ""), metastore.ErrUnavailable, metastore.ErrUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(t, standin.Config{}, twoAddresses)
				b.serve(secondAddress, b.server.Handler())
				e := b.create("k", "old")
				c.begin(b)
				synctest.Wait()
				_, err := b.newClient().Get(t.Context(), "k")
				b.True(errors.Is(err, c.read))
				writer := b.newClient()
				_, err = writer.CompareAndSwap(t.Context(), "k", e.Revision, []byte("new"), 0)
				b.True(errors.Is(err, c.write))
				if !errors.Is(c.write, metastore.ErrUnknown) {
					return
				}
				got, err := writer.Get(t.Context(), "k")
				b.NoErr(err)
				b.Equal(string(got.Value), "old") // the write was not retried
				start := time.Now()
				_, err = writer.Get(t.Context(), "k")
				b.NoErr(err)
				b.Equal(time.Since(start), time.Duration(0)) // the working address is tried first
			})
		})
	}
}

// TestRedirect: following a redirect would send a write a second time without
// the client noticing, so redirects are not followed.
func TestRedirect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t, standin.Config{}, nil)
		b.net.remove(address)
		mux := http.NewServeMux()
		mux.Handle("/v3/kv/txn", http.RedirectHandler("/moved", http.StatusTemporaryRedirect))
		followed := 0
		mux.HandleFunc("/moved", func(http.ResponseWriter, *http.Request) { followed++ })
		b.serve(address, mux)
		_, err := b.client.CompareAndSwap(t.Context(), "k", 0, nil, 0)
		b.True(errors.Is(err, metastore.ErrUnavailable))
		b.Equal(followed, 0)
	})
}

// TestLimiters: reads, writes and keep-alives have separate rate limiters, and
// a call that cannot be sent before its deadline fails immediately.
func TestLimiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t, standin.Config{}, func(o *metastore.Options) { o.ReadRate, o.WriteRate, o.LeaseRate = 2, 1, 1 })
		id, err := b.client.Grant(t.Context(), time.Minute) // uses up the burst of one write
		b.NoErr(err)
		start := time.Now()
		for range 4 {
			_, err := b.client.Get(t.Context(), "k")
			b.True(errors.Is(err, metastore.ErrNotFound))
		}
		b.Equal(time.Since(start), time.Second) // a burst of two, then two more at two per second
		for range 3 {
			go func() { _, _ = b.client.CompareAndSwap(t.Context(), "k", 0, nil, 0) }()
		}
		synctest.Wait()
		start = time.Now()
		_, err = b.client.CompareAndSwap(t.Context(), "k", 0, nil, 0)
		b.True(errors.Is(err, metastore.ErrUnavailable))
		b.Equal(time.Since(start), time.Duration(0))
		_, err = b.client.KeepAlive(t.Context(), id)
		b.NoErr(err) // not delayed by the writes
	})
}

func TestOptions(t *testing.T) {
	cases := []struct {
		name    string
		options metastore.Options
	}{
		{"no address", metastore.Options{}},
		{"empty address", metastore.Options{Addresses: []string{"a:1", " "}}},
		{"negative time", metastore.Options{Addresses: []string{"a:1"}, Timeout: -1}},
		{"negative rate", metastore.Options{Addresses: []string{"a:1"}, LeaseRate: -1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if _, err := metastore.NewClient(c.options); err == nil {
				t.Fatal("invalid options accepted")
			}
		})
	}
}

// TestHosts: the list lags behind, and a host in an unknown state is reported
// as leaving, so that it gets no new work.
func TestHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one := metastore.Host{Name: "h1", DataCentre: "cdf-a", State: metastore.HostLive, Address: "10.1.0.1:7000"}
		b := newFixture(t, standin.Config{Hosts: []metastore.Host{one}, HostLag: 30 * time.Second}, nil)
		list := func() []metastore.Host {
			hosts, err := b.client.Hosts(t.Context())
			b.NoErr(err)
			return hosts
		}
		b.Equal(list(), []metastore.Host{one})
		b.server.SetHost(metastore.Host{Name: "h1", State: "draining"})
		time.Sleep(29 * time.Second)
		b.Equal(list(), []metastore.Host{one})
		time.Sleep(2 * time.Second)
		one.State = metastore.HostLeaving
		b.Equal(list(), []metastore.Host{one})
		b.server.SetHost(metastore.Host{Name: "h1", State: standin.HostGone})
		time.Sleep(31 * time.Second)
		b.Equal(list(), []metastore.Host{})
	})
}
