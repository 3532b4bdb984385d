package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// evacuatedDataCentre is the data centre that is evacuated now and then; the other one remains.
	evacuatedDataCentre, otherDataCentre = "b", "a"
	// evacuationTime is how long after an evacuation was acknowledged requests may still reach workers
	// of the data centre.
	evacuationTime = 2 * time.Second
	// maxEvacuationPause is the longest time between two evacuations.
	maxEvacuationPause = 2 * time.Second
)

// dataCentreOf returns the data centre of the nth gateway or worker.
func dataCentreOf(n int) string {
	if n%2 == 0 {
		return evacuatedDataCentre
	}
	return otherDataCentre
}

// evacuate evacuates a data centre again and again until ctx ends. Each evacuation lasts long enough to be
// checked.
func (r *run) evacuate(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.c.Seed, 0xe7ac))
	draw := func() time.Duration { return time.Duration(random.Int64N(int64(maxEvacuationPause))) }
	for time.Sleep(draw() / 2); ctx.Err() == nil; time.Sleep(draw()) {
		r.store.Evacuate(evacuatedDataCentre)
		began := time.Now()
		time.Sleep(evacuationTime + draw())
		r.store.EndEvacuation(evacuatedDataCentre)
		r.mu.Lock()
		r.faults = append(r.faults, fmt.Sprintf("%s data centre %s evacuated for %v", began.Format(recordTime), evacuatedDataCentre, time.Since(began)))
		r.facts.evacuations = append(r.facts.evacuations, interval{began, time.Now()})
		r.mu.Unlock()
	}
}

// recordStoreDisruption records that the store could not be used as usual since began.
func (r *run) recordStoreDisruption(began time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.facts.storeDisrupted = append(r.facts.storeDisrupted, interval{began, time.Now()})
}

// inForceFrom returns when an evacuation that was acknowledged at that time must be in force: after
// evacuationTime without a disruption of the store.
func (f *facts) inForceFrom(acknowledged time.Time) time.Time {
	from := acknowledged.Add(evacuationTime)
	for changed := true; changed; {
		changed = false
		for _, d := range f.storeDisrupted {
			if end := d.to.Add(evacuationTime); d.overlaps(acknowledged, from) && end.After(from) {
				from, changed = end, true
			}
		}
	}
	return from
}

// evacuationUse counts what was checked of evacuations.
type evacuationUse struct {
	elsewhere  int // requests that arrived at other workers while an evacuation had to be in force
	violations []string
}

// checkEvacuations verifies that no request reaches a worker of an evacuated data centre once the evacuation
// must be in force, except through a gateway that was disrupted since it was acknowledged, or while bytes
// to the worker were held back: these may have been sent before.
func checkEvacuations(all []request, f *facts) (out evacuationUse) {
	byID := indexByID(all)
	for _, a := range f.ledger.Arrivals() {
		x := byID[a.ID]
		if x == nil {
			continue
		}
		for _, e := range f.evacuations {
			if a.At.Before(f.inForceFrom(e.from)) || a.At.After(e.to) || f.disruptedDuring(x.gateway, e.from, a.At) || overlapsAny(f.held[a.Worker], a.At, a.At) {
				continue
			}
			if f.dataCentres[a.Worker] != evacuatedDataCentre {
				out.elsewhere++
				continue
			}
			out.violations = append(out.violations, fmt.Sprintf("request %s by gateway %s reached worker %s %v after the evacuation of its data centre", a.ID, x.gateway, a.Worker, a.At.Sub(e.from)))
		}
	}
	return out
}
