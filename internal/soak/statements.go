package soak

import (
	"fmt"
	"strconv"
	"time"
)

const (
	// drainNoticeTime is how long after a gateway has forwarded a drain notice of a worker requests
	// that clients send through it may still reach that worker.
	drainNoticeTime = 2 * time.Second
	// backoffNoticeTime is how long after a worker has requested backoff the requests of that
	// gateway do not count yet; maxSendsInBackoff is how many may reach the worker from then until
	// the end of the backoff.
	backoffNoticeTime = 500 * time.Millisecond
	maxSendsInBackoff = 2
)

// lateSend is a request that reached a worker although its gateway had forwarded a drain notice of
// it.
type lateSend struct {
	incarnation
	request, gateway string
	after            time.Duration // from the notice until the client sent the request
}

// checkDraining verifies that a gateway that has forwarded a drain notice sends the worker no new
// requests after drainNoticeTime.
func checkDraining(all []request, f *facts) []string {
	var out []string
	for _, s := range lateSends(all, f) {
		out = append(out, fmt.Sprintf("request %s reached draining worker %s, sent %v after gateway %s had forwarded the drain notice", s.request, s.worker, s.after, s.gateway))
	}
	return out
}

// drainNotices returns, by worker, when each gateway first forwarded a drain notice.
func drainNotices(all []request, f *facts) map[incarnation]map[string]time.Time {
	byID := indexByID(all)
	incarnations, answered := f.arrivals()
	out := make(map[incarnation]map[string]time.Time)
	for l, arrivals := range incarnations {
		for _, a := range arrivals {
			x := byID[a.ID]
			if x == nil || a.Statement.Draining == "" || x.statement.Draining == "" || answered[a.ID] != l {
				continue
			}
			if out[l] == nil {
				out[l] = make(map[string]time.Time)
			}
			if at, ok := out[l][x.gateway]; !ok || x.headerAt.Before(at) {
				out[l][x.gateway] = x.headerAt
			}
		}
	}
	return out
}

// lateSends returns the requests that were sent too late, except those whose gateway was disrupted
// since the notice.
func lateSends(all []request, f *facts) (out []lateSend) {
	byID := indexByID(all)
	incarnations, _ := f.arrivals()
	for l, notices := range drainNotices(all, f) {
		for _, a := range incarnations[l] {
			x := byID[a.ID]
			if x == nil {
				continue
			}
			at, ok := notices[x.gateway]
			after := x.sent.Sub(at)
			if ok && after > drainNoticeTime && !f.disruptedDuring(x.gateway, at, a.At) {
				out = append(out, lateSend{l, a.ID, x.gateway, after})
			}
		}
	}
	return out
}

// backoffUse is what a worker received from one gateway during a backoff that it had requested from
// that gateway.
type backoffUse struct {
	incarnation
	gateway     string
	rejected    string // id of the request with whose rejection it was requested
	requestedAt time.Time
	backoff     time.Duration
	received    int
	requests    []string // ids of those, and when they arrived
}

// checkBackoffs verifies that no worker receives more requests than tolerated from a gateway of
// which it has requested backoff.
func checkBackoffs(all []request, f *facts) []string {
	var out []string
	for _, u := range backoffUses(all, f) {
		if u.received > maxSendsInBackoff {
			out = append(out, fmt.Sprintf("worker %s had requested of gateway %s a backoff of %v at %s and received %d requests from it", u.worker, u.gateway, u.backoff, u.requestedAt.Format("15:04:05.000"), u.received))
		}
	}
	return out
}

// backoffUses returns what each worker received in its backoffs. A backoff whose response may have
// been lost in transit is left out, and so are requests whose gateway was disrupted since. So is the backoff in a
// response to a request whose client left before it had one: its gateway had closed the connection.
func backoffUses(all []request, f *facts) (out []backoffUse) {
	byID := indexByID(all)
	incarnations, _ := f.arrivals()
	for l, arrivals := range incarnations {
		for i, a := range arrivals {
			backoff, ok := parseBackoff(a.Statement.Backoff)
			x := byID[a.ID]
			if x == nil || !ok || x.abandoned && x.err != nil || f.lossyDuring(l.worker, a.At, a.At) {
				continue
			}
			u := backoffUse{incarnation: l, gateway: x.gateway, rejected: a.ID, requestedAt: a.At, backoff: backoff}
			for _, b := range arrivals[i+1:] {
				since := b.At.Sub(a.At)
				if y := byID[b.ID]; y != nil && y.gateway == u.gateway && since >= backoffNoticeTime && since < backoff && !f.disruptedDuring(u.gateway, a.At, b.At) && !f.lossyDuring(l.worker, a.At, b.At) {
					u.received++
					u.requests = append(u.requests, fmt.Sprintf("%s at +%v", b.ID, since.Round(time.Millisecond)))
				}
			}
			out = append(out, u)
		}
	}
	return out
}

// parseBackoff parses the backoff in a response; ok is false if none was requested.
func parseBackoff(text string) (backoff time.Duration, ok bool) {
	seconds, err := strconv.ParseFloat(text, 64)
	return time.Duration(seconds * float64(time.Second)), err == nil && seconds > 0
}

// disruptedDuring reports whether a gateway was disrupted in an interval.
func (f *facts) disruptedDuring(gateway string, from, to time.Time) bool {
	return overlapsAny(f.disrupted[gateway], from, to)
}

// lossyDuring reports whether responses of a worker may have been lost in transit in an interval.
func (f *facts) lossyDuring(worker string, from, to time.Time) bool {
	return overlapsAny(f.lossy[worker], from, to)
}

func overlapsAny(intervals []interval, from, to time.Time) bool {
	for _, s := range intervals {
		if s.overlaps(from, to) {
			return true
		}
	}
	return false
}

// recordLoss records that responses of a worker may be lost in transit from a time until
// recoveryTime from now.
func (r *run) recordLoss(p *proxiedWorker, from time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := p.worker.ID
	r.facts.lossy[id] = append(r.facts.lossy[id], interval{from, time.Now().Add(recoveryTime)})
}
