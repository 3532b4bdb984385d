package availability

import "time"

// slowStartLimit is the largest window of unanswered requests during slow start after a backoff. Beyond it
// the endpoint is used like any other. The first request finds out whether the endpoint accepts requests
// again; each one that is answered widens the window by one.
const slowStartLimit = 8

// restartListingLag is how long a restarted endpoint may be responding before the lists that gateways read
// show the restart.
const restartListingLag = 1500 * time.Millisecond

// BackoffTable tracks the backoffs that endpoints have requested from this gateway. After a backoff an
// endpoint goes through slow start: it gets one request, and more as these are answered, so that the
// requests queued meanwhile do not reach it all at once. A backoff does not apply to other gateways and
// says nothing about the endpoint's health. BackoffTable is not safe for concurrent use.
type BackoffTable struct {
	entries map[string]*backoff
}

// backoff is the backoff of one endpoint and the slow start that follows it.
type backoff struct {
	requestedAt time.Time // of the newest request for a backoff
	until       time.Time
	// epoch counts the endpoint's requests for a backoff. Responses to requests sent in an
	// earlier epoch do not count for slow start.
	epoch uint64
	// inFlight is the number of unanswered requests sent since the backoff, window their limit.
	inFlight, window int
}

// SentRequest is a request sent to an endpoint that may be in slow start. The zero value is no request.
type SentRequest struct {
	endpoint string
	epoch    uint64 // 0 if the endpoint had no backoff
}

// NewBackoffTable returns an empty table.
func NewBackoffTable() *BackoffTable { return &BackoffTable{entries: make(map[string]*backoff)} }

// Request records that an endpoint requested a backoff of d from now on. Of overlapping backoffs the one that
// ends last applies, because responses can overtake each other. Request reports whether the end of the
// backoff has changed.
func (t *BackoffTable) Request(endpoint string, d time.Duration, now time.Time) bool {
	e := t.entries[endpoint]
	if e == nil {
		e = &backoff{}
		t.entries[endpoint] = e
	}
	e.requestedAt = now
	until := now.Add(d)
	longer := until.After(e.until)
	if longer {
		e.until = until
	}
	e.epoch++
	e.inFlight, e.window = 0, 1
	return longer
}

// Active reports whether any endpoint is in a backoff or in slow start.
func (t *BackoffTable) Active() bool { return len(t.entries) > 0 }

// InBackoff reports whether an endpoint is in a backoff.
func (t *BackoffTable) InBackoff(endpoint string, now time.Time) bool {
	e := t.entries[endpoint]
	return e != nil && now.Before(e.until)
}

// MaySend reports whether one more request may be sent to an endpoint now.
func (t *BackoffTable) MaySend(endpoint string, now time.Time) bool {
	e := t.entries[endpoint]
	return e == nil || !now.Before(e.until) && e.inFlight < e.window
}

// NextSend returns when one more request may be sent to an endpoint. It returns now if the endpoint is not
// in a backoff, also where slow start has to wait for responses.
func (t *BackoffTable) NextSend(endpoint string, now time.Time) time.Time {
	if e := t.entries[endpoint]; e != nil && now.Before(e.until) {
		return e.until
	}
	return now
}

// Begin registers a request that is about to be sent to an endpoint; ok is false if it must not be sent.
func (t *BackoffTable) Begin(endpoint string, now time.Time) (s SentRequest, ok bool) {
	if !t.MaySend(endpoint, now) {
		return s, false
	}
	s.endpoint = endpoint
	if e := t.entries[endpoint]; e != nil {
		e.inFlight++
		s.epoch = e.epoch
	}
	return s, true
}

// End records that a request was answered, or will not be. It reports whether this ended the endpoint's slow
// start.
func (t *BackoffTable) End(s SentRequest, answered bool) bool {
	e := t.entries[s.endpoint]
	if e == nil || s.epoch != e.epoch {
		return false
	}
	e.inFlight--
	if answered {
		e.window++
	}
	if e.window <= slowStartLimit {
		return false
	}
	delete(t.entries, s.endpoint)
	return true
}

// Restarted records that an endpoint was seen to have restarted, which ends a backoff that its previous
// incarnation requested. listed is when that incarnation was listed last. A backoff requested later than
// restartListingLag before that time stays, as it may have been requested by the new incarnation.
func (t *BackoffTable) Restarted(endpoint string, listed time.Time) {
	if e := t.entries[endpoint]; e != nil && e.requestedAt.Before(listed.Add(-restartListingLag)) {
		delete(t.entries, endpoint)
	}
}

// Forget drops the state of an endpoint that is gone.
func (t *BackoffTable) Forget(endpoint string) { delete(t.entries, endpoint) }

// Suspended shortens all backoffs by the time for which the host was suspended, which its clock
// does not count.
func (t *BackoffTable) Suspended(d time.Duration) {
	for _, e := range t.entries {
		e.until = e.until.Add(-d)
	}
}
