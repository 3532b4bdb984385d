package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/catalog"
	"github.com/micarudder/micarudder/slotqueue"
)

var headReadAt = time.Unix(1000, 0)

// testWaitPolicy returns the policy of a request with an objective of 3 s and a deadline of 15 s,
// whose caller waits 12 s for the first part.
func testWaitPolicy() waitPolicy {
	return waitPolicy{started: headReadAt, deadline: headReadAt.Add(15 * time.Second), objective: 3 * time.Second, firstPartTimeout: 12 * time.Second}
}

func msAfterHead(ms int) time.Time { return headReadAt.Add(time.Duration(ms) * time.Millisecond) }

// TestMayWait: a request that was not sent stops waiting while it could still be in
// time, one that was sent goes on, and none waits for long if no endpoint is known, unless its caller
// has the beginning of a stream.
func TestMayWait(t *testing.T) {
	sent := testWaitPolicy()
	sent.attempts = 1
	partial := sent
	partial.partial = true
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
		"sent, none is known": {sent, false, 750, false},
		"begun":               {partial, true, 14_999, true},
		"begun, none known":   {partial, false, 14_999, true},
		"begun, over":         {partial, false, 15_000, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(c.p.mayWait(c.busy, msAfterHead(c.ms)), c.want)
		})
	}
}

// TestMayRefuseBusy: only a request that was not sent or held is refused because all slots are in
// use, and only if its caller has more than three times the Retry-After left.
func TestMayRefuseBusy(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*waitPolicy)
		ms     int
		want   bool
	}{
		"at once":     {func(*waitPolicy) {}, 0, true},
		"held":        {func(*waitPolicy) {}, 375, false},
		"sent":        {func(p *waitPolicy) { p.attempts = 1 }, 0, false},
		"not reached": {func(p *waitPolicy) { p.unsentAttempts = 1 }, 0, false},
		"resumed":     {func(p *waitPolicy) { p.resumed = true }, 0, false},
		"little time": {func(p *waitPolicy) { p.deadline = msAfterHead(9000) }, 0, false},
		"enough time": {func(p *waitPolicy) { p.deadline = msAfterHead(9001) }, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := testWaitPolicy()
			c.change(&p)
			is.Equal(p.mayRefuseBusy(msAfterHead(c.ms)), c.want)
			var req balance.Request
			p.fillTimes(&req, false, msAfterHead(c.ms))
			is.Equal(req.NoRefusal, !c.want)
		})
	}
}

// TestQueueRetryAfter: a caller is given a Retry-After that it will honour.
func TestQueueRetryAfter(t *testing.T) {
	is := is.New(t)
	is.Equal(testWaitPolicy().queueRetryAfter(headReadAt), retryAfterQueue)
	is.Equal(testWaitPolicy().queueRetryAfter(msAfterHead(9000)), 2*time.Second)
}

// TestFillTimes: the remaining times decrease with the wait, up to the first part of the response if
// the caller limits the wait for that.
func TestFillTimes(t *testing.T) {
	is := is.New(t)
	var req balance.Request
	testWaitPolicy().fillTimes(&req, false, msAfterHead(525))
	is.Equal(req.Slack, 525*time.Millisecond)
	is.Equal(req.WaitedShare, 0.5)
	is.Equal(req.ObjectiveLeftMs, 2475.0)
	is.Equal(req.DeadlineLeftMs, 11475.0)
	is.True(!req.Late)
	testWaitPolicy().fillTimes(&req, false, msAfterHead(5000))
	is.True(req.Late)
	is.Equal(req.WaitedShare, 1.0)
	testWaitPolicy().fillTimes(&req, true, msAfterHead(0))
	is.True(req.Late)
	is.Equal(testWaitPolicy().promptUrgency(false, msAfterHead(3000)), balance.InTime)
	is.Equal(testWaitPolicy().promptUrgency(true, msAfterHead(3000)), balance.Oversize)
	is.Equal(testWaitPolicy().promptUrgency(true, msAfterHead(3001)), balance.Late)
}

// TestAfterAttempt: a request that may have run is repeated only if it may run twice, and within the
// attempts of the route.
func TestAfterAttempt(t *testing.T) {
	is := is.New(t)
	once := &catalog.Route{Kind: catalog.Unsafe, MaxAttempts: 2}
	safe := &catalog.Route{Kind: catalog.Safe, MaxAttempts: 2}
	is.Equal(waitPolicy{}.afterAttempt(once, false), freeRetry)
	is.Equal(waitPolicy{unsentAttempts: maxUnsentAttempts + 1}.afterAttempt(safe, false), noRetry)
	is.Equal(waitPolicy{attempts: 1}.afterAttempt(once, true), noRetry)
	is.Equal(waitPolicy{attempts: 1}.afterAttempt(once, false), budgetedRetry)
	is.Equal(waitPolicy{attempts: 1}.afterAttempt(safe, true), budgetedRetry)
	is.Equal(waitPolicy{attempts: 2}.afterAttempt(safe, false), noRetry)
	// An attempt that did not run because of a helper used no run of an endpoint, but the number of
	// such attempts is limited.
	is.Equal(waitPolicy{attempts: 2, helperFailures: 2}.afterAttempt(once, false), budgetedRetry)
	is.Equal(waitPolicy{attempts: 2, helperFailures: 1}.afterAttempt(once, false), budgetedRetry)
	is.Equal(waitPolicy{attempts: 3, helperFailures: 1}.afterAttempt(once, false), noRetry)
	is.Equal(waitPolicy{attempts: 2, helperFailures: 1}.afterAttempt(once, true), noRetry)
	is.Equal(waitPolicy{attempts: maxHelperFailures + 1, helperFailures: maxHelperFailures + 1}.afterAttempt(safe, false), noRetry)
}

