package ratelimit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func limitOf(perSecond float64) AdvertisedLimit {
	return AdvertisedLimit{Set: true, PerSecond: perSecond}
}

// TestLowestLimitAppliesInUnknownOrder checks that only a response to a request sent when the limit was known
// raises or ends it, and that among responses in unknown order the lowest limit applies.
func TestLowestLimitAppliesInUnknownOrder(t *testing.T) {
	type response struct {
		sent  uint64
		limit AdvertisedLimit
	}
	cases := []struct {
		name      string
		responses []response
		want      AdvertisedLimit
	}{
		{"none", []response{{0, AdvertisedLimit{}}}, AdvertisedLimit{}},
		{"first", []response{{0, limitOf(2)}}, limitOf(2)},
		{"no limit in the response to an earlier request", []response{{0, limitOf(2)}, {0, AdvertisedLimit{}}}, limitOf(2)},
		{"no limit in the response to a later request", []response{{0, limitOf(2)}, {1, AdvertisedLimit{}}}, AdvertisedLimit{}},
		{"raised by a later response", []response{{0, limitOf(2)}, {1, limitOf(3)}}, limitOf(3)},
		{"raised by a response in unknown order", []response{{0, limitOf(2)}, {0, limitOf(3)}}, limitOf(2)},
		{"lowered by a response in unknown order", []response{{0, limitOf(2)}, {0, limitOf(1)}}, limitOf(1)},
		{"named again after its end", []response{{0, limitOf(2)}, {1, AdvertisedLimit{}}, {1, limitOf(2)}}, limitOf(2)},
		{"zero", []response{{0, limitOf(0)}}, limitOf(0)},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			table, now := NewLimitTable(), time.Now()
			for _, response := range tc.responses {
				table.ApplyResponse("e", 0, response.sent, response.limit, now)
			}
			perSecond, ok := table.Limit("e")
			if got := (AdvertisedLimit{Set: ok, PerSecond: perSecond}); got != tc.want {
				t.Errorf("limit %v, want %v", got, tc.want)
			}
		})
	}
}

// TestGatewaysAgreeOnLimits checks that two gateways that read different responses at the same time agree on
// the limit once they exchange updates, and that an outdated update does not restore a limit that has ended.
func TestGatewaysAgreeOnLimits(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	a, b := NewLimitTable(), NewLimitTable()
	exchange := func() {
		fromA, fromB := a.Updates(true, now), b.Updates(true, now)
		for id, update := range fromA {
			b.ApplyUpdate(id, update, now)
		}
		for id, update := range fromB {
			a.ApplyUpdate(id, update, now)
		}
	}
	a.ApplyResponse("e", 0, 0, limitOf(2), now)
	b.ApplyResponse("e", 0, 0, limitOf(3), now)
	exchange()
	is.Equal(a.entries["e"].LimitUpdate, b.entries["e"].LimitUpdate)
	got, _ := a.Limit("e")
	is.Equal(got, 2.0)

	stale := a.Updates(true, now)["e"]
	b.ApplyResponse("e", 0, b.Version("e"), AdvertisedLimit{}, now)
	exchange()
	_, limited := a.Limit("e")
	is.True(!limited)
	is.True(!b.ApplyUpdate("e", stale, now)) // from a gateway that was disconnected
	_, limited = b.Limit("e")
	is.True(!limited)
	now = now.Add(2 * shareFor)
	b.ApplyUpdate("e", stale, now)
	is.Equal(b.Updates(false, now)["e"].Limit, AdvertisedLimit{}) // the newer state is sent again
}

// TestNewIncarnationHasNoLimit checks that the limit of an earlier incarnation does not apply to a later one,
// whether or not the endpoint's clock was set back.
func TestNewIncarnationHasNoLimit(t *testing.T) {
	is := is.New(t)
	for _, born := range []int64{9, 1} {
		table, now := NewLimitTable(), time.Now()
		table.ApplyResponse("e", 5, 0, limitOf(2), now)
		table.ApplyResponse("e", 5, 1, limitOf(3), now)
		is.True(!table.ApplyResponse("e", born, 2, AdvertisedLimit{}, now)) // another incarnation: the limit does not end
		table.ApplyResponse("e", born, 0, limitOf(9), now)
		got, _ := table.Limit("e")
		is.Equal(got, 9.0)
		table.ApplyUpdate("e", LimitUpdate{Version: 1, Limit: limitOf(4), Born: 5}, now)
		got, _ = table.Limit("e")
		is.Equal(got, 4.0) // the caller vouches for the incarnation
		table.Forget("e")
		_, limited := table.Limit("e")
		is.True(!limited)
	}
}

// TestLimitsOfOtherCellsExpire checks that limits of endpoints of other cells expire, because no gateway of
// this cell learns when they end.
func TestLimitsOfOtherCellsExpire(t *testing.T) {
	is := is.New(t)
	table, now := NewLimitTable(), time.Now()
	table.ApplyResponse("own", 0, 0, limitOf(2), now)
	table.ApplyResponse("foreign", 0, 0, limitOf(2), now)
	is.True(table.Expire(func(id string) bool { return id == "own" }, now.Add(otherCellTTL+time.Second)))
	_, local := table.Limit("own")
	_, other := table.Limit("foreign")
	is.True(local)
	is.True(!other)
	is.Equal(table.Limits(), map[string]float64{"own": 2})
}
