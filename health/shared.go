package health

import "time"

// Sign is what one gateway tells others of an endpoint. Its fields are sent in this
// order: new ones come last.
type Sign struct {
	// Failed is how its newest failed exchange there ended, FailedMs ago; Good: none
	// failed lately. Bad answers are not told: endpoints that lose one answer in twenty
	// would be left alone by all. Told as well, worth was 0.010 and 0.001 lower and 0.005
	// higher on three fleets of 18 engines, 15 pairs each: within the noise.
	Failed   Outcome
	FailedMs int64
	// Pace is how many times as long as usual the endpoint takes, as it said itself PaceMs
	// ago; 0: it was not asked.
	Pace   float64
	PaceMs int64
	// Late is set when a stream there lately began or paused much later than expected.
	Late bool
}

const (
	// signLife is how long a failed exchange counts among gateways, and what an endpoint
	// said of its pace. Those that watch an endpoint ask it several times meanwhile, so
	// that a lasting failure is told anew before.
	signLife = 2 * time.Second
	// witnesses is how many gateways must have failed at an endpoint for all to leave it
	// alone: one that is cut off from it alone must not take it from the others.
	witnesses = 2
	// doubtShare is the part of the endpoints, as a divisor, above which a gateway that
	// failed at so many is thought to be cut off itself: it is no witness.
	doubtShare = 3
	// usualPace is the pace below which an endpoint counts as working as usual.
	usualPace = 1.05
	// mostLate is how many endpoints with late streams a gateway tells of: where there are
	// more, there is too much to do, and the engines are not slow.
	mostLate = 8
	// slowestPace bounds what is believed of a pace.
	slowestPace = 50
)

// told is what gateways told of one endpoint, by gateway. The choice looks at each endpoint
// of a cell each time, so what is known is kept by endpoint: most have nothing.
type told map[string]toldSign

type toldSign struct {
	Sign
	at time.Time // when it was told
	// noWitness is set for a gateway that failed at too many endpoints to be believed.
	noWitness bool
}

// teller is a gateway that told something.
type teller struct {
	at        time.Time
	endpoints []string // that it told of
}

// Peer takes in all that a gateway tells of endpoints; there are so many of them.
func (t *Table) Peer(gateway string, signs map[string]Sign, endpoints int, now time.Time) {
	t.dropTold(gateway)
	if len(signs) == 0 {
		return
	}
	noWitness := cutOff(signs, endpoints)
	w := teller{at: now, endpoints: make([]string, 0, len(signs))}
	for id, s := range signs {
		if t.told[id] == nil {
			t.told[id] = make(told)
		}
		t.told[id][gateway] = toldSign{s, now, noWitness}
		w.endpoints = append(w.endpoints, id)
	}
	t.tellers[gateway] = w
}

// cutOff reports whether a gateway that tells these signs of so many endpoints has failed at
// too many of them.
func cutOff(signs map[string]Sign, endpoints int) bool {
	failed := 0
	for _, s := range signs {
		if s.Failed != Good {
			failed++
		}
	}
	return failed > 1 && failed*doubtShare > endpoints
}

// dropTold drops what a gateway told.
func (t *Table) dropTold(gateway string) {
	for _, id := range t.tellers[gateway].endpoints {
		delete(t.told[id], gateway)
		if len(t.told[id]) == 0 {
			delete(t.told, id)
		}
	}
	delete(t.tellers, gateway)
}

// Own returns what this gateway has to tell others. What gateways told that are silent by
// now is dropped.
func (t *Table) Own(now time.Time) map[string]Sign {
	for name, w := range t.tellers {
		if now.Sub(w.at) > signLife {
			t.dropTold(name)
		}
	}
	out := make(map[string]Sign)
	late := 0
	for id := range t.recent {
		r := t.own[id]
		var s Sign
		if r.failing(now) && r.failedAs != Bad {
			s.Failed, s.FailedMs = r.failedAs, now.Sub(r.failed).Milliseconds()
		}
		if r.slow(now) {
			s.Pace, s.PaceMs = r.pace, now.Sub(r.paceAt).Milliseconds()
		}
		if r.isLate(now) && late < mostLate {
			s.Late = true
			late++
		}
		if s != (Sign{}) {
			out[id] = s
		} else if !r.isLate(now) {
			delete(t.recent, id)
		}
	}
	return out
}

