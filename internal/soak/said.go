package soak

import (
	"fmt"
	"strconv"
	"time"
)

const (
	// leavingBound is how long after a gateway has passed on an answer that says that its worker leaves clients may send
	// requests that still reach that worker from it.
	leavingBound = 2 * time.Second
	// restNoticed is how long after a worker has asked for rest its gateway's requests do not count yet, and
	// restTolerated how many may reach it from then on until the rest is over.
	restNoticed   = 500 * time.Millisecond
	restTolerated = 2
)

// lateSend is a request that reached a worker although its gateway had passed on that this one leaves.
type lateSend struct {
	life
	request, gateway string
	after            time.Duration // from the answer until the client sent it
}

// checkLeaving: a gateway that has passed on an answer which says that its worker leaves sends it nothing new after the bound.
func checkLeaving(all []asked, f *facts) []string {
	var out []string
	for _, s := range lateSends(all, f) {
		out = append(out, fmt.Sprintf("request %s reached worker %s, sent %v after gateway %s had passed on that it leaves", s.request, s.worker, s.after, s.gateway))
	}
	return out
}

// toldLeaves returns when each gateway first passed on an answer that says that its worker leaves, by worker.
func toldLeaves(all []asked, f *facts) map[life]map[string]time.Time {
	byID := byID(all)
	lives, answered := f.lives()
	out := make(map[life]map[string]time.Time)
	for l, arrivals := range lives {
		for _, a := range arrivals {
			x := byID[a.ID]
			if x == nil || a.Said.Leaving == "" || x.said.Leaving == "" || answered[a.ID] != l {
				continue
			}
			if out[l] == nil {
				out[l] = make(map[string]time.Time)
			}
			if at, ok := out[l][x.gateway]; !ok || x.headAt.Before(at) {
				out[l][x.gateway] = x.headAt
			}
		}
	}
	return out
}

// lateSends returns the requests that were sent too late. One whose gateway was started again, frozen or suspended since counts not.
func lateSends(all []asked, f *facts) (out []lateSend) {
	byID := byID(all)
	lives, _ := f.lives()
	for l, told := range toldLeaves(all, f) {
		for _, a := range lives[l] {
			x := byID[a.ID]
			if x == nil {
				continue
			}
			at, ok := told[x.gateway]
			after := x.sent.Sub(at)
			if ok && after > leavingBound && !f.troubledIn(x.gateway, at, a.At) {
				out = append(out, lateSend{l, a.ID, x.gateway, after})
			}
		}
	}
	return out
}

// restUse is what a worker got of one gateway in a rest for which it had asked it.
type restUse struct {
	life
	gateway string
	asked   time.Time
	rest    time.Duration
	got     int
}

// checkRests: no worker gets more than is tolerated of a gateway that it has asked for rest.
func checkRests(all []asked, f *facts) []string {
	var out []string
	for _, u := range restUses(all, f) {
		if u.got > restTolerated {
			out = append(out, fmt.Sprintf("worker %s had asked gateway %s for %v of rest at %s and got %d requests of it", u.worker, u.gateway, u.rest, u.asked.Format("15:04:05.000"), u.got))
		}
	}
	return out
}

// restUses returns what each worker got in its rests. One counts not whose answer may have been lost on the way, or whose
// gateway was started again, frozen or suspended since.
func restUses(all []asked, f *facts) (out []restUse) {
	byID := byID(all)
	lives, _ := f.lives()
	for l, arrivals := range lives {
		for i, a := range arrivals {
			rest, ok := readRest(a.Said.Rest)
			x := byID[a.ID]
			if x == nil || !ok || f.harmedIn(l.worker, a.At, a.At) {
				continue
			}
			u := restUse{life: l, gateway: x.gateway, asked: a.At, rest: rest}
			for _, b := range arrivals[i+1:] {
				since := b.At.Sub(a.At)
				if y := byID[b.ID]; y != nil && y.gateway == u.gateway && since >= restNoticed && since < rest && !f.troubledIn(u.gateway, a.At, b.At) && !f.harmedIn(l.worker, a.At, b.At) {
					u.got++
				}
			}
			out = append(out, u)
		}
	}
	return out
}

// readRest reads the rest that an answer asked for; ok is false where it asked for none.
func readRest(text string) (rest time.Duration, ok bool) {
	seconds, err := strconv.ParseFloat(text, 64)
	return time.Duration(seconds * float64(time.Second)), err == nil && seconds > 0
}

// troubledIn reports whether a gateway was in trouble in a stretch of time.
func (f *facts) troubledIn(gateway string, from, to time.Time) bool {
	return overlapsAnySpan(f.troubled[gateway], from, to)
}

// harmedIn reports whether answers of a worker may have been lost on their way in a stretch of time.
func (f *facts) harmedIn(worker string, from, to time.Time) bool {
	return overlapsAnySpan(f.harmed[worker], from, to)
}

func overlapsAnySpan(spans []span, from, to time.Time) bool {
	for _, s := range spans {
		if s.overlaps(from, to) {
			return true
		}
	}
	return false
}

// harm notes that answers of a worker may be lost on their way from a moment until effectTime from now.
func (r *run) harm(p *pooled, from time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := p.worker.ID
	r.facts.harmed[id] = append(r.facts.harmed[id], span{from, time.Now().Add(effectTime)})
}
