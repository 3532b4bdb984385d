package main

import "time"

// mostLost is how often LOST allows that a request of a kept channel is passed on to a sound worker and the
// channel is then closed with no answer.
const mostLost = 3

// lost returns the requests from kept channels that ran at a sound worker and whose channel was then closed
// with no answer.
func lost(l *log, led *ledger) (out []request) {
	for _, q := range l.requests {
		if !q.kept || q.err == nil || q.status != 0 {
			continue
		}
		runs := led.of(q.id)
		sound := len(runs) > 0
		for _, r := range runs {
			sound = sound && r.sound
		}
		if sound {
			out = append(out, q)
		}
	}
	return out
}

// mostEnds and mostMachines are how often processes may end by themselves, and on how many of the machines they
// may do so more often, before the day is a fault.
const (
	mostEnds     = 2
	mostMachines = 1
)

// summarize records how the requests and the processes ended. It reports whether an answer was wrong, or
// processes ended by themselves too often.
func summarize(p *platform, l *log, led *ledger) (wrong bool) {
	for _, q := range l.requests {
		p.record.event("sent at %.3f to %s, kept channel %v: %s %s; answered after %d ms: status %d, %d bytes, complete %v, %v; run by %s",
			q.sentAt.Sub(p.record.began).Seconds(), q.front, q.kept, q.route, q.id, q.endedAt.Sub(q.sentAt).Milliseconds(), q.status, q.received, q.complete, q.err, led.text(q.id))
	}
	answered, refused, failed, mixed := 0, 0, 0, 0
	for _, q := range l.requests {
		switch {
		case q.problem != "":
			mixed++
			p.record.event("MIXED: %s %s: %s", q.route, q.id, q.problem)
		case q.complete && q.status/100 == 2:
			answered++
		case q.complete:
			refused++
		default:
			failed++
		}
	}
	ends, often := 0, 0
	for _, f := range p.fronts {
		f.mu.Lock()
		p.record.say("%s: ended by itself %d times, %d of them over its memory of %d MB; at most %d MB", f.name, f.ownEnds, f.memoryKills, frontMemoryBytes>>20, f.peakBytes>>20)
		ends += f.ownEnds
		if f.ownEnds > mostEnds {
			often++
		}
		f.mu.Unlock()
	}
	p.record.say("%d requests: %d served, %d answered otherwise, %d without a complete answer, %d wrong", len(l.requests), answered, refused, failed, mixed)
	p.record.say("the relays ended by themselves %d times; %d of %d did so three times or more", ends, often, len(p.fronts))
	return mixed > 0 || often > mostMachines
}

// judge checks the first sentence of LOST.
func judge(p *platform, l *log, led *ledger) (broken bool) {
	list := lost(l, led)
	for _, q := range list {
		p.record.event("LOST: %s %s of a kept channel at %s ran at %s, a sound worker, and the channel was closed with no answer after %d ms", q.route, q.id, q.front, led.of(q.id)[0].worker, q.endedAt.Sub(q.sentAt).Milliseconds())
	}
	wrong := summarize(p, l, led)
	p.record.say("passed on from a kept channel to a sound worker, then the channel was closed with no answer: %d; %d are allowed", len(list), mostLost)
	return len(list) > mostLost || wrong
}

// change is a configuration that takes a key away.
type change struct {
	key             string
	sent, confirmed time.Time
}

const (
	configTime = 2 * time.Second // configMs
	// usedShare is the part of its time after which the end of a request beside a configuration does not count.
	usedShare = 0.7
	// cutFactor is how much more often than at other times requests must be cut beside a configuration.
	cutFactor = 3
)

// judgePlanned checks the sentence of LOST about planned work, for configurations.
func judgePlanned(p *platform, l *log, led *ledger, changes []change) (broken bool) {
	beside := func(at time.Time) *change {
		for i := range changes {
			if !at.Before(changes[i].sent) && at.Before(changes[i].confirmed.Add(configTime+time.Second)) {
				return &changes[i]
			}
		}
		return nil
	}
	var cut []request
	endedBeside, cutElsewhere := 0, 0
	for _, q := range l.requests {
		near := beside(q.endedAt)
		if near != nil {
			endedBeside++
		}
		switch {
		case q.complete || len(led.of(q.id)) == 0:
		case near == nil:
			cutElsewhere++
			p.record.event("cut at another time: %s %s at %s after %d ms, %d bytes", q.route, q.id, q.front, q.endedAt.Sub(q.sentAt).Milliseconds(), q.received)
		case q.endedAt.Sub(q.sentAt) < time.Duration(usedShare*float64(captionDeadline)):
			cut = append(cut, q)
			p.record.event("LOST: %s %s with %s at %s, sent %d ms before the configuration without that key, was read whole and ran at %s; its channel was closed %d ms after it was sent, with %d bytes of its answer",
				q.route, q.id, q.key, q.front, near.sent.Sub(q.sentAt).Milliseconds(), led.of(q.id)[0].worker, q.endedAt.Sub(q.sentAt).Milliseconds(), q.received)
		}
	}
	wrong := summarize(p, l, led)
	elsewhere := len(l.requests) - endedBeside
	p.record.say("cut beside a configuration: %d of %d; at other times: %d of %d", len(cut), endedBeside, cutElsewhere, elsewhere)
	more := len(cut)*max(1, elsewhere) > cutFactor*cutElsewhere*max(1, endedBeside)
	return len(cut) > 0 && more || wrong
}
