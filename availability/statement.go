// Package availability decides which endpoints accept requests, from what the endpoints state about
// themselves: a draining endpoint accepts no new requests, and one that asked for a backoff accepts
// none from this gateway until the backoff is over. The package does no I/O and reads no clock:
// callers pass in statements and times.
package availability

import (
	"time"

	"github.com/micarudder/micarudder/ratelimit"
)

// Statement is what a response of an endpoint says about the endpoint's availability.
type Statement struct {
	// Draining is set if the endpoint is draining: this incarnation accepts no new requests.
	Draining bool
	// Backoff is the requested backoff, from the response on: for so long the gateway that gets the
	// response must send the endpoint nothing. It is 0 if none is requested.
	Backoff time.Duration
	// Limit is how many requests a second the endpoint accepts from all gateways together.
	Limit ratelimit.AdvertisedLimit
	// LimitUnreadable is set if the response has a limit that cannot be parsed. Such a limit neither
	// sets nor ends one.
	LimitUnreadable bool
}
