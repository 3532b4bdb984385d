package metastore_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	standin "github.com/micarudder/micarudder/internal/standin/platform"
	"github.com/micarudder/micarudder/metastore"
)

// unlimited is a rate that no benchmark reaches.
const unlimited = 1e9

// dialService serves a stand-in on loopback and returns a client of it and its
// URL.
func dialService(b *testing.B) (*metastore.Client, string) {
	s := httptest.NewServer(standin.NewServer(standin.Config{}).Handler())
	b.Cleanup(s.Close)
	c, err := metastore.NewClient(metastore.Options{
		Addresses: []string{s.URL},
		ReadRate:  unlimited,
		WriteRate: unlimited,
	})
	if err != nil {
		b.Fatal(err)
	}
	if _, err := c.CompareAndSwap(b.Context(), "k", 0, []byte("value"), 0); err != nil {
		b.Fatal(err)
	}
	return c, s.URL
}

// BenchmarkPlainRange makes the same call as BenchmarkGet without the client,
// as a baseline.
func BenchmarkPlainRange(b *testing.B) {
	_, url := dialService(b)
	for b.Loop() {
		res, err := http.Post(url+"/v3/kv/range", "application/json", bytes.NewReader([]byte(`{"key":"aw=="}`)))
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
	}
}

func BenchmarkGet(b *testing.B) {
	c, _ := dialService(b)
	for b.Loop() {
		if _, err := c.Get(b.Context(), "k"); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkGetParallel(b *testing.B) {
	c, _ := dialService(b)
	b.SetParallelism(2)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := c.Get(b.Context(), "k"); err != nil {
				b.Error(err)
				return
			}
		}
	})
}

func BenchmarkSwap(b *testing.B) {
	c, _ := dialService(b)
	for i := 0; b.Loop(); i++ {
		if _, err := c.CompareAndSwap(b.Context(), fmt.Sprint(i), 0, []byte("value"), 0); err != nil {
			b.Fatal(err)
		}
	}
}
