package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/catalog"
)

var headReadAt = time.Unix(1000, 0)

// testWaitPolicy returns the policy of a request with an objective of 3 s and a deadline of 15 s,
// whose caller waits 12 s for the first part.
func testWaitPolicy() waitPolicy {
	return waitPolicy{started: headReadAt, deadline: headReadAt.Add(15 * time.Second), objective: 3 * time.Second, firstPartTimeout: 12 * time.Second}
}

func msAfterHead(ms int) time.Time { return headReadAt.Add(time.Duration(ms) * time.Millisecond) }

// TestHowLongARequestWaits: a request that was not sent stops waiting while it could still be in
// time, one that was sent goes on, and none waits for long if no endpoint is known.
func TestHowLongARequestWaits(t *testing.T) {
	sent := testWaitPolicy()
	sent.sends = 1
	for name, c := range map[string]struct {
		p    waitPolicy
		busy bool
		ms   int
		want bool
	}{
		"busy":                {testWaitPolicy(), true, 1049, true},
		"busy, over":          {testWaitPolicy(), true, 1050, false},
		"sent":                {sent, true, 8399, true},
		"sent, over":          {sent, true, 8400, false},
		"none is known":       {testWaitPolicy(), false, 749, true},
		"none is known, over": {testWaitPolicy(), false, 750, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(c.p.mayWait(c.busy, msAfterHead(c.ms)), c.want)
		})
	}
}

// TestMayRefuseBusy: only a request that was not sent or held is refused because all slots are
// taken, and only if its caller has more than three times the Retry-After time left.
func TestMayRefuseBusy(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*waitPolicy)
		ms     int
		want   bool
	}{
		"at once":     {func(*waitPolicy) {}, 0, true},
		"held":        {func(*waitPolicy) {}, 375, false},
		"sent":        {func(p *waitPolicy) { p.sends = 1 }, 0, false},
		"not reached": {func(p *waitPolicy) { p.unsent = 1 }, 0, false},
		"resumed":     {func(p *waitPolicy) { p.resumed = true }, 0, false},
		"little time": {func(p *waitPolicy) { p.deadline = msAfterHead(9000) }, 0, false},
		"enough time": {func(p *waitPolicy) { p.deadline = msAfterHead(9001) }, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := testWaitPolicy()
			c.change(&p)
			is.Equal(p.mayRefuseBusy(msAfterHead(c.ms)), c.want)
			var w balance.Request
			p.fillWork(&w, false, msAfterHead(c.ms))
			is.Equal(w.NoRefusal, !c.want)
		})
	}
}

// TestQueueRetryAfter: a caller is given a Retry-After time that it will honour.
func TestQueueRetryAfter(t *testing.T) {
	is := is.New(t)
	is.Equal(testWaitPolicy().queueRetryAfter(headReadAt), retryAfterQueue)
	is.Equal(testWaitPolicy().queueRetryAfter(msAfterHead(9000)), 2*time.Second)
}

// TestWorkTimes: the remaining times decrease with the wait, up to the first part of the answer if
// the caller limits the wait for that.
func TestWorkTimes(t *testing.T) {
	is := is.New(t)
	var w balance.Request
	testWaitPolicy().fillWork(&w, false, msAfterHead(525))
	is.Equal(w.Slack, 525*time.Millisecond)
	is.Equal(w.WaitedShare, 0.5)
	is.Equal(w.ObjectiveLeftMs, 2475.0)
	is.Equal(w.DeadlineLeftMs, 11475.0)
	is.True(!w.Late)
	testWaitPolicy().fillWork(&w, false, msAfterHead(5000))
	is.True(w.Late)
	is.Equal(w.WaitedShare, 1.0)
	testWaitPolicy().fillWork(&w, true, msAfterHead(0))
	is.True(w.Late)
	is.Equal(testWaitPolicy().rank(false, msAfterHead(3000)), balance.InTime)
	is.Equal(testWaitPolicy().rank(true, msAfterHead(3000)), balance.Oversize)
	is.Equal(testWaitPolicy().rank(true, msAfterHead(3001)), balance.Late)
}

// TestAfterASend: a request that may have run is repeated only if it may run twice, and within the
// attempts of the route.
func TestAfterASend(t *testing.T) {
	is := is.New(t)
	once := &catalog.Route{Kind: catalog.Unsafe, MaxAttempts: 2}
	safe := &catalog.Route{Kind: catalog.Safe, MaxAttempts: 2}
	is.Equal(waitPolicy{}.afterSend(once, false), freeRetry)
	is.Equal(waitPolicy{unsent: maxUnsent + 1}.afterSend(safe, false), noRetry)
	is.Equal(waitPolicy{sends: 1}.afterSend(once, true), noRetry)
	is.Equal(waitPolicy{sends: 1}.afterSend(once, false), budgetedRetry)
	is.Equal(waitPolicy{sends: 1}.afterSend(safe, true), budgetedRetry)
	is.Equal(waitPolicy{sends: 2}.afterSend(safe, false), noRetry)
	// A send that did not run because of a helper used no run of an endpoint, but the number of
	// such sends is limited.
	is.Equal(waitPolicy{sends: 2, helperFailures: 2}.afterSend(once, false), budgetedRetry)
	is.Equal(waitPolicy{sends: 2, helperFailures: 1}.afterSend(once, false), budgetedRetry)
	is.Equal(waitPolicy{sends: 3, helperFailures: 1}.afterSend(once, false), noRetry)
	is.Equal(waitPolicy{sends: 2, helperFailures: 1}.afterSend(once, true), noRetry)
	is.Equal(waitPolicy{sends: maxHelperFailures + 1, helperFailures: maxHelperFailures + 1}.afterSend(safe, false), noRetry)
}
