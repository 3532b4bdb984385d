package e2e

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/rudderv1"
	"github.com/micarudder/micarudder/ticket"
)

var newKey = ticket.Key{ID: 2, Secret: []byte("fedcba9876543210")}

// TestTicketKeysRotate: while ticket keys are rotated process by process in the
// three documented steps, a ticket from either gateway is valid at the other
// one and at the agent, and no call is refused.
func TestTicketKeysRotate(t *testing.T) {
	t.Parallel()
	steps := []struct {
		name string
		keys []ticket.Key
	}{
		{"add the new key", []ticket.Key{oldKey, newKey}},
		{"sign with the new key", []ticket.Key{newKey, oldKey}},
		{"drop the old key", []ticket.Key{newKey}},
	}
	runSession(t, func(b *cluster) {
		is := is.New(b.t)
		b.service("s", "bid-api")
		b.gateway("gw1", "gw2")
		b.gateway("gw2", "gw1")
		b.publish()
		calls := 0
		call := func(from, to string) {
			r := b.ask(from, "POST", "/v1/tickets", `{"service":"bid-api","count":1}`, nil)
			is.Equal(r.status, 200)
			var got struct{ Tickets []string }
			is.NoErr(json.Unmarshal([]byte(r.body), &got))
			r = b.ask(to, "POST", "/services/bid-api/x", "{}", map[string]string{"Rudder-Ticket": got.Tickets[0]})
			is.Equal(r.status, 200)
			calls++
		}
		for i, step := range steps {
			if i == len(steps)-1 {
				time.Sleep(10 * time.Minute) // the lifetime of a ticket
			}
			for _, process := range []string{"gw1", "s", "gw2"} {
				is.NoErr(b.signers[process].Rotate(step.keys...))
				call("gw1", "gw2")
				call("gw2", "gw1")
			}
		}
		is.Equal(b.services["s"].Counts().Total, calls)
		is.True(b.ask("gw1", "POST", "/services/bid-api/x", "{}", map[string]string{"Rudder-Ticket": "AQ"}).status == 400)
	})
}

// TestWorkspaceKeysRotate: a second key is added, callers switch to it, and the
// first one is removed; neither is refused while it is declared.
func TestWorkspaceKeysRotate(t *testing.T) {
	t.Parallel()
	const second = "second-key-of-the-bid-desk"
	steps := []struct {
		keys          []string
		first, second int
	}{
		{[]string{bearer}, 200, 401},
		{[]string{bearer, second}, 200, 200},
		{[]string{second}, 401, 200},
	}
	runSession(t, func(b *cluster) {
		is := is.New(b.t)
		b.service("s", "bid-api")
		b.gateway("gw1")
		b.publish()
		for _, step := range steps {
			b.acceptNext(func(d *rudderv1.Document) {
				d.Workspaces[0].KeyDigests = nil
				for _, k := range step.keys {
					d.Workspaces[0].KeyDigests = append(d.Workspaces[0].KeyDigests, digestOf(k))
				}
			})
			time.Sleep(settleTime)
			for key, status := range map[string]int{bearer: step.first, second: step.second} {
				r := b.ask("gw1", "GET", "/services/bid-api/x", "", map[string]string{"Authorization": "Bearer " + key})
				is.Equal(r.status, status)
			}
		}
	})
}
