package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/micarudder/micarudder/internal/standin/usersplatform"
)

const (
	// limitWindow is the time over which a worker's limit is checked. Within it, limitFactor times
	// the number of requests that the limit allows are tolerated, and limitSlack more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitNoticeTime is how long after a gateway has forwarded a response with a limit its
	// requests begin to count.
	limitNoticeTime = 500 * time.Millisecond
)

// incarnation is one process of a worker.
type incarnation struct {
	worker    string
	startedAt int64
}

// limitedArrival is a request that reached a worker and counts against its limit.
type limitedArrival struct {
	at    time.Time
	limit float64 // that the worker advertised in its response
}

// limitUse is the window with the greatest load relative to the limit of one worker.
type limitUse struct {
	incarnation
	from     time.Time
	received int
	allowed  float64
}

// ratio returns the requests received relative to those tolerated.
func (u limitUse) ratio() float64 { return float64(u.received) / u.allowed }

// checkLimits verifies that no worker receives more than the limit it advertised from gateways that
// know of it.
func checkLimits(all []request, f *facts) []string {
	var out []string
	for _, u := range limitUses(all, f) {
		if u.ratio() > 1 {
			out = append(out, fmt.Sprintf("worker %s received %d requests in the %v from %s on, at most %.1f are tolerated", u.worker, u.received, limitWindow, u.from.Format("15:04:05.000"), u.allowed))
		}
	}
	return out
}

// indexByID returns the requests by id.
func indexByID(all []request) map[string]*request {
	out := make(map[string]*request, len(all))
	for i := range all {
		out[all[i].id] = &all[i]
	}
	return out
}

// arrivals returns the requests that reached each incarnation of a worker, in order of time, and
// for each request the last incarnation that it reached, whose response was forwarded.
func (f *facts) arrivals() (byIncarnation map[incarnation][]usersplatform.Arrival, answered map[string]incarnation) {
	byIncarnation, answered = make(map[incarnation][]usersplatform.Arrival), make(map[string]incarnation)
	for _, a := range f.ledger.Arrivals() {
		l := incarnation{a.Worker, a.StartedMs}
		byIncarnation[l] = append(byIncarnation[l], a)
		answered[a.ID] = l
	}
	return byIncarnation, answered
}

// limitUses returns the worst window of each worker that advertised a limit for long enough.
func limitUses(all []request, f *facts) []limitUse {
	byID := indexByID(all)
	incarnations, answered := f.arrivals()
	var out []limitUse
	for l, arrivals := range incarnations {
		var worst limitUse
		for _, period := range limitedPeriods(arrivals) {
			notices := noticesFrom(l, period, byID, answered)
			if u := worstWindow(period, byID, notices, f); u.received > 0 && u.ratio() > worst.ratio() || worst.received == 0 {
				worst = u
			}
		}
		if worst.received > 0 {
			worst.incarnation = l
			out = append(out, worst)
		}
	}
	return out
}

// parseLimit parses the limit in a response; ok is false if it is not a valid limit.
func parseLimit(text string) (perSecond float64, ok bool) {
	perSecond, err := strconv.ParseFloat(text, 64)
	return perSecond, err == nil && perSecond >= 0
}

// limitedPeriods splits the arrivals at a worker into the periods in which its responses advertised
// a limit.
func limitedPeriods(arrivals []usersplatform.Arrival) (out [][]usersplatform.Arrival) {
	begin := -1
	for i, a := range arrivals {
		_, ok := parseLimit(a.Statement.Limit)
		switch {
		case ok && begin < 0:
			begin = i
		case !ok && begin >= 0:
			out = append(out, arrivals[begin:i])
			begin = -1
		}
	}
	if begin >= 0 {
		out = append(out, arrivals[begin:])
	}
	return out
}

// worstWindow returns the window of a period in which a worker received most relative to what was
// tolerated. It is empty if the period is too short.
func worstWindow(period []usersplatform.Arrival, byID map[string]*request, notices []limitNotice, f *facts) (worst limitUse) {
	from := period[0].At.Add(propagationTime)
	list := countedArrivals(period, byID, firstNotices(notices), f)
	for i, c := range list {
		if c.at.Before(from) {
			continue
		}
		if u := windowFrom(list, i, lastNotice(notices, c.at.Add(-limitNoticeTime))); worst.received == 0 || u.ratio() > worst.ratio() {
			worst = u
		}
	}
	return worst
}

// windowFrom evaluates the window that begins with the ith request. If the limit changes, the
// highest one counts that was in force in the window or in the limitWindow before it, or that
// gateways were last notified of: a worker that receives nothing for a while cannot announce that
// it accepts less.
func windowFrom(list []limitedArrival, i int, lastNoticed float64) limitUse {
	u := limitUse{from: list[i].at}
	highest := max(lastNoticed, list[i].limit)
	for _, before := range list[:i] {
		if list[i].at.Sub(before.at) <= limitWindow {
			highest = max(highest, before.limit)
		}
	}
	for _, c := range list[i:] {
		if c.at.Sub(u.from) >= limitWindow {
			break
		}
		u.received++
		highest = max(highest, c.limit)
	}
	u.allowed = limitFactor*highest*limitWindow.Seconds() + limitSlack
	return u
}

