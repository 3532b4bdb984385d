package availability

import (
	"maps"
	"time"

	"github.com/micarudder/micarudder/catalog"
)

const (
	// FromStore and FromAnswer are sources of a leave beside the names of gateways.
	FromStore  = "store"
	FromAnswer = "answer"
	// tellFor is how long a leave is told in each word; words are sent several times a second, so that a few may be lost.
	tellFor = 2 * time.Second
	// repeatEvery is how often what the store's list does not tell is repeated, for those that have just started or were cut off.
	repeatEvery = 2 * time.Second
	// rememberFor is how long the leave of an endpoint that is not known is remembered. Copies of the store's list are seconds old.
	rememberFor = 10 * time.Minute
	// maxUnknown is how many leaves of endpoints that are not known are remembered.
	maxUnknown = 4096
	// maxTold is how many leaves one word tells; each word tells others of more.
	maxTold = 256
)

// Leave is what is known of an endpoint that takes no new requests any more.
type Leave struct {
	Born   int64     // the life that leaves, see catalog.Endpoint
	Since  time.Time // when it was learned
	Source string    // who said so first: FromStore, FromAnswer or the name of a gateway
	// listed is set when the store's list says so as well: everybody reads that.
	listed bool
	// doubted is set where the life before may have said so instead.
	doubted bool
	// past is set while another life than this is known. An older copy of the store's list may name it for a while.
	past bool
}

// Leaves holds which endpoints leave. Whoever leaves never comes back in the same life: neither an answer without the word, which
// others may have overtaken, nor an entry of the store, which may be old, takes it back. Leaves is not safe for concurrent use.
type Leaves struct {
	entries  map[string]*Leave
	repeated time.Time // when what is not news was told last
}

// NewLeaves returns a table in which nobody leaves.
func NewLeaves() *Leaves { return &Leaves{entries: make(map[string]*Leave)} }

// Take takes in that an endpoint leaves; it reports whether that is news.
func (l *Leaves) Take(e catalog.Endpoint, source string, now time.Time) bool {
	old := l.entries[e.ID]
	if old != nil && !old.doubted && !restarted(old.Born, e.Born) {
		old.listed = old.listed || source == FromStore
		return false
	}
	l.entries[e.ID] = &Leave{Born: e.Born, Since: now, Source: source, listed: source == FromStore}
	return true
}

// Restarted takes in that an endpoint is seen to have started again, as e. listed is when its earlier life was listed last. What was
// said since may be of the new life already: it counts as leaving until TakeBack. It reports whether that is so.
func (l *Leaves) Restarted(e catalog.Endpoint, listed, now time.Time) bool {
	old := l.entries[e.ID]
	if old == nil || old.listed || old.Since.Before(listed.Add(-restartTold)) {
		return false
	}
	l.entries[e.ID] = &Leave{Born: e.Born, Since: now, Source: old.Source, doubted: true}
	return true
}

// Doubted reports whether an endpoint counts as leaving for what the life before may have said.
func (l *Leaves) Doubted(e catalog.Endpoint) bool {
	leave, ok := l.Of(e)
	return ok && leave.doubted
}

// TakeBack takes in an answer in which an endpoint whose leave is doubted does not say that it leaves.
func (l *Leaves) TakeBack(e catalog.Endpoint) {
	if l.Doubted(e) {
		delete(l.entries, e.ID)
	}
}

// Of returns what is known of an endpoint's leave; ok is false where it does not leave in this life.
func (l *Leaves) Of(e catalog.Endpoint) (leave Leave, ok bool) {
	entry := l.entries[e.ID]
	if entry == nil || restarted(entry.Born, e.Born) {
		return Leave{}, false
	}
	return *entry, true
}

// restarted reports whether two lives under one name differ; 0: it is not known which life it is.
func restarted(before, now int64) bool {
	return catalog.Endpoint{Born: before}.RestartedAs(catalog.Endpoint{Born: now})
}

// Tell returns the lives that are to be told by endpoint: those learned lately, and now and then also the
// others that the store's list does not tell. regular is set for a word that is sent in any case.
func (l *Leaves) Tell(regular bool, now time.Time) map[string]int64 {
	everything := regular && now.Sub(l.repeated) >= repeatEvery
	if everything {
		l.repeated = now
	}
	var out map[string]int64
	for id, leave := range l.entries { // in no order, so that each is told in some word
		if leave.listed || leave.past || leave.doubted || !everything && now.Sub(leave.Since) > tellFor {
			continue
		}
		if out == nil {
			out = make(map[string]int64)
		}
		out[id] = leave.Born
		if len(out) == maxTold {
			break
		}
	}
	return out
}

// Expire drops what was learned long ago of endpoints that are not known, or not in that life, and of the former what goes beyond their number.
func (l *Leaves) Expire(known func(id string) (e catalog.Endpoint, ok bool), now time.Time) {
	unknown := 0
	maps.DeleteFunc(l.entries, func(id string, leave *Leave) bool {
		e, ok := known(id)
		leave.past = ok && restarted(leave.Born, e.Born)
		if ok && !leave.past {
			return false
		}
		if !ok {
			unknown++
		}
		return unknown > maxUnknown || now.Sub(leave.Since) > rememberFor
	})
}
