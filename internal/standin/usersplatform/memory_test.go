package usersplatform

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestLapsedReservationOfCrashedWorker guards against a reservation that counts as unused memory until its worker crashes,
// although it has lapsed seconds before.
func TestLapsedReservationOfCrashedWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := NewMemory()
		is.Equal(m.handleOrder("w", order{Op: "reserve", ID: "r", Tokens: 10, HoldMs: 3000}), "200 OK")
		time.Sleep(7 * time.Second)
		m.dropWorker("w")
		is.Equal(len(m.Unused(4*time.Second)), 0)
		is.Equal(len(m.Unused(2*time.Second)), 1)
	})
}
