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
	// limitSpan is the time over which a worker's limit is judged, limitFactor and limitSlack what is
	// tolerated in it: that many times what the limit allows, and so many requests more.
	limitSpan   = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitTold is how long after a gateway has passed on an answer that names a limit its sends count.
	limitTold = 500 * time.Millisecond
)

// life is one life of a worker.
type life struct {
	worker string
	born   int64
}

// counted is a request that a worker got and that counts against its limit.
type counted struct {
	at    time.Time
	limit float64 // that the worker named in its answer
}

// limitUse is the worst span of one worker.
type limitUse struct {
	life
	from    time.Time
	got     int
	allowed float64
}

// share returns what the worker got as a part of what is tolerated.
func (u limitUse) share() float64 { return float64(u.got) / u.allowed }

// checkLimits: no worker gets more than it has named from gateways that were told.
func checkLimits(all []asked, f *facts) []string {
	var out []string
	for _, u := range limitUses(all, f) {
		if u.share() > 1 {
			out = append(out, fmt.Sprintf("worker %s got %d requests in %v from %s on, allowed %.1f", u.worker, u.got, limitSpan, u.from.Format("15:04:05.000"), u.allowed))
		}
	}
	return out
}

// byID returns the requests by their ids.
func byID(all []asked) map[string]*asked {
	out := make(map[string]*asked, len(all))
	for i := range all {
		out[all[i].id] = &all[i]
	}
	return out
}

// lives returns what reached each life of a worker, in the order of time, and by request the life that it reached last,
// whose answer was passed on.
func (f *facts) lives() (lives map[life][]usersplatform.Arrival, answered map[string]life) {
	lives, answered = make(map[life][]usersplatform.Arrival), make(map[string]life)
	for _, a := range f.ledger.Arrivals() {
		l := life{a.Worker, a.Born}
		lives[l] = append(lives[l], a)
		answered[a.ID] = l
	}
	return lives, answered
}

// limitUses returns the worst span of each worker that named a limit for long enough.
func limitUses(all []asked, f *facts) []limitUse {
	byID := byID(all)
	lives, answered := f.lives()
	var out []limitUse
	for l, arrivals := range lives {
		var worst limitUse
		for _, need := range needs(arrivals) {
			told := toldBy(l, need, byID, answered)
			if u := worstSpan(need, byID, told, f); u.got > 0 && u.share() > worst.share() || worst.got == 0 {
				worst = u
			}
		}
		if worst.got > 0 {
			worst.life = l
			out = append(out, worst)
		}
	}
	return out
}

// readLimit reads what an answer named; ok is false where that is no limit.
func readLimit(text string) (perSecond float64, ok bool) {
	perSecond, err := strconv.ParseFloat(text, 64)
	return perSecond, err == nil && perSecond >= 0
}