// TestPartialStreamIsRetried: attempts that reach no endpoint do not end a stream that its caller has
// the beginning of, are not charged to the retry budget again, and become rarer.
func TestPartialStreamIsRetried(t *testing.T) {
	is := is.New(t)
	route := &catalog.Route{Kind: catalog.Streaming, Resumable: true, MaxAttempts: 2}
	broken := waitPolicy{attempts: 1, partial: true}
	is.Equal(broken.afterAttempt(route, true), budgetedRetry)
	is.Equal(broken.unreachedRetryDelay(), time.Duration(0))
	partial := testWaitPolicy()
	partial.attempts, partial.resumed, partial.partial = 1, true, true
	is.True(partial.mayWaitForBackoff(msAfterHead(14_999), msAfterHead(9000)))
	is.True(!partial.mayWaitForBackoff(msAfterHead(15_000), msAfterHead(9000)))
	var total time.Duration
	unreached := broken
	unreached.unsent = true
	for unreached.unsentAttempts = 1; total < 10*time.Second; unreached.unsentAttempts++ {
		is.Equal(unreached.afterAttempt(route, true), freeRetry)
		total += unreached.unreachedRetryDelay()
	}
	is.True(unreached.unsentAttempts < 30)
	unreached.attempts = 2
	is.Equal(unreached.afterAttempt(route, true), noRetry)
	// Attempts that the new incarnation of an endpoint rejects are charged, and bounded by the budget.
	misdirected := waitPolicy{attempts: 4, misdirected: 3, wrongIncarnation: true, partial: true}
	is.Equal(misdirected.afterAttempt(route, true), budgetedRetry)
	is.True(misdirected.unreachedRetryDelay() > 0)
	misdirected.partial = false
	is.Equal(misdirected.afterAttempt(route, true), noRetry)
	is.Equal(misdirected.unreachedRetryDelay(), time.Duration(0))
}

// TestSlotUrgency: a request that is late goes behind the others, but is served before its caller gives
// up. A begun stream never goes behind.
func TestSlotUrgency(t *testing.T) {
	begun := testWaitPolicy()
	begun.partial = true
	for name, c := range map[string]struct {
		p       waitPolicy
		ms      int
		urgency slotqueue.Urgency
		waits   bool
	}{
		"in time":             {testWaitPolicy(), 2500, slotqueue.InTime, true},
		"late":                {testWaitPolicy(), 2501, slotqueue.Late, true},
		"late, still patient": {testWaitPolicy(), 8400, slotqueue.Late, true},
		"caller gives up":     {testWaitPolicy(), 8401, slotqueue.InTime, true},
		"caller is gone":      {testWaitPolicy(), 12_000, slotqueue.InTime, false},
		"begun":               {begun, 5000, slotqueue.InTime, true},
		"begun, patient":      {begun, 14_999, slotqueue.InTime, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(c.p.slotUrgency(msAfterHead(2500), msAfterHead(c.ms)), c.urgency)
			is.Equal(c.p.mayWaitForSlot(msAfterHead(c.ms)), c.waits)
		})
	}
}

// TestMayRefuseSlot: a request is refused at once if it would start after 40 % of its caller's patience,
// but not if it was sent or held, or its caller has no time to return.
func TestMayRefuseSlot(t *testing.T) {
	sent, resumed, hurried := testWaitPolicy(), testWaitPolicy(), testWaitPolicy()
	sent.attempts, resumed.resumed = 1, true
	hurried.deadline = headReadAt.Add(9 * time.Second)
	for name, c := range map[string]struct {
		p          waitPolicy
		ms, waitMs int
		want       bool
	}{
		"soon enough":      {testWaitPolicy(), 0, 4800, false},
		"too late":         {testWaitPolicy(), 0, 4801, true},
		"held":             {testWaitPolicy(), 375, 9000, false},
		"sent":             {sent, 0, 9000, false},
		"resumed":          {resumed, 0, 9000, false},
		"no time to retry": {hurried, 0, 9000, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(c.p.mayRefuseSlot(time.Duration(c.waitMs)*time.Millisecond, msAfterHead(c.ms)), c.want)
		})
	}
}

// TestFairSharesNeedSharedSlots: fair shares order only what queues for slots, so that the setting alone
// would have no effect.
func TestFairSharesNeedSharedSlots(t *testing.T) {
	is := is.New(t)
	var s Settings
	s.Load.FairShares = true
	is.Equal(len(s.Check()), 1)
	s.Load.SharedSlots = true
	is.Equal(len(s.Check()), 0)
	is.True(s.config().SharedSlots && s.config().FairShares)
}
