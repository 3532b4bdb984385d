package soak

import (
	"fmt"
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
	named bool
}

// limitUse is the worst span of one worker.
type limitUse struct {
	life
	from    time.Time
	got     int
	allowed float64
}

// checkLimits: no worker gets more than it has named from gateways that were told.
func checkLimits(all []asked, f *facts) []string {
	var out []string
	for _, u := range limitUses(all, f) {
		if float64(u.got) > u.allowed {
			out = append(out, fmt.Sprintf("worker %s got %d requests in %v from %s on, allowed %.1f", u.worker, u.got, limitSpan, u.from.Format("15:04:05.000"), u.allowed))
		}
	}
	return out
}

// limitUses returns the worst span of each worker that named a limit.
func limitUses(all []asked, f *facts) []limitUse {
	byID := make(map[string]*asked, len(all))
	for i := range all {
		byID[all[i].id] = &all[i]
	}
	lives := make(map[life][]usersplatform.Arrival)
	for _, a := range f.ledger.Arrivals() {
		l := life{a.Worker, a.Born}
		lives[l] = append(lives[l], a)
	}
	var out []limitUse
	for l, arrivals := range lives {
		if u, ok := worstSpan(l, arrivals, byID, f); ok {
			out = append(out, u)
		}
	}
	return out
}

// worstSpan returns the span in which a worker got most of what it allowed; ok is false when it named no
// limit for long enough.
func worstSpan(l life, arrivals []usersplatform.Arrival, byID map[string]*asked, f *facts) (worst limitUse, ok bool) {
	first := slices.IndexFunc(arrivals, func(a usersplatform.Arrival) bool { return a.Limit != "" })
	if first < 0 {
		return worst, false
	}
	from := arrivals[first].At.Add(contactTime)
	list := countedFrom(arrivals, byID, f)
	for i, c := range list {
		if !c.named || c.at.Before(from) {
			continue
		}
		u := spanFrom(list, i)
		u.life = l
		if !ok || float64(u.got)/u.allowed > float64(worst.got)/worst.allowed {
			worst, ok = u, true
		}
	}
	return worst, ok
}

// spanFrom counts the span that begins with the ith request. It ends sooner when the worker names no limit any more.
// Where the limit changes, the highest that held counts, also the one before the span.
func spanFrom(list []counted, i int) limitUse {
	u := limitUse{from: list[i].at}
	highest := list[i].limit
	for _, before := range list[:i] {
		if list[i].at.Sub(before.at) <= limitSpan {
			highest = max(highest, before.limit)
		}
	}
	for _, c := range list[i:] {
		if c.at.Sub(u.from) >= limitSpan || !c.named {
			break
		}
		u.got++
		highest = max(highest, c.limit)
	}
	u.allowed = limitFactor*highest*limitSpan.Seconds() + limitSlack
	return u
}

// countedFrom returns what counts of a worker's arrivals: what came from gateways in touch that
// had passed on an answer with a limit. Questions and orders carry no id and count always.
func countedFrom(arrivals []usersplatform.Arrival, byID map[string]*asked, f *facts) []counted {
	told := make(map[string]time.Time) // by gateway
	for _, a := range arrivals {
		x := byID[a.ID]
		if a.Limit == "" || x == nil || x.headAt.IsZero() {
			continue
		}
		if at, ok := told[x.gateway]; !ok || x.headAt.Before(at) {
			told[x.gateway] = x.headAt
		}
	}
	var out []counted
	for _, a := range arrivals {
		if x := byID[a.ID]; x != nil {
			at, ok := told[x.gateway]
			if !ok || a.At.Sub(at) < limitTold || !f.inTouch(x.gateway, a.At) {
				continue
			}
		}
		limit, err := strconv.ParseFloat(a.Limit, 64)
		out = append(out, counted{a.At, limit, err == nil})
	}
	return out
}