// needs splits what reached a worker into the stretches in which its answers named a limit.
func needs(arrivals []usersplatform.Arrival) (out [][]usersplatform.Arrival) {
	begin := -1
	for i, a := range arrivals {
		_, ok := readLimit(a.Said.Limit)
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

// worstSpan returns the span of a stretch in which a worker got most of what it allowed; it got nothing where
// the stretch is too short.
func worstSpan(need []usersplatform.Arrival, byID map[string]*asked, told []telling, f *facts) (worst limitUse) {
	from := need[0].At.Add(contactTime)
	list := countedOf(need, byID, firstTold(told), f)
	for i, c := range list {
		if c.at.Before(from) {
			continue
		}
		if u := spanFrom(list, i, lastTold(told, c.at.Add(-limitTold))); worst.got == 0 || u.share() > worst.share() {
			worst = u
		}
	}
	return worst
}

// spanFrom counts the span that begins with the ith request. Where the limit changes, the highest that held
// counts, also the one before the span, and the one that gateways had been told last: a worker that gets nothing for
// a while can tell nobody that it takes less.
func spanFrom(list []counted, i int, told float64) limitUse {
	u := limitUse{from: list[i].at}
	highest := max(told, list[i].limit)
	for _, before := range list[:i] {
		if list[i].at.Sub(before.at) <= limitSpan {
			highest = max(highest, before.limit)
		}
	}
	for _, c := range list[i:] {
		if c.at.Sub(u.from) >= limitSpan {
			break
		}
		u.got++
		highest = max(highest, c.limit)
	}
	u.allowed = limitFactor*highest*limitSpan.Seconds() + limitSlack
	return u
}

// telling is an answer that a gateway passed on and that names a limit.
type telling struct {
	at      time.Time
	gateway string
	limit   float64
}

// toldBy returns what gateways passed on of a worker's limit, in the order of time. An answer that came from another worker, after
// this one had lost the request, told nothing of it.
func toldBy(l life, need []usersplatform.Arrival, byID map[string]*asked, answered map[string]life) (told []telling) {
	for _, a := range need {
		x := byID[a.ID]
		if x == nil || answered[a.ID] != l {
			continue
		}
		if limit, ok := readLimit(x.said.Limit); ok {
			told = append(told, telling{x.headAt, x.gateway, limit})
		}
	}
	slices.SortFunc(told, func(a, b telling) int { return a.at.Compare(b.at) })
	return told
}

// firstTold returns when each gateway was told first.
func firstTold(told []telling) map[string]time.Time {
	out := make(map[string]time.Time)
	for _, t := range told {
		if _, ok := out[t.gateway]; !ok {
			out[t.gateway] = t.at
		}
	}
	return out
}

// lastTold returns the limit that was told last before a moment, 0 for none.
func lastTold(told []telling, before time.Time) (limit float64) {
	for _, t := range told {
		if t.at.Before(before) {
			limit = t.limit
		}
	}
	return limit
}

// countedOf returns what counts of a stretch: what came from gateways in touch that had passed on an answer
// with a limit in it. Questions and orders carry no id: they count from when one gateway has, since others hear of it. A worker whose
// answers reach nobody has told nobody.
func countedOf(need []usersplatform.Arrival, byID map[string]*asked, told map[string]time.Time, f *facts) []counted {
	var first time.Time
	for _, at := range told {
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	var out []counted
	for _, a := range need {
		at, ok := first, !first.IsZero()
		x := byID[a.ID]
		if x != nil {
			at, ok = told[x.gateway]
		}
		if !ok || a.At.Sub(at) < limitTold || x != nil && !f.inTouch(x.gateway, a.At) {
			continue
		}
		if limit, ok := readLimit(a.Said.Limit); ok {
			out = append(out, counted{a.At, limit})
		}
	}
	return out
}

// limitFaults befall workers of any kind, drawn apart from the others. A limit may outlast its fault: it holds until the
// worker's next one.
var limitFaults = []fault{
	{"a worker limits its requests", true, limitOne},
	{"a worker limits its requests", true, limitOne},
	{"a worker limits its requests", true, limitOne},
	{"all workers of a service limit their requests", true, limitService},
	{"a worker's limit cannot be read", true, func(r *run, random *rand.Rand, _ time.Duration) { r.anyWorker(random).SetLimit("-1") }},
	{"limits end", true, endLimits},
}

// limitTexts are the limits that workers name.
var limitTexts = []string{"0", "0.3", "1.9", "5", "20", "1000000"}

func drawLimit(random *rand.Rand) string { return limitTexts[random.IntN(len(limitTexts))] }

// limitOne makes a worker name a limit.
func limitOne(r *run, random *rand.Rand, _ time.Duration) {
	r.anyWorker(random).SetLimit(drawLimit(random))
}

// limitService makes all workers of one service name the same limit.
func limitService(r *run, random *rand.Rand, _ time.Duration) {
	service, text := r.anyWorker(random).Service, drawLimit(random)
	r.eachWorker(func(w *usersplatform.Worker) {
		if w.Service == service {
			w.SetLimit(text)
		}
	})
}

// endLimits ends those of one service, one time in three.
func endLimits(r *run, random *rand.Rand, _ time.Duration) {
	service := r.anyWorker(random).Service
	if random.IntN(3) > 0 {
		return
	}
	r.eachWorker(func(w *usersplatform.Worker) {
		if w.Service == service {
			w.SetLimit("")
		}
	})
}

// eachWorker calls do for every worker that is announced.
func (r *run) eachWorker(do func(w *usersplatform.Worker)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range slices.Concat(r.workers, r.engines) {
		do(p.worker)
	}
}

// anyWorker draws a worker of any kind.
func (r *run) anyWorker(random *rand.Rand) *usersplatform.Worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := slices.Concat(r.workers, r.engines)
	return all[random.IntN(len(all))].worker
}
