package membership

import "time"

// maxOwners limits the number of entries in RecordOwners; beyond it the least recently
// updated one is dropped.
const maxOwners = 4096

// RecordOwners records which agent holds the run records of an incarnation that stopped.
// It is not safe for concurrent use.
type RecordOwners struct{ byIncarnation map[string]owner }

// owner is the agent that holds the run records of one incarnation.
type owner struct {
	address   string
	confirmed bool // reported by the agent at address itself
	updated   time.Time
}

// NewRecordOwners returns an empty table.
func NewRecordOwners() *RecordOwners { return &RecordOwners{byIncarnation: make(map[string]owner)} }

// Confirm records that the agent at address reports holding the records of the
// incarnations.
func (h *RecordOwners) Confirm(address string, incarnations []string, now time.Time) {
	for _, inc := range incarnations {
		h.set(inc, owner{address, true, now})
	}
}

// HandOver records that the draining agent at from reports having handed the records
// of the incarnations to the agent at to. Entries that a third agent has
// confirmed take precedence, because the reports of agents that stop together may
// arrive in any order.
func (h *RecordOwners) HandOver(from, to string, incarnations []string, now time.Time) {
	for _, inc := range incarnations {
		if o, ok := h.byIncarnation[inc]; ok && o.confirmed && o.address != from {
			continue
		}
		h.set(inc, owner{to, false, now})
	}
}

func (h *RecordOwners) set(incarnation string, o owner) {
	if _, ok := h.byIncarnation[incarnation]; !ok && len(h.byIncarnation) >= maxOwners {
		h.dropOldest()
	}
	h.byIncarnation[incarnation] = o
}

// Address returns the address of the agent that holds an incarnation's records,
// or "" if the incarnation's own agent does.
func (h *RecordOwners) Address(incarnation string) string {
	return h.byIncarnation[incarnation].address
}

func (h *RecordOwners) dropOldest() {
	oldest, at := "", time.Time{}
	for inc, o := range h.byIncarnation {
		if oldest == "" || o.updated.Before(at) {
			oldest, at = inc, o.updated
		}
	}
	delete(h.byIncarnation, oldest)
}
