// Package memory manages the cache memory of model engines for prompts that no single
// engine can hold. LeaseTable is an agent's record of the leases on its own endpoint's memory.
// Plan and Group are the coordinator's side: the choice of endpoints, and the steps from
// the first reservation to the last release. The package does no I/O, and time is an
// argument.
package memory

import (
	"strconv"
	"strings"
	"time"
)

const (
	// MaxLease is the longest time that a lease lasts without renewal.
	MaxLease = 10 * time.Second
	// waiterTTL is how long a refused group is kept among the waiting groups.
	waiterTTL = 5 * time.Second
	// fenceTTL is how long the epochs of a group are remembered after its last message: longer
	// than a message can be in transit.
	fenceTTL = time.Minute
	// maxWaiters and maxFences bound the state that is kept of groups.
	maxWaiters = 64
	maxFences  = 4096
)

// ReservationID returns the ID of the reservation of one attempt of a group, which is the
// same at every member. It is known before the reservation is made, so that a reservation
// whose response was lost can be released.
func ReservationID(group string, epoch uint64) string {
	return group + "." + strconv.FormatUint(epoch, 10)
}

// ParseReservationID is the inverse of ReservationID.
func ParseReservationID(id string) (group string, epoch uint64, ok bool) {
	i := strings.LastIndexByte(id, '.')
	if i <= 0 {
		return "", 0, false
	}
	epoch, err := strconv.ParseUint(id[i+1:], 10, 64)
	return id[:i], epoch, err == nil
}
