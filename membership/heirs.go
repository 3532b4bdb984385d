package membership

import "time"

// maxHeirs bounds the incarnations whose successor is known.
const maxHeirs = 4096

// Heirs knows which agent answers for an incarnation that stopped. It is not
// safe for concurrent use.
type Heirs struct{ of map[string]heir }

type heir struct {
	address string
	holds   bool // the agent at address said so itself
	heard   time.Time
}

// NewHeirs returns an empty Heirs.
func NewHeirs() *Heirs { return &Heirs{of: make(map[string]heir)} }

// Holds records an agent's word that it answers for the incarnations.
func (h *Heirs) Holds(address string, incarnations []string, now time.Time) {
	for _, inc := range incarnations {
		h.set(inc, heir{address, true, now})
	}
}

// Passed records the word of a leaving agent that another one answers for the
// incarnations. What a third agent says that it holds itself outranks that:
// the words of agents that stop together may come in any order.
func (h *Heirs) Passed(from, to string, incarnations []string, now time.Time) {
	for _, inc := range incarnations {
		if x, ok := h.of[inc]; ok && x.holds && x.address != from {
			continue
		}
		h.set(inc, heir{to, false, now})
	}
}

func (h *Heirs) set(incarnation string, x heir) {
	if _, ok := h.of[incarnation]; !ok && len(h.of) >= maxHeirs {
		h.dropOldest()
	}
	h.of[incarnation] = x
}

// Address returns the address of the agent that answers for an incarnation;
// empty when its own does.
func (h *Heirs) Address(incarnation string) string { return h.of[incarnation].address }

func (h *Heirs) dropOldest() {
	oldest, at := "", time.Time{}
	for inc, x := range h.of {
		if oldest == "" || x.heard.Before(at) {
			oldest, at = inc, x.heard
		}
	}
	delete(h.of, oldest)
}
