package routing

import "time"

// notConnected rejects endpoints whose agent is not connected and has sent
// nothing within maxSilence.
func notConnected(e *evaluation, maxSilence time.Duration) bool {
	if e.cand.Connected {
		return false
	}
	return e.cand.Silence <= 0 || e.cand.Silence > maxSilence
}

// draining rejects endpoints that take no new work because they are draining.
func draining(e *evaluation) bool { return e.cand.Draining }
