package quarantine

import (
	"slices"
	"time"
)

// success is an endpoint that completed a request, and when it last did.
type success struct {
	endpoint Incarnation
	address  Address // 0 if the gateway that reported it does not tell
	at       time.Time
}

// witness returns what distinguishes the success from those of other endpoints.
func (s success) witness() uint64 {
	if s.address != 0 {
		return uint64(s.address)
	}
	return uint64(s.endpoint)
}

// record holds what is known of one request, or of one part of prompts.
type record struct {
	createdAt time.Time
	crashes   []Crash   // sorted by time, one for each incarnation
	successes []success // sorted by time, one for each incarnation, since the record exists
	clearedAt time.Time // when an operator cleared it of all earlier crashes
	updates   []update  // that other gateways may not have received yet
}

// effect is what a report changes.
type effect struct {
	changed bool // whether the record differs from before
	isNew   bool // whether other gateways should be told of it
}

// addCrash records a crash. It is new if it was not known, or is known to have been much earlier now.
func (r *record) addCrash(c Crash) effect {
	i := r.crashIndex(c.Endpoint)
	if i < 0 {
		r.crashes = append(r.crashes, c)
		r.sortCrashes()
		if len(r.crashes) > maxCrashes {
			r.crashes = slices.Delete(r.crashes, 0, 1)
		}
		return effect{changed: true, isNew: true}
	}
	known := &r.crashes[i]
	addressLearned := setAddress(&known.Address, c.Address)
	// A report that was delayed, as by a process that was frozen, dates a crash too late.
	earlier := known.At.Sub(c.At)
	if earlier <= 0 {
		return effect{changed: addressLearned}
	}
	known.At = c.At
	r.sortCrashes()
	return effect{changed: true, isNew: earlier >= correlationWindow}
}

// setAddress sets an address that is not known yet; it reports whether that changes it.
func setAddress(known *Address, address Address) bool {
	if *known != 0 || address == 0 {
		return false
	}
	*known = address
	return true
}

func (r *record) sortCrashes() {
	slices.SortStableFunc(r.crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
}

// crashIndex returns the index of an incarnation's crash, -1 for none.
func (r *record) crashIndex(e Incarnation) int {
	return slices.IndexFunc(r.crashes, func(c Crash) bool { return c.Endpoint == e })
}

// addSuccess records a success. A further success of the same endpoint is new if it is at least half of
// successWindow later, as the earlier one will soon expire.
func (r *record) addSuccess(s success) effect {
	i := slices.IndexFunc(r.successes, func(known success) bool { return known.endpoint == s.endpoint })
	if i < 0 {
		r.successes = append(r.successes, s)
		r.sortSuccesses()
		if len(r.successes) > maxSuccesses {
			r.successes = slices.Delete(r.successes, 0, 1)
		}
		return effect{changed: true, isNew: true}
	}
	known := &r.successes[i]
	addressLearned := setAddress(&known.address, s.address)
	later := s.at.Sub(known.at)
	known.at = maxTime(known.at, s.at)
	r.sortSuccesses()
	return effect{changed: addressLearned || later > 0, isNew: later >= successWindow/2}
}

func (r *record) sortSuccesses() {
	slices.SortStableFunc(r.successes, func(a, b success) int { return a.at.Compare(b.at) })
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// current returns the crashes since an operator last cleared the record.
func (r *record) current() []Crash {
	i, _ := slices.BinarySearchFunc(r.crashes, r.clearedAt, func(c Crash, cleared time.Time) int {
		if c.At.After(cleared) {
			return 1
		}
		return -1
	})
	return r.crashes[i:]
}

// lastCrash returns when an endpoint last crashed under the request. Without a crash it returns when
// the record was created.
func (r *record) lastCrash() time.Time {
	if c := r.current(); len(c) > 0 {
		return c[len(c)-1].At
	}
	return r.createdAt
}

// contradicted reports whether a crash probably had another cause: the incarnation that crashed had
// completed the request before, or the endpoint does so in another incarnation, from shortly before the
// crash on.
func (r *record) contradicted(c Crash) bool {
	return slices.ContainsFunc(r.successes, func(s success) bool {
		if s.endpoint == c.Endpoint {
			return true
		}
		return c.Address != 0 && s.address == c.Address && s.at.After(c.At.Add(-successWindow))
	})
}

// successCount returns how many endpoints completed the request within successWindow before its
// newest crash or later.
func (r *record) successCount() int {
	since := r.lastCrash().Add(-successWindow)
	var witnesses []uint64
	for _, s := range r.successes {
		if s.at.After(since) && !slices.Contains(witnesses, s.witness()) {
			witnesses = append(witnesses, s.witness())
		}
	}
	return len(witnesses)
}

// tally is the number of crashes before and after the endpoint had begun to answer.
type tally struct{ before, within int }

func (n tally) total() int { return n.before + n.within }

// overThreshold reports whether these are enough crashes for a quarantine, and the successes too few to
// count as harmless.
func (n tally) overThreshold(successes int) bool {
	return (n.before >= minCrashesBefore || n.total() >= minCrashesTotal) && n.total() >= successes
}

// count counts crashes, without the contradicted ones and those that ignore reports. Crashes within
// correlationWindow count as one, which is before the response if any of them is.
func (r *record) count(crashes []Crash, ignore func(Crash) bool) tally {
	skip := func(c Crash) bool { return r.contradicted(c) || ignore(c) }
	if slices.ContainsFunc(crashes, skip) {
		crashes = slices.DeleteFunc(slices.Clone(crashes), skip)
	}
	var n tally
	for i := 0; i < len(crashes); {
		first, begun := crashes[i], true
		for ; i < len(crashes) && crashes[i].At.Sub(first.At) < correlationWindow; i++ {
			begun = begun && crashes[i].Begun
		}
		if begun {
			n.within++
		} else {
			n.before++
		}
	}
	return n
}
