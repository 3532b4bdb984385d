// Package availability decides from what endpoints say of themselves which of them take requests: one that
// leaves takes none any more, one that wants rest takes none from this gateway for a while. The package is pure:
// statements and times come in, beliefs come out.
package availability

import (
	"time"

	"github.com/micarudder/micarudder/ratelimit"
)

// Statement is what an answer of an endpoint says of that endpoint.
type Statement struct {
	// Leaving is set where it takes no new requests any more in this life.
	Leaving bool
	// Rest is for how long, from the answer on, it wants nothing from the gateway that it answers; 0: it asks for none.
	Rest time.Duration
	// Limit is how many requests a second it takes from all gateways together.
	Limit ratelimit.Named
	// LimitUnreadable is set where the answer names a limit that cannot be read, which neither sets nor ends one.
	LimitUnreadable bool
}
