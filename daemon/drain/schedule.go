// Package drain is the graceful shutdown of a process that serves requests: it knows when the process ends, and
// ends what the requests wait for early enough for all of them to be answered.
package drain

import "time"

const (
	// maxExitMargin and exitMarginDivisor bound the part of the drain time that is left for the process to
	// exit: a freeze of a fraction of a second must not make it exceed its grace period.
	maxExitMargin     = time.Second
	exitMarginDivisor = 8
	// maxAnswerTime and answerTimeDivisor bound how long before that the last requests are answered.
	maxAnswerTime     = 100 * time.Millisecond
	answerTimeDivisor = 80
	// maxServePercent is the part of the time before the answers, in percent, for which requests are accepted if
	// the load balancer may notice the shutdown later.
	maxServePercent = 75
)

// Phase is a step of the shutdown.
type Phase uint8

const (
	Serving   Phase = iota // no stop signal has arrived
	Unready                // requests are served, since the load balancer may not have noticed the shutdown
	Refusing               // no request is accepted, and only the rest of a begun response waits for an endpoint
	Answering              // whatever is in flight ends, and its caller is answered
	Exiting                // the process exits
)

// Schedule says when the phases of a shutdown begin. All of its times count from the stop signal, on a clock that
// includes the time for which the host was suspended.
type Schedule struct {
	// DrainTime is when the process must have exited.
	DrainTime time.Duration
	// NoticeTime is how long the load balancer takes to notice that the process is not ready.
	NoticeTime time.Duration
}

// PhaseAt returns the phase at a time after the stop signal.
func (s Schedule) PhaseAt(elapsed time.Duration) Phase {
	switch {
	case elapsed >= s.exitAt():
		return Exiting
	case elapsed >= s.answerAt():
		return Answering
	case elapsed >= s.refuseAt():
		return Refusing
	default:
		return Unready
	}
}

func (s Schedule) refuseAt() time.Duration {
	return min(s.NoticeTime, s.answerAt()/100*maxServePercent)
}

func (s Schedule) answerAt() time.Duration {
	return s.exitAt() - min(maxAnswerTime, s.DrainTime/answerTimeDivisor)
}

func (s Schedule) exitAt() time.Duration {
	return s.DrainTime - min(maxExitMargin, s.DrainTime/exitMarginDivisor)
}
