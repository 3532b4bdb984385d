package metastore_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	standin "github.com/micarudder/micarudder/internal/standin/platform"
	"github.com/micarudder/micarudder/metastore"
)

// TestBrokenWatch: whatever the service sends instead of a complete watch
// stream, Watch ends with ErrUnavailable within its timeout.
func TestBrokenWatch(t *testing.T) {
	const change = `{"result":{"events":[{"kv":{"key":"aw==","mod_revision":"9","value":"eA=="}}]}}` + "\n"
	cases := []struct {
		name   string
		status int
		body   string
		hang   bool // the stream stays open
		seen   []string
	}{
		{"ends at once", 200, "", false, nil},
		{"ends after a change", 200, change, false, []string{"x"}},
		{"a change twice, and one of another key", 200, change + change + strings.ReplaceAll(change, "aw==", "YQ=="), false, []string{"x"}},
		{"canceled", 200, `{"result":{"canceled":true,"compact_revision":"5"}}` + "\n", true, nil},
		{"error in the stream", 200, `{"error":{"message":"etcdserver: no leader"}}` + "\n", true, nil},
		{"empty object", 200, "{}\n", true, nil},
		{"event without a revision", 200, strings.ReplaceAll(change, "9", "0"), true, nil},
		{"not JSON", 200, "<html>\n", true, nil},
		{"cut off within a line", 200, change + change[:20], false, []string{"x"}},
		{"line over the size limit", 200, strings.Repeat(" ", 9<<20), true, nil},
		{"refused", 503, `{"message":"etcdserver: no leader"}`, false, nil},
		{"not accepted", 0, "", true, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(t, standin.Config{}, nil)
				b.net.remove(address)
				mux := http.NewServeMux()
				mux.Handle("/", b.server.Handler())
				mux.HandleFunc("/v3/watch", func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					if c.status > 0 {
						w.WriteHeader(c.status)
						_, _ = io.WriteString(w, c.body)
						_ = http.NewResponseController(w).Flush()
					}
					if c.hang {
						<-r.Context().Done()
					}
				})
				b.serve(address, mux)
				start := time.Now()
				var seen []string
				err := b.client.Watch(t.Context(), "k", 0, func(e metastore.Entry) { seen = append(seen, valueText(e)) })
				b.True(errors.Is(err, metastore.ErrUnavailable))
				b.True(time.Since(start) <= b.options.Timeout)
				b.Equal(seen, c.seen)
			})
		})
	}
}

// TestFollowersReconnectSpread: after a long outage the followers reconnect
// spread over time, and each one makes few calls.
func TestFollowersReconnectSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const followers = 100
		b := newFixture(t, standin.Config{}, nil)
		e := b.create("k", "1")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		got := 0
		for range followers {
			c := b.newClient()
			go func() { _ = metastore.Follow(ctx, c, "k", e.Revision, func(metastore.Change) { got++ }) }()
		}
		time.Sleep(time.Minute)
		before := b.server.Counts()
		time.Sleep(2 * time.Minute)
		idle := float64(b.server.Counts().Reads()-before.Reads()) / followers / 120
		t.Logf("idle: %.3f reads per second and follower", idle)
		b.True(idle < 0.25)

		for _, outage := range []time.Duration{0, 10 * time.Minute} {
			b.server.SetFaults(standin.Faults{Outage: standin.OutageReset})
			synctest.Wait()
			time.Sleep(outage)
			got = 0
			b.server.SetFaults(standin.Faults{})
			e = b.swap(e, "2")
			r := b.countReconnects(maxReconnectTime)
			t.Logf("after an outage of %s: %d reads in %s, peak of %d reads and %d watches per second", outage, r.reads, maxReconnectTime, r.readsPeak, r.watchesPeak)
			b.Equal(got, followers)
			b.True(r.reads <= 8*followers) // two reads and a watch each, then one check every five seconds
			b.Equal(r.watches, int64(followers))
			// The waits are random. Half of the followers are expected to
			// reconnect within one second after a short interruption, and at
			// most a tenth after an outage. The bounds are six standard
			// deviations above that.
			if outage == 0 {
				b.True(r.watchesPeak <= 80)
			} else {
				b.True(r.watchesPeak <= 30)
			}
		}
	})
}

// reconnectCounts counts the calls that the service receives while followers
// reconnect.
type reconnectCounts struct {
	reads, readsPeak     int64 // watches included
	watches, watchesPeak int64 // peaks are per second
}

// countReconnects counts calls during d.
func (b *fixture) countReconnects(d time.Duration) reconnectCounts {
	var r reconnectCounts
	last := b.server.Counts()
	for range d / time.Second {
		time.Sleep(time.Second)
		now := b.server.Counts()
		reads, watches := now.Reads()-last.Reads(), now.Watch-last.Watch
		r.reads += reads
		r.watches += watches
		r.readsPeak = max(r.readsPeak, reads)
		r.watchesPeak = max(r.watchesPeak, watches)
		last = now
	}
	return r
}
