package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/availability"
	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/endpointlist"
)

var testStart = time.Unix(1000, 0)

func msAfterStart(ms int) time.Time { return testStart.Add(time.Duration(ms) * time.Millisecond) }

func endpoints(ids ...string) []catalog.Endpoint {
	var out []catalog.Endpoint
	for _, id := range ids {
		out = append(out, catalog.Endpoint{ID: id, Service: "s", Address: "127.0.0.1:1"})
	}
	return out
}

// TestRestartUnderTheSameName: a restarted endpoint is recognized although nothing else in its
// entry changed, also in the hash that is sent to peers. Reservations at its earlier incarnation
// are void.
func TestRestartUnderTheSameName(t *testing.T) {
	is := is.New(t)
	s := NewState(false)
	listWith := func(born int64) []catalog.Endpoint {
		out := endpoints("a", "b")
		out[0].Born = born
		return out
	}
	is.Equal(len(s.ApplyList(listWith(0), msAfterStart(0), msAfterStart(0), time.Time{})), 2)
	is.Equal(len(s.ApplyList(listWith(5000), msAfterStart(10), msAfterStart(10), time.Time{})), 0) // it begins to report its start time
	first, _ := s.Endpoint("a")
	is.True(s.SameIncarnation(first))
	changes := s.ApplyList(listWith(7000), msAfterStart(20), msAfterStart(20), time.Time{})
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Kind, availability.ChangeRestarted)
	is.Equal(changes[0].Endpoint.ID, "a")
	is.True(!s.SameIncarnation(first))
	is.Equal(len(s.ApplyList(listWith(7000), msAfterStart(30), msAfterStart(30), time.Time{})), 0)
	is.Equal(len(s.ApplyList(listWith(6000), msAfterStart(40), msAfterStart(40), time.Time{})), 1) // its clock may have been set back
	is.True(endpointlist.Hash(listWith(6000)) != endpointlist.Hash(listWith(7000)))
}

// TestUnconfiguredServicesDoNotMoveCells: many entries of a service that is not configured do not
// change the cells.
func TestUnconfiguredServicesDoNotMoveCells(t *testing.T) {
	is := is.New(t)
	s := NewState(false)
	s.ApplyConfiguration(&catalog.Configuration{Version: 1, Services: []catalog.Service{{Name: "s"}}})
	var list []catalog.Endpoint
	add := func(service, dataCentre string, n int) {
		for i := range n {
			list = append(list, catalog.Endpoint{ID: fmt.Sprint(service, dataCentre, i), Service: service, DataCentre: dataCentre})
		}
	}
	for _, dc := range []string{"d1", "d2", "d3", "d4"} {
		add("s", dc, 30)
	}
	s.ApplyList(list, msAfterStart(0), msAfterStart(0), time.Time{})
	before := s.Cells().Cells()
	is.Equal(len(before), 4)
	add("x", "d9", 500)
	s.ApplyList(list, msAfterStart(10), msAfterStart(10), time.Time{})
	is.Equal(s.Cells().Cells(), before)
}

func TestStateNeverGoesBack(t *testing.T) {
	is := is.New(t)
	s := NewState(false)
	is.True(s.ApplyConfiguration(&catalog.Configuration{Version: 7}))
	is.True(!s.ApplyConfiguration(&catalog.Configuration{Version: 5}))
	is.True(!s.ApplyConfiguration(&catalog.Configuration{Version: 7}))
	is.Equal(s.Version(), uint64(7))
}

func TestProof(t *testing.T) {
	is := is.New(t)
	s := NewState(false)
	s.RecordProof(0, msAfterStart(0))
	age, _ := s.ProofAge(msAfterStart(0))
	is.True(age > time.Hour) // nothing is known, so nothing is proved
	s.ApplyConfiguration(&catalog.Configuration{Version: 7})
	s.RecordProof(7, msAfterStart(100))
	s.RecordProof(6, msAfterStart(200)) // of an older version
	s.RecordProof(7, msAfterStart(50))  // overtaken by a newer proof
	age, _ = s.ProofAge(msAfterStart(300))
	is.Equal(age, 200*time.Millisecond)
}