// failing reports whether the newest exchange failed, not long ago.
func (r *record) failing(now time.Time) bool {
	return r.failed.After(r.soundSince(r.failedAs)) && now.Sub(r.failed) <= signLife
}

// avoided reports whether other gateways failed at an endpoint, enough of them and after
// it last served this one. One that found another endpoint at its address is enough: that
// is said by who answered there.
func (t *Table) avoided(endpoint string, now time.Time) bool {
	return t.count(endpoint, now) >= witnesses
}

// count returns how many gateways, this one included, are witnesses against an endpoint.
func (t *Table) count(endpoint string, now time.Time) int {
	own := t.own[endpoint]
	if own == nil {
		own = &record{}
	}
	count := 0
	if own.failing(now) {
		count++
	}
	if len(t.told) == 0 {
		return count
	}
	for _, s := range t.told[endpoint] {
		at := s.at.Add(-time.Duration(s.FailedMs) * time.Millisecond)
		if s.Failed == Good || now.Sub(at) > signLife || !at.After(own.soundSince(s.Failed)) || s.noWitness {
			continue
		}
		if s.Failed == Replaced {
			return max(count, witnesses)
		}
		count++
	}
	return count
}

// Witnesses returns how many gateways failed at an endpoint lately, if that is why it is
// left alone, else 0.
func (t *Table) Witnesses(endpoint string, now time.Time) int {
	if n := t.count(endpoint, now); n >= witnesses {
		return n
	}
	return 0
}

// Doubt is why an endpoint should be asked about itself.
type Doubt uint8

// The doubts.
const (
	NoDoubt    Doubt = iota
	OthersSlow       // another endpoint is slow: they seldom come alone
	Slow             // it is or may be slow
	Failing          // some gateway failed there lately
)

// Doubt returns why whoever watches an endpoint should ask it now.
func (t *Table) Doubt(endpoint string, now time.Time) Doubt {
	doubt := NoDoubt
	if t.anySlow(now) {
		doubt = OthersSlow
	}
	if r := t.own[endpoint]; r != nil {
		if r.failing(now) {
			return Failing
		}
		if r.isLate(now) || r.slow(now) {
			doubt = Slow
		}
	}
	for _, s := range t.told[endpoint] {
		switch {
		case now.Sub(s.at) > signLife:
		case s.Failed != Good:
			return Failing
		case s.Late || s.Pace > usualPace:
			doubt = Slow
		}
	}
	return doubt
}

// slow reports whether the endpoint said not long ago that it is slow.
func (r *record) slow(now time.Time) bool {
	return r.pace > usualPace && now.Sub(r.paceAt) <= signLife
}

// anySlow reports whether any endpoint said so to any gateway.
func (t *Table) anySlow(now time.Time) bool {
	for id := range t.recent {
		if t.own[id].slow(now) {
			return true
		}
	}
	for _, all := range t.told {
		for _, s := range all {
			if s.Pace > usualPace && now.Sub(s.at) <= signLife {
				return true
			}
		}
	}
	return false
}

// SetLate takes in that a stream began or paused much later than expected.
func (t *Table) SetLate(endpoint string, now time.Time) {
	t.record(endpoint).late = now
	t.recent[endpoint] = struct{}{}
}

// isLate reports whether a stream was late not long ago, and the endpoint has said nothing
// of its pace since.
func (r *record) isLate(now time.Time) bool {
	return r.late.After(r.paceAt) && now.Sub(r.late) <= signLife
}

// SetPace takes in how many times as long as usual an endpoint says that it takes.
func (t *Table) SetPace(endpoint string, pace float64, now time.Time) {
	r := t.record(endpoint)
	r.pace, r.paceAt = pace, now
	t.recent[endpoint] = struct{}{}
}

// Pace returns how many times as long as usual an endpoint takes, as it said last to this
// gateway or another one; at least 1.
func (t *Table) Pace(endpoint string, now time.Time) float64 {
	pace, newest := 1.0, time.Time{}
	if r := t.own[endpoint]; r != nil && now.Sub(r.paceAt) <= signLife {
		pace, newest = r.pace, r.paceAt
	}
	for _, s := range t.told[endpoint] {
		at := s.at.Add(-time.Duration(s.PaceMs) * time.Millisecond)
		if s.Pace > 0 && now.Sub(at) <= signLife && at.After(newest) {
			pace, newest = s.Pace, at
		}
	}
	return min(slowestPace, max(1, pace))
}
