package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/micarudder/micarudder/internal/standin/usersplatform"
)

const (
	commonPart = "common" // part of all prompts
	crashPart  = "bad"    // part of the prompts that end workers
	documents  = 4        // number of further parts that prompts share
	// minCompared is how many requests a share is computed from at least.
	minCompared = 20
)

// crashLimit returns after how many crashes gateways must send no more crashing requests.
func (c Config) crashLimit() int {
	if c.CrashPart {
		return 5
	}
	return 3
}

// crashTrigger returns which requests end workers.
func (r *run) crashTrigger() usersplatform.CrashTrigger {
	if r.c.CrashPart {
		return usersplatform.CrashTrigger{Part: crashPart}
	}
	return usersplatform.CrashTrigger{Body: crashBody}
}

// harmlessParts returns the shared parts of a prompt that ends no worker.
func harmlessParts(random *rand.Rand) []string {
	return []string{commonPart, fmt.Sprint("document-", random.IntN(documents))}
}

// crashParts returns the shared parts of a prompt that ends workers, in any order.
func crashParts(random *rand.Rand) []string {
	return slices.Insert(harmlessParts(random), random.IntN(3), crashPart)
}

// checkHarmless verifies that harmless requests that share their first part with crashing ones begin at least
// half as often as before, once the gateways must know what crashes workers.
func checkHarmless(all []request, f *facts) []string {
	if len(f.crashes) == 0 {
		return nil
	}
	crashes := slices.SortedFunc(slices.Values(f.crashes), time.Time.Compare)
	known := crashes[min(len(crashes), f.crashLimit)-1].Add(2 * propagationTime)
	var before, after share
	for _, a := range all {
		if len(a.parts) == 0 || a.crashesWorker || !f.comparable(&a) {
			continue
		}
		switch {
		case a.sent.Before(crashes[0]):
			before.add(a.status == 200)
		case a.sent.After(known):
			after.add(a.status == 200)
		}
	}
	if before.total < minCompared || after.total < minCompared || 2*after.fraction() >= before.fraction() {
		return nil
	}
	return []string{fmt.Sprintf("of the harmless requests with a part of crashing ones %v began, before the first crash %v", after, before)}
}

// comparable reports whether a request is one whose fate depends on no unplanned fault.
func (f *facts) comparable(a *request) bool {
	return !a.abandoned && f.undisturbed(a.gateway, a.sent) && !overlapsRequest(f.unplanned, a)
}

// share counts requests and those of them that were served.
type share struct{ served, total int }

func (s *share) add(served bool) {
	s.total++
	if served {
		s.served++
	}
}

func (s share) fraction() float64 { return float64(s.served) / float64(max(1, s.total)) }

// String implements fmt.Stringer.
func (s share) String() string { return fmt.Sprintf("%d of %d", s.served, s.total) }
