// Package memory decides who may use the cache memory of model engines for
// prompts that no single engine can hold. Book is an agent's record of the
// leases over its own endpoint's memory; Plan and Group are the coordinator's
// choice of endpoints and its steps from the first reservation to the last
// release. All of it is pure: time and random numbers are arguments.
package memory

import (
	"strconv"
	"strings"
	"time"
)

const (
	// MaxLease bounds how long a lease lasts without being renewed.
	MaxLease = 10 * time.Second
	// placeTime is how long a group that was refused keeps its place in line.
	placeTime = 5 * time.Second
	// fenceTime is how long the epochs of a group are remembered after its last
	// order: longer than a message can be under way.
	fenceTime = time.Minute
	// maxPlaces and maxFences bound what is remembered of groups.
	maxPlaces = 64
	maxFences = 4096
)

// ReservationID names the reservation of one attempt of a group at any member.
// It can be told before the reservation is made, so that one whose answer was
// lost can be released.
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
