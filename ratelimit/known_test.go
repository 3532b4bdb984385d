package ratelimit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func limitOf(perSecond float64) Named { return Named{Is: true, PerSecond: perSecond} }

// TestWhichAnswerHolds: only an answer to a request that was sent after a limit was known raises or
// ends it; of answers in no known order the lowest holds.
func TestWhichAnswerHolds(t *testing.T) {
	type answer struct {
		sent  uint64
		named Named
	}
	cases := []struct {
		name    string
		answers []answer
		want    Named
	}{
		{"none", []answer{{0, Named{}}}, Named{}},
		{"first", []answer{{0, limitOf(2)}}, limitOf(2)},
		{"one that was sent before comes without", []answer{{0, limitOf(2)}, {0, Named{}}}, limitOf(2)},
		{"a later one comes without", []answer{{0, limitOf(2)}, {1, Named{}}}, Named{}},
		{"raised by a later one", []answer{{0, limitOf(2)}, {1, limitOf(3)}}, limitOf(3)},
		{"raised by one in no known order", []answer{{0, limitOf(2)}, {0, limitOf(3)}}, limitOf(2)},
		{"lowered by one in no known order", []answer{{0, limitOf(2)}, {0, limitOf(1)}}, limitOf(1)},
		{"named again late after its end", []answer{{0, limitOf(2)}, {1, Named{}}, {1, limitOf(2)}}, limitOf(2)},
		{"zero", []answer{{0, limitOf(0)}}, limitOf(0)},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			k, now := NewKnown(), time.Now()
			for _, a := range tc.answers {
				k.Answered("e", 0, a.sent, a.named, now)
			}
			perSecond, ok := k.Limit("e")
			if got := (Named{Is: ok, PerSecond: perSecond}); got != tc.want {
				t.Errorf("limit %v, want %v", got, tc.want)
			}
		})
	}
}

// TestGatewaysAgreeOnLimits: two gateways that read answers at the same time come to the same belief,
// whatever order they hear each other in, and old news ends nothing.
func TestGatewaysAgreeOnLimits(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	a, b := NewKnown(), NewKnown()
	exchange := func() {
		fromA, fromB := a.Tell(true, now), b.Tell(true, now)
		for id, n := range fromA {
			b.Heard(id, n, now)
		}
		for id, n := range fromB {
			a.Heard(id, n, now)
		}
	}
	a.Answered("e", 0, 0, limitOf(2), now)
	b.Answered("e", 0, 0, limitOf(3), now)
	exchange()
	is.Equal(a.entries["e"].Notice, b.entries["e"].Notice)
	got, _ := a.Limit("e")
	is.Equal(got, 2.0)

	stale := a.Tell(true, now)["e"]
	b.Answered("e", 0, b.Version("e"), Named{}, now)
	exchange()
	_, limited := a.Limit("e")
	is.True(!limited)
	is.True(!b.Heard("e", stale, now)) // from one that was cut off
	_, limited = b.Limit("e")
	is.True(!limited)
	now = now.Add(2 * tellFor)
	b.Heard("e", stale, now)
	is.Equal(b.Tell(false, now)["e"].Named, Named{}) // it is answered
}

// TestNewLifeHasNoLimit: what an endpoint named in an earlier life, whatever its clock said, does not outlast it.
func TestNewLifeHasNoLimit(t *testing.T) {
	is := is.New(t)
	for _, born := range []int64{9, 1} {
		k, now := NewKnown(), time.Now()
		k.Answered("e", 5, 0, limitOf(2), now)
		k.Answered("e", 5, 1, limitOf(3), now)
		is.True(!k.Answered("e", born, 2, Named{}, now)) // of another life: nothing ends
		k.Answered("e", born, 0, limitOf(9), now)
		got, _ := k.Limit("e")
		is.Equal(got, 9.0)
		k.Heard("e", Notice{Version: 1, Named: limitOf(4), Born: 5}, now)
		got, _ = k.Limit("e")
		is.Equal(got, 4.0) // the caller knows that life
		k.Forget("e")
		_, limited := k.Limit("e")
		is.True(!limited)
	}
}

// TestForeignLimitsLapse: nobody here learns of the end of a limit in another cell.
func TestForeignLimitsLapse(t *testing.T) {
	is := is.New(t)
	k, now := NewKnown(), time.Now()
	k.Answered("own", 0, 0, limitOf(2), now)
	k.Answered("foreign", 0, 0, limitOf(2), now)
	is.True(k.Expire(func(id string) bool { return id == "own" }, now.Add(foreignFor+time.Second)))
	_, own := k.Limit("own")
	_, foreign := k.Limit("foreign")
	is.True(own)
	is.True(!foreign)
	is.Equal(k.Limits(), map[string]float64{"own": 2})
}
