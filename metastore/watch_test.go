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

// TestBrokenWatch: whatever the service sends instead of a whole watch, Watch
// ends as unavailable within the time given.
func TestBrokenWatch(t *testing.T) {
	const news = `{"result":{"events":[{"kv":{"key":"aw==","mod_revision":"9","value":"eA=="}}]}}` + "\n"
	cases := []struct {
		name   string
		status int
		body   string
		hang   bool // the stream stays open
		seen   []string
	}{
		{"ends at once", 200, "", false, nil},
		{"ends after a change", 200, news, false, []string{"x"}},
		{"a change twice, and one of another key", 200, news + news + strings.ReplaceAll(news, "aw==", "YQ=="), false, []string{"x"}},
		{"canceled", 200, `{"result":{"canceled":true,"compact_revision":"5"}}` + "\n", true, nil},
		{"error in the stream", 200, `{"error":{"message":"etcdserver: no leader"}}` + "\n", true, nil},
		{"empty object", 200, "{}\n", true, nil},
		{"event without a revision", 200, strings.ReplaceAll(news, "9", "0"), true, nil},
		{"no JSON", 200, "<html>\n", true, nil},
		{"cut in a line", 200, news + news[:20], false, []string{"x"}},
		{"line without end", 200, strings.Repeat(" ", 9<<20), true, nil},
		{"refused", 503, `{"message":"etcdserver: no leader"}`, false, nil},
		{"not accepted", 0, "", true, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, standin.Config{}, nil)
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
				err := b.client.Watch(t.Context(), "k", 0, func(e metastore.Entry) { seen = append(seen, show(e)) })
				b.True(errors.Is(err, metastore.ErrUnavailable))
				b.True(time.Since(start) <= b.options.Timeout)
				b.Equal(seen, c.seen)
			})
		})
	}
}

// TestFollowersReturn: after a long outage the followers come back spread over
// the time, and each costs few calls.
func TestFollowersReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const followers = 100
		b := newBench(t, standin.Config{}, nil)
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
		t.Logf("idle: %.3f reads a second and follower", idle)
		b.True(idle < 0.25)

		for _, outage := range []time.Duration{0, 10 * time.Minute} {
			b.server.SetFaults(standin.Faults{Outage: standin.OutageReset})
			synctest.Wait()
			time.Sleep(outage)
			got = 0
			b.server.SetFaults(standin.Faults{})
			e = b.swap(e, "2")
			r := b.returns(longest)
			t.Logf("after an outage of %s: %d reads in %s, in one second at most %d, of them watches %d", outage, r.reads, longest, r.readsPeak, r.watchesPeak)
			b.Equal(got, followers)
			b.True(r.reads <= 8*followers) // two reads and a watch each, then a check every five seconds
			b.Equal(r.watches, int64(followers))
			// The waits are random: after a break half of the followers are
			// expected in one second, after an outage a tenth at most. The
			// bounds are six deviations above.
			if outage == 0 {
				b.True(r.watchesPeak <= 80)
			} else {
				b.True(r.watchesPeak <= 30)
			}
		}
	})
}

// returning is what the service receives while followers come back.
type returning struct {
	reads, readsPeak     int64 // watches included
	watches, watchesPeak int64 // peaks are of one second
}

// returns counts during d.
func (b *bench) returns(d time.Duration) returning {
	var r returning
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
