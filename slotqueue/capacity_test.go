package slotqueue

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFullness: requests queue from a tenth of free slots, or if more wait than slots are free, until
// a fifth is free and none waits. Without the difference the state would change with each request.
func TestFullness(t *testing.T) {
	is := is.New(t)
	var f Fullness
	is.True(!f.Update(0, 0, 3)) // no endpoint
	is.True(!f.Update(66, 648, 0))
	is.True(f.Update(64, 648, 0))
	is.True(f.Update(129, 648, 0))
	is.True(f.Update(130, 648, 1))
	is.True(f.NearlyFull())
	is.True(!f.Update(130, 648, 0))
	is.True(f.Update(10, 18, 11)) // more wait than are free
}

// TestReleaseRate: the rate is that of the last two seconds, and never zero, so that a prediction
// exists in any state.
func TestReleaseRate(t *testing.T) {
	is := is.New(t)
	var r Releases
	is.Equal(r.PerSecond(start), 1/initialHold.Seconds())
	for ms := 0; ms < 5000; ms += 10 {
		r.Record(1, at(ms))
	}
	is.True(r.PerSecond(at(5000)) >= 95 && r.PerSecond(at(5000)) <= 105)
	is.True(r.PerSecond(at(6000)) <= 60)
	r.RecordHold(4 * time.Second)
	is.Equal(r.PerSecond(at(9000)), 0.25)
	r.Record(1, at(60_000))
	is.Equal(r.PerSecond(at(60_000)), 0.5)
}

// TestOutlook: a request that can be in time waits for those before it; one that cannot is
// expected to let those pass that can.
func TestOutlook(t *testing.T) {
	inTime, late := ticket(200), ticket(200)
	late.Urgency = Late
	for name, c := range map[string]struct {
		o    Outlook
		want time.Duration
	}{
		"a slot is free":       {Outlook{Ticket: inTime, Position: 2, Waiting: 3, Free: 3, PerSecond: 100}, 0},
		"in time":              {Outlook{Ticket: inTime, Position: 9, Waiting: 10, PerSecond: 100}, 100 * time.Millisecond},
		"would be late":        {Outlook{Ticket: inTime, Position: 29, Waiting: 40, PerSecond: 100}, 4 * time.Second},
		"late ones also wait":  {Outlook{Ticket: inTime, Position: 9, Waiting: 20, Late: 10, PerSecond: 100}, 200 * time.Millisecond},
		"late":                 {Outlook{Ticket: late, Position: 4, Waiting: 5, PerSecond: 100}, 500 * time.Millisecond},
		"almost none are free": {Outlook{Ticket: late, Position: 400, Waiting: 401, PerSecond: 0.5}, maxPredictedWait},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(c.o.Wait(start), c.want)
		})
	}
}

// TestReleasesAreReported: releases are reported at once only while requests wait somewhere or did a
// moment ago, so that the queue costs no messages at other times.
func TestReleasesAreReported(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	is.True(!tr.Released("s", time.Second, start))
	heads := map[string][]Head{"s": {{StartByMs: 10}}}
	is.True(tr.PeerWaits("p", heads, start))
	is.True(!tr.PeerWaits("p", heads, at(10))) // nothing new to report
	is.True(tr.Released("s", time.Second, at(1010)))
	is.True(!tr.Released("s", time.Second, at(1011)))
	is.True(!tr.Released("t", time.Second, at(20)))
	is.True(!tr.PeerWaits("p", nil, at(5000)))
	is.Equal(tr.ReportAge(at(5010)), 10*time.Millisecond)
}

// TestFreshSlots: a slot is fresh for a little longer than a message takes, and no record of it remains
// after that, whatever becomes of the endpoint.
func TestFreshSlots(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	tr.Freed("e", 2, start)
	tr.Freed("e", 1, at(5))
	is.Equal(tr.Fresh("e", at(10)), []time.Duration{10 * time.Millisecond, 10 * time.Millisecond, 5 * time.Millisecond})
	is.Equal(len(tr.Fresh("e", start.Add(tr.freshFor()+time.Millisecond))), 1)
	tr.Expire(at(1000))
	is.Equal(len(tr.freed), 0)
}

// TestCompetes: use is counted while a service is nearly full and for some seconds afterwards.
func TestCompetes(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	is.True(!tr.Competes("s", start))
	is.True(tr.Count("s", 1, 100, start))
	is.True(tr.Competes("s", at(60_000)))
	tr.Leave(tr.Joined(ticket(100), at(60_000)))
	is.True(!tr.Count("s", 50, 100, at(60_100)))
	is.True(tr.Competes("s", at(65_000)))
	is.True(!tr.Competes("s", at(65_001)))
}
