package routing

import "time"

// notConnected rejects endpoints whose agent is neither connected nor was
// heard within freshFor.
func notConnected(j *job, freshFor time.Duration) bool {
	if j.cand.Connected {
		return false
	}
	return j.cand.Silent <= 0 || j.cand.Silent > freshFor
}

// leaving rejects endpoints that take no new work.
func leaving(j *job) bool { return j.cand.Leaving }
