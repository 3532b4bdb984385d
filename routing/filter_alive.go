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

// leaving rejects endpoints that take no new work because they are leaving.
func leaving(e *evaluation) bool { return e.cand.Leaving }
