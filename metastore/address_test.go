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

// second is the address of a second door to the same service.
const second = "10.0.0.2:2379"

func twoAddresses(o *metastore.Options) { o.Addresses = []string{address, second} }

// TestAddresses: what certainly had no effect is tried at the next address; a
// write that may have had one is not, but the next call goes elsewhere.
func TestAddresses(t *testing.T) {
	cases := []struct {
		name        string
		begin       func(b *bench)
		read, write error
	}{
		{"first refuses", func(b *bench) { b.net.remove(address) }, nil, nil},
		{"first hangs", func(b *bench) {
			b.net.remove(address)
			hanging := standin.NewServer(standin.Config{})
			hanging.SetFaults(standin.Faults{Outage: standin.OutageHang})
			b.serve(address, hanging.Handler())
		}, nil, metastore.ErrUnknown},
		{"first fails", answering(http.StatusBadGateway, ""), nil, metastore.ErrUnknown},
		{"first refuses the call", answering(http.StatusTooManyRequests, ""), metastore.ErrUnavailable, metastore.ErrUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, standin.Config{}, twoAddresses)
				b.serve(second, b.server.Handler())
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
				b.Equal(string(got.Value), "old") // the write was not repeated
				start := time.Now()
				_, err = writer.Get(t.Context(), "k")
				b.NoErr(err)
				b.Equal(time.Since(start), time.Duration(0)) // the good address is kept
			})
		})
	}
}

// TestRedirect: a redirect would send a write twice without the client's
// knowledge, so it is not followed.
func TestRedirect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, standin.Config{}, nil)
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

// TestLimiters: reads, writes and keep-alives have shares of their own, and
// what cannot be sent in time is refused at once.
func TestLimiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, standin.Config{}, func(o *metastore.Options) { o.ReadRate, o.WriteRate, o.LeaseRate = 2, 1, 1 })
		id, err := b.client.Grant(t.Context(), time.Minute) // the one write at once
		b.NoErr(err)
		start := time.Now()
		for range 4 {
			_, err := b.client.Get(t.Context(), "k")
			b.True(errors.Is(err, metastore.ErrNotFound))
		}
		b.Equal(time.Since(start), time.Second) // two at once, two more at two a second
		for range 3 {
			go func() { _, _ = b.client.CompareAndSwap(t.Context(), "k", 0, nil, 0) }()
		}
		synctest.Wait()
		start = time.Now()
		_, err = b.client.CompareAndSwap(t.Context(), "k", 0, nil, 0)
		b.True(errors.Is(err, metastore.ErrUnavailable))
		b.Equal(time.Since(start), time.Duration(0))
		_, err = b.client.KeepAlive(t.Context(), id)
		b.NoErr(err) // not held up by the writes
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
				t.Fatal("accepted")
			}
		})
	}
}

// TestHosts: the list lags, and a host in a state not known here takes no new
// work.
func TestHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one := metastore.Host{Name: "h1", DataCentre: "cdf-a", State: metastore.HostLive, Address: "10.1.0.1:7000"}
		b := newBench(t, standin.Config{Hosts: []metastore.Host{one}, HostLag: 30 * time.Second}, nil)
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
