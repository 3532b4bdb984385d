package routing

import "time"

// notConnected rejects endpoints whose agent is not connected and has sent
// nothing within maxSilence.
func notConnected(j *job, maxSilence time.Duration) bool {
	if j.cand.Connected {
		return false
	}
	return j.cand.Silent <= 0 || j.cand.Silent > maxSilence
}

// leaving rejects endpoints that take no new work because they are leaving.
func leaving(j *job) bool { return j.cand.Leaving }
