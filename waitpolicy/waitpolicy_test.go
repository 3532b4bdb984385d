package waitpolicy

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
func testWaitPolicy() Policy {
	return Policy{Started: headReadAt, Deadline: headReadAt.Add(15 * time.Second), Objective: 3 * time.Second, FirstPartTimeout: 12 * time.Second}
}

func msAfterHead(ms int) time.Time { return headReadAt.Add(time.Duration(ms) * time.Millisecond) }

// TestMayWait: a request that was not sent stops waiting while it could still be in
// time, one that was sent goes on, and none waits for long if no endpoint is known, unless its caller
// has the beginning of a stream.
func TestMayWait(t *testing.T) {
	sent := testWaitPolicy()
	sent.Attempts = 1
	partial := sent
	partial.Partial = true
	for name, c := range map[string]struct {
		p    Policy
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
			is.Equal(c.p.MayWait(c.busy, msAfterHead(c.ms)), c.want)
		})
	}
}

// TestMayRefuseBusy: only a request that was not sent or held is refused because all slots are in
// use, and only if its caller has more than three times the Retry-After left.
func TestMayRefuseBusy(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Policy)
		ms     int
		want   bool
	}{
		"at once":     {func(*Policy) {}, 0, true},
		"held":        {func(*Policy) {}, 375, false},
		"sent":        {func(p *Policy) { p.Attempts = 1 }, 0, false},
		"not reached": {func(p *Policy) { p.UnsentAttempts = 1 }, 0, false},
		"resumed":     {func(p *Policy) { p.Resumed = true }, 0, false},
		"little time": {func(p *Policy) { p.Deadline = msAfterHead(9000) }, 0, false},
		"enough time": {func(p *Policy) { p.Deadline = msAfterHead(9001) }, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := testWaitPolicy()
			c.change(&p)
			is.Equal(p.mayRefuseBusy(msAfterHead(c.ms)), c.want)
			var req balance.Request
			p.FillTimes(&req, false, msAfterHead(c.ms))
			is.Equal(req.NoRefusal, !c.want)
		})
	}
}

// TestQueueRetryAfter: a caller is given a Retry-After that it will honour.
func TestQueueRetryAfter(t *testing.T) {
	is := is.New(t)
	is.Equal(testWaitPolicy().QueueRetryAfter(headReadAt), retryAfterQueue)
	is.Equal(testWaitPolicy().QueueRetryAfter(msAfterHead(9000)), 2*time.Second)
}

// TestFillTimes: the remaining times decrease with the wait, up to the first part of the response if
// the caller limits the wait for that.
func TestFillTimes(t *testing.T) {
	is := is.New(t)
	var req balance.Request
	testWaitPolicy().FillTimes(&req, false, msAfterHead(525))
	is.Equal(req.Slack, 525*time.Millisecond)
	is.Equal(req.WaitedShare, 0.5)
	is.Equal(req.ObjectiveLeftMs, 2475.0)
	is.Equal(req.DeadlineLeftMs, 11475.0)
	is.True(!req.Late)
	testWaitPolicy().FillTimes(&req, false, msAfterHead(5000))
	is.True(req.Late)
	is.Equal(req.WaitedShare, 1.0)
	testWaitPolicy().FillTimes(&req, true, msAfterHead(0))
	is.True(req.Late)
	is.Equal(testWaitPolicy().PromptUrgency(false, msAfterHead(3000)), balance.InTime)
	is.Equal(testWaitPolicy().PromptUrgency(true, msAfterHead(3000)), balance.Oversize)
	is.Equal(testWaitPolicy().PromptUrgency(true, msAfterHead(3001)), balance.Late)
}

// TestAfterAttempt: a request that may have run is repeated only if it may run twice, and within the
// attempts of the route.
func TestAfterAttempt(t *testing.T) {
	is := is.New(t)
	once := &catalog.Route{Kind: catalog.Unsafe, MaxAttempts: 2}
	safe := &catalog.Route{Kind: catalog.Safe, MaxAttempts: 2}
	is.Equal(Policy{}.AfterAttempt(once, false), FreeRetry)
	is.Equal(Policy{UnsentAttempts: maxUnsentAttempts + 1}.AfterAttempt(safe, false), NoRetry)
	is.Equal(Policy{Attempts: 1}.AfterAttempt(once, true), NoRetry)
	is.Equal(Policy{Attempts: 1}.AfterAttempt(once, false), BudgetedRetry)
	is.Equal(Policy{Attempts: 1}.AfterAttempt(safe, true), BudgetedRetry)
	is.Equal(Policy{Attempts: 2}.AfterAttempt(safe, false), NoRetry)
	// An attempt that did not run because of a helper used no run of an endpoint, but the number of
	// such attempts is limited.
	is.Equal(Policy{Attempts: 2, HelperFailures: 2}.AfterAttempt(once, false), BudgetedRetry)
	is.Equal(Policy{Attempts: 2, HelperFailures: 1}.AfterAttempt(once, false), BudgetedRetry)
	is.Equal(Policy{Attempts: 3, HelperFailures: 1}.AfterAttempt(once, false), NoRetry)
	is.Equal(Policy{Attempts: 2, HelperFailures: 1}.AfterAttempt(once, true), NoRetry)
	is.Equal(Policy{Attempts: maxHelperFailures + 1, HelperFailures: maxHelperFailures + 1}.AfterAttempt(safe, false), NoRetry)
}

// TestPartialStreamIsRetried: attempts that reach no endpoint do not end a stream that its caller has
// the beginning of, are not charged to the retry budget again, and become rarer.
func TestPartialStreamIsRetried(t *testing.T) {
	is := is.New(t)
	route := &catalog.Route{Kind: catalog.Streaming, Resumable: true, MaxAttempts: 2}
	broken := Policy{Attempts: 1, Partial: true}
	is.Equal(broken.AfterAttempt(route, true), BudgetedRetry)
	is.Equal(broken.UnreachedRetryDelay(), time.Duration(0))
	partial := testWaitPolicy()
	partial.Attempts, partial.Resumed, partial.Partial = 1, true, true
	is.True(partial.MayWaitForBackoff(msAfterHead(14_999), msAfterHead(9000)))
	is.True(!partial.MayWaitForBackoff(msAfterHead(15_000), msAfterHead(9000)))
	var total time.Duration
	unreached := broken
	unreached.Unsent = true
	for unreached.UnsentAttempts = 1; total < 10*time.Second; unreached.UnsentAttempts++ {
		is.Equal(unreached.AfterAttempt(route, true), FreeRetry)
		total += unreached.UnreachedRetryDelay()
	}
	is.True(unreached.UnsentAttempts < 30)
	unreached.Attempts = 2
	is.Equal(unreached.AfterAttempt(route, true), NoRetry)
	// Attempts that the new incarnation of an endpoint rejects are charged, and bounded by the budget.
	misdirected := Policy{Attempts: 4, Misdirected: 3, WrongIncarnation: true, Partial: true}
	is.Equal(misdirected.AfterAttempt(route, true), BudgetedRetry)
	is.True(misdirected.UnreachedRetryDelay() > 0)
	misdirected.Partial = false
	is.Equal(misdirected.AfterAttempt(route, true), NoRetry)
	is.Equal(misdirected.UnreachedRetryDelay(), time.Duration(0))
}
