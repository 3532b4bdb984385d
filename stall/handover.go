package stall

// Handover decides which of two endpoints delivers a stream while the stream is resumed: the one at which it
// stalled, whose response is still awaited, or the next one. The first to deliver keeps it. The zero value is
// a handover in which neither has delivered.
type Handover struct {
	kept, moved bool
	broken      bool // whether the response at the first endpoint ended before the stream moved
}

// Delivered records that the first endpoint delivers again or has completed the stream. It reports false if
// the stream has moved, so that what arrived must be dropped.
func (h *Handover) Delivered() bool {
	h.kept = !h.moved
	return h.kept
}

// Broke records that the response at the first endpoint ended early. It reports false if that is only because
// the stream has moved.
func (h *Handover) Broke() bool {
	h.broken = !h.moved
	return h.broken
}

// Begun records that the next endpoint has delivered its first event. It reports whether the stream moves
// there; cut is set if the attempt at the first endpoint has to be ended for that.
func (h *Handover) Begun() (moves, cut bool) {
	h.moved = !h.kept
	return h.moved, h.moved && !h.broken
}
