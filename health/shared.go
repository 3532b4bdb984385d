package health

import "time"

// Sign is what one gateway tells others of an endpoint. Its fields are sent in this
// order: new ones come last.
type Sign struct {
	// Failed is how its newest failed exchange there ended, FailedMs ago; Good: none
	// failed lately. Bad answers are not told: endpoints that lose one answer in twenty
	// would be left alone by all (told as well, worth was 0.010 lower, 15 pairs on days of
	// 34 s before 18 engines of which some lose answers).
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
	// slowestPace bounds what is believed of a pace.
	slowestPace = 50
)

// word is what a gateway told last.
type word struct {
	at        time.Time
	signs     map[string]Sign
	endpoints int // that there were
}

// inDoubt reports whether the gateway that said this has failed at too many endpoints to
// be a witness.
func (w word) inDoubt() bool {
	failed := 0
	for _, s := range w.signs {
		if s.Failed != Good {
			failed++
		}
	}
	return failed > 1 && failed*doubtShare > w.endpoints
}

// Peer takes in all that a gateway tells of endpoints; there are so many of them.
func (t *Table) Peer(gateway string, signs map[string]Sign, endpoints int, now time.Time) {
	if len(signs) == 0 {
		delete(t.peers, gateway)
		return
	}
	t.peers[gateway] = word{at: now, signs: signs, endpoints: endpoints}
}

// Own returns what this gateway has to tell others. What gateways told that are silent by
// now is dropped.
func (t *Table) Own(now time.Time) map[string]Sign {
	for name, w := range t.peers {
		if now.Sub(w.at) > signLife {
			delete(t.peers, name)
		}
	}
	out := make(map[string]Sign)
	for id, r := range t.own {
		var s Sign
		if r.failing(now) && r.failedAs != Bad {
			s.Failed, s.FailedMs = r.failedAs, now.Sub(r.failed).Milliseconds()
		}
		if r.slow(now) {
			s.Pace, s.PaceMs = r.pace, now.Sub(r.paceAt).Milliseconds()
		}
		s.Late = r.isLate(now)
		if s != (Sign{}) {
			out[id] = s
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
	count := 0
	own := t.own[endpoint]
	if own == nil {
		own = &record{}
	}
	if own.failing(now) {
		count++
	}
	for _, w := range t.peers {
		s, ok := w.signs[endpoint]
		at := w.at.Add(-time.Duration(s.FailedMs) * time.Millisecond)
		if !ok || s.Failed == Good || now.Sub(at) > signLife || !at.After(own.soundSince(s.Failed)) || w.inDoubt() {
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
	for _, w := range t.peers {
		s, ok := w.signs[endpoint]
		switch {
		case !ok || now.Sub(w.at) > signLife:
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
	for _, r := range t.own {
		if r.slow(now) {
			return true
		}
	}
	for _, w := range t.peers {
		if now.Sub(w.at) > signLife {
			continue
		}
		for _, s := range w.signs {
			if s.Pace > usualPace {
				return true
			}
		}
	}
	return false
}

// SetLate takes in that a stream began or paused much later than expected. It reports
// whether that is news.
func (t *Table) SetLate(endpoint string, now time.Time) bool {
	r := t.record(endpoint)
	news := !r.isLate(now)
	r.late = now
	return news
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
}

// Pace returns how many times as long as usual an endpoint takes, as it said last to this
// gateway or another one; at least 1.
func (t *Table) Pace(endpoint string, now time.Time) float64 {
	pace, newest := 1.0, time.Time{}
	if r := t.own[endpoint]; r != nil && now.Sub(r.paceAt) <= signLife {
		pace, newest = r.pace, r.paceAt
	}
	for _, w := range t.peers {
		s := w.signs[endpoint]
		at := w.at.Add(-time.Duration(s.PaceMs) * time.Millisecond)
		if s.Pace > 0 && now.Sub(at) <= signLife && at.After(newest) {
			pace, newest = s.Pace, at
		}
	}
	return min(slowestPace, max(1, pace))
}
