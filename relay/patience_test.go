package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/balance"
	"github.com/micarudder/micarudder/catalog"
)

var headRead = time.Unix(1000, 0)

// waiting returns a request with an objective of 3 s and a deadline of 15 s, whose
// caller waits 12 s for the first part.
func waiting() patience {
	return patience{started: headRead, deadline: headRead.Add(15 * time.Second), objective: 3 * time.Second, first: 12 * time.Second}
}

func after(ms int) time.Time { return headRead.Add(time.Duration(ms) * time.Millisecond) }

// TestHowLongARequestWaits: one that was not sent ends its wait while it could still
// come back in time, one that was sent goes on, and none waits for long where no
// endpoint is known.
func TestHowLongARequestWaits(t *testing.T) {
	sent := waiting()
	sent.sends = 1
	for name, c := range map[string]struct {
		p    patience
		busy bool
		ms   int
		want bool
	}{
		"busy":                {waiting(), true, 1049, true},
		"busy, over":          {waiting(), true, 1050, false},
		"sent":                {sent, true, 8399, true},
		"sent, over":          {sent, true, 8400, false},
		"none is known":       {waiting(), false, 749, true},
		"none is known, over": {waiting(), false, 750, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(c.p.mayWait(c.busy, after(c.ms)), c.want)
		})
	}
}

// TestWhoMayComeBack: only a request that was not sent or held is refused for taken
// slots, and only one whose caller has three times the time that it is told.
func TestWhoMayComeBack(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*patience)
		ms     int
		want   bool
	}{
		"at once":       {func(*patience) {}, 0, true},
		"held":          {func(*patience) {}, 375, false},
		"sent":          {func(p *patience) { p.sends = 1 }, 0, false},
		"not reached":   {func(p *patience) { p.unsent = 1 }, 0, false},
		"goes on":       {func(p *patience) { p.resumed = true }, 0, false},
		"little time":   {func(p *patience) { p.deadline = after(9000) }, 0, false},
		"time for once": {func(p *patience) { p.deadline = after(9001) }, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := waiting()
			c.change(&p)
			is.Equal(p.mayComeBack(after(c.ms)), c.want)
			var w balance.Work
			p.tell(&w, false, after(c.ms))
			is.Equal(w.MustTake, !c.want)
		})
	}
}

// TestComeBackAfter: a caller is told a time that it will wait.
func TestComeBackAfter(t *testing.T) {
	is := is.New(t)
	is.Equal(waiting().comeBackAfter(headRead), retryAfterQueue)
	is.Equal(waiting().comeBackAfter(after(9000)), 2*time.Second)
}

// TestWhatTheChoiceIsTold: the times left fall with the wait, to the first part of
// the answer where the caller waits for that.
func TestWhatTheChoiceIsTold(t *testing.T) {
	is := is.New(t)
	var w balance.Work
	waiting().tell(&w, false, after(525))
	is.Equal(w.Slack, 525*time.Millisecond)
	is.Equal(w.Waited, 0.5)
	is.Equal(w.LeftMs, 2475.0)
	is.Equal(w.DeadlineMs, 11475.0)
	is.True(!w.Late)
	waiting().tell(&w, false, after(5000))
	is.True(w.Late)
	is.Equal(w.Waited, 1.0)
	waiting().tell(&w, true, after(0))
	is.True(w.Late)
	is.Equal(waiting().rank(false, after(3000)), balance.InTime)
	is.Equal(waiting().rank(true, after(3000)), balance.Oversize)
	is.Equal(waiting().rank(true, after(3001)), balance.Late)
}

// TestAfterASend: what may have run is repeated only where it may run twice, and
// within the attempts of the route.
func TestAfterASend(t *testing.T) {
	is := is.New(t)
	once := &catalog.Route{Kind: catalog.Unsafe, MaxAttempts: 2}
	safe := &catalog.Route{Kind: catalog.Safe, MaxAttempts: 2}
	is.Equal(patience{}.afterSend(once, false), sendAgain)
	is.Equal(patience{unsent: maxUnsent + 1}.afterSend(safe, false), giveUp)
	is.Equal(patience{sends: 1}.afterSend(once, true), giveUp)
	is.Equal(patience{sends: 1}.afterSend(once, false), askBudget)
	is.Equal(patience{sends: 1}.afterSend(safe, true), askBudget)
	is.Equal(patience{sends: 2}.afterSend(safe, false), giveUp)
	// A send that a helper kept from running took no endpoint's run, and there is a limit.
	is.Equal(patience{sends: 2, helperFailures: 2}.afterSend(once, false), askBudget)
	is.Equal(patience{sends: 2, helperFailures: 1}.afterSend(once, false), askBudget)
	is.Equal(patience{sends: 3, helperFailures: 1}.afterSend(once, false), giveUp)
	is.Equal(patience{sends: 2, helperFailures: 1}.afterSend(once, true), giveUp)
	is.Equal(patience{sends: maxHelperFailures + 1, helperFailures: maxHelperFailures + 1}.afterSend(safe, false), giveUp)
}