// limitNotice is a response with a limit that a gateway forwarded.
type limitNotice struct {
	at      time.Time
	gateway string
	limit   float64
}

// noticesFrom returns the notices of a worker's limit that gateways forwarded, in order of time. A
// response that came from another worker, after this one had lost the request, is not a notice of
// this worker.
func noticesFrom(l incarnation, period []usersplatform.Arrival, byID map[string]*request, answered map[string]incarnation) (notices []limitNotice) {
	for _, a := range period {
		x := byID[a.ID]
		if x == nil || answered[a.ID] != l {
			continue
		}
		if limit, ok := parseLimit(x.statement.Limit); ok {
			notices = append(notices, limitNotice{x.headerAt, x.gateway, limit})
		}
	}
	slices.SortFunc(notices, func(a, b limitNotice) int { return a.at.Compare(b.at) })
	return notices
}

// firstNotices returns when each gateway received its first notice.
func firstNotices(notices []limitNotice) map[string]time.Time {
	out := make(map[string]time.Time)
	for _, t := range notices {
		if _, ok := out[t.gateway]; !ok {
			out[t.gateway] = t.at
		}
	}
	return out
}

// lastNotice returns the limit in the last notice before a time, 0 for none.
func lastNotice(notices []limitNotice, before time.Time) (limit float64) {
	for _, t := range notices {
		if t.at.Before(before) {
			limit = t.limit
		}
	}
	return limit
}

// countedArrivals returns the arrivals of a period that count against the limit: those from
// undisturbed gateways that had forwarded a response with a limit. Reports and orders carry no
// request id: they count once any gateway has had a notice, since the others learn of it. If no
// response of a worker is forwarded, no gateway knows its limit and nothing counts.
func countedArrivals(period []usersplatform.Arrival, byID map[string]*request, firstNotices map[string]time.Time, f *facts) []limitedArrival {
	var first time.Time
	for _, at := range firstNotices {
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	var out []limitedArrival
	for _, a := range period {
		at, ok := first, !first.IsZero()
		x := byID[a.ID]
		if x != nil {
			at, ok = firstNotices[x.gateway]
		}
		if !ok || a.At.Sub(at) < limitNoticeTime || x != nil && !f.undisturbed(x.gateway, a.At) {
			continue
		}
		if limit, ok := parseLimit(a.Statement.Limit); ok {
			out = append(out, limitedArrival{a.At, limit})
		}
	}
	return out
}

// limitFaults are the faults with limits of workers of any kind; they have a random sequence of
// their own. A limit may outlast its fault: it holds until the next limit of that worker.
var limitFaults = []fault{
	{"worker advertises a limit", true, limitWorker},
	{"worker advertises a limit", true, limitWorker},
	{"worker advertises a limit", true, limitWorker},
	{"all workers of a service advertise a limit", true, limitService},
	{"worker advertises an invalid limit", true, func(r *run, random *rand.Rand, _ time.Duration) { r.pickAnyWorker(random).SetLimit("-1") }},
	{"limits of a service removed", true, clearLimits},
}

// limitTexts are the limits that workers advertise.
var limitTexts = []string{"0", "0.3", "1.9", "5", "20", "1000000"}

func pickLimit(random *rand.Rand) string { return limitTexts[random.IntN(len(limitTexts))] }

// limitWorker makes a worker advertise a limit.
func limitWorker(r *run, random *rand.Rand, _ time.Duration) {
	r.pickAnyWorker(random).SetLimit(pickLimit(random))
}

// limitService makes all workers of one service advertise the same limit.
func limitService(r *run, random *rand.Rand, _ time.Duration) {
	service, text := r.pickAnyWorker(random).Service, pickLimit(random)
	r.eachWorker(func(w *usersplatform.Worker) {
		if w.Service == service {
			w.SetLimit(text)
		}
	})
}

// clearLimits removes the limits of one service in one case out of three.
func clearLimits(r *run, random *rand.Rand, _ time.Duration) {
	service := r.pickAnyWorker(random).Service
	if random.IntN(3) > 0 {
		return
	}
	r.eachWorker(func(w *usersplatform.Worker) {
		if w.Service == service {
			w.SetLimit("")
		}
	})
}

// eachWorker calls do for every announced worker.
func (r *run) eachWorker(do func(w *usersplatform.Worker)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range slices.Concat(r.workers, r.engines) {
		do(p.worker)
	}
}

// pickAnyWorker returns a random worker of any kind.
func (r *run) pickAnyWorker(random *rand.Rand) *usersplatform.Worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := slices.Concat(r.workers, r.engines)
	return all[random.IntN(len(all))].worker
}
