package relay

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/quarantine"
)

// configure puts a changed copy of the configuration in force.
func (c *crashFleet) configure(change func(*catalog.Configuration)) {
	g := c.gateways[0]
	config := *g.state.Table().Configuration
	config.Version++
	change(&config)
	g.state.ApplyConfiguration(&config)
}

// whileStalled calls f while a stream has one event and waits for the next, before it counts as stalled.
func whileStalled(f func()) { time.AfterFunc(stallLimit-time.Second, f) }

// hasLastID reports whether a request resumes a stream.
func hasLastID(r *http.Request) bool { return r.Header.Get("After") != "" }

// TestStalledStreamIsNotLost guards against a gateway that ends a stalled stream at its endpoint and then
// may not resume it elsewhere, so that the caller loses the rest that the endpoint would have sent.
func TestStalledStreamIsNotLost(t *testing.T) {
	cases := []struct {
		name     string
		prepare  func(c *crashFleet)
		arrivals int // of requests at engines
	}{
		{"key removed", func(c *crashFleet) {
			whileStalled(func() { c.configure(func(config *catalog.Configuration) { config.Workspaces = nil }) })
		}, 1},
		{"route removed", func(c *crashFleet) {
			whileStalled(func() { c.configure(func(config *catalog.Configuration) { config.Routes = nil }) })
		}, 1},
		{"no proof of the configuration", func(c *crashFleet) {
			g := c.gateways[0]
			g.config.RevokeAfter = stallLimit
			g.state.RecordProof(g.state.Version(), time.Now())
		}, 1},
		{"quarantined", func(c *crashFleet) {
			whileStalled(func() { c.gateways[0].quarantine.Change(c.quarantineSound) })
		}, 1},
		{"other endpoints reject it", func(c *crashFleet) { c.rejects = hasLastID }, 2},
		{"other endpoints break off at once", func(c *crashFleet) { c.breaks = hasLastID }, 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newStallFleet(t, 3)
				c.beforeEvent = stallAt(2, stallLimit+time.Second, false)
				tc.prepare(c)
				events, took := c.read("/sound/", nil)
				monitored := len(c.gateways[0].deliveries.Endpoints())
				time.Sleep(time.Minute) // the engines have ended
				is.Equal(events, c.eventsUntil(streamEvents))
				is.True(took < callTimeout)
				is.Equal(len(c.arrivals), tc.arrivals)
				is.Equal(monitored, 0)
			})
		})
	}
}

// quarantineSound quarantines the request that read sends to /sound/.
func (c *crashFleet) quarantineSound(table *quarantine.Table) {
	r := quarantine.Request{Method: "POST", Host: "h", Target: "/sound/", Body: []byte("prompt"), Workspace: "w"}
	for i := range 5 {
		at := time.Now().Add(time.Duration(i-5) * time.Second)
		table.RecordCrash(r.Fingerprint(), quarantine.Crash{Endpoint: quarantine.Incarnation(i + 1), At: at}, time.Now())
	}
}
