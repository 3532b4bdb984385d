package stall

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/catalog"
)

var start = time.Unix(1_000_000, 0)

// TestLimit guards against cutting streams whose normal pause is not known or that cannot be resumed,
// and against a limit after which the caller has already left.
func TestLimit(t *testing.T) {
	cases := []struct {
		name      string
		kind      catalog.Kind
		resumable bool
		gap, want time.Duration
	}{
		{"short prompts", catalog.Streaming, true, 250 * time.Millisecond, time.Second},
		{"medium prompts", catalog.Streaming, true, 600 * time.Millisecond, 2400 * time.Millisecond},
		{"very short gaps", catalog.Streaming, true, 10 * time.Millisecond, time.Second},
		{"no gap objective", catalog.Streaming, true, 0, 0},
		{"not resumable", catalog.Streaming, false, time.Second, 0},
		{"not a stream", catalog.Safe, true, time.Second, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			got := Limit(&catalog.Route{Kind: tc.kind, Resumable: tc.resumable, GapObjective: tc.gap})
			is.Equal(got, tc.want)
			is.True(got <= max(2*time.Second, 8*tc.gap)/2)
		})
	}
}

// TestWatch guards against cutting a stream for time that its endpoint is not responsible for, and
// against never cutting one that stalls. The first event arrives at 0; limits are one second.
func TestWatch(t *testing.T) {
	const tick = 125 * time.Millisecond
	ms := func(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }
	cases := []struct {
		name string
		// at returns what is known at a time; frozen reports whether the process does not run then.
		at     func(ms int) Observation
		frozen func(ms int) bool
		want   int // when the stream is cut, in ms; 0: not within ten seconds
	}{
		{"no event", func(int) Observation { return Observation{} }, nil, 1000},
		{"event after each half second", func(now int) Observation { return Observation{LastProgress: ms(now / 500 * 500)} }, nil, 0},
		{"slow, then nothing", func(now int) Observation { return Observation{LastProgress: ms(min(now/900*900, 3600))} }, nil, 4625},
		{"caller does not read", func(int) Observation { return Observation{WaitingForCaller: true} }, nil, 0},
		{"caller reads again after three seconds", func(now int) Observation {
			return Observation{WaitingForCaller: now < 3000, LastProgress: ms(min(now, 3000))}
		}, nil, 4000},
		{"suspended at half a second", func(now int) Observation {
			if now < 500 {
				return Observation{}
			}
			return Observation{Suspended: time.Minute}
		}, nil, 1500},
		{"suspended again and again", func(now int) Observation { return Observation{Suspended: time.Duration(now/500) * time.Second} }, nil, 0},
		{"frozen for 2.7 s", func(int) Observation { return Observation{} }, func(now int) bool { return now > 500 && now < 3200 }, 3750},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			w := NewWatch(time.Second, 0, start)
			is.Equal(w.Interval(), tick)
			cutAt := 0
			for now := 125; now < 10_000 && cutAt == 0; now += 125 {
				if tc.frozen != nil && tc.frozen(now) {
					continue
				}
				if _, stalled := w.Check(tc.at(now), ms(now)); stalled {
					cutAt = now
				}
			}
			is.Equal(cutAt, tc.want)
		})
	}
}

// TestWatchRestart guards against deciding about the same stall at every check.
func TestWatchRestart(t *testing.T) {
	is := is.New(t)
	w := NewWatch(time.Second, 0, start)
	decisions := 0
	for now := start; now.Before(start.Add(3500 * time.Millisecond)); now = now.Add(w.Interval()) {
		if _, stalled := w.Check(Observation{}, now); stalled {
			decisions++
			w.Restart(now)
		}
	}
	is.Equal(decisions, 3)
}

// TestDeliveries guards against counting an endpoint as failing that delivers to others, and against
// state that remains for endpoints without streams.
func TestDeliveries(t *testing.T) {
	is := is.New(t)
	d := NewDeliveries()
	d.Record("a", start) // no stream is in progress
	is.Equal(len(d.endpoints), 0)
	d.Begin("a")
	d.Begin("a")
	d.Record("a", start)
	is.True(!d.DeliveredSince("a", start)) // the own event is not one of others
	d.Record("a", start.Add(time.Second))
	is.True(d.DeliveredSince("a", start))
	d.End("a") // the other stream has ended, what it received counts
	is.True(d.DeliveredSince("a", start))
	is.True(!d.DeliveredSince("b", start))
	d.End("a")
	d.End("a")
	is.Equal(len(d.endpoints), 0)
}
