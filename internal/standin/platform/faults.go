package platform

import (
	"fmt"
	"net/url"
	"strconv"
	"time"
)

// Outage is how the service is unavailable.
type Outage string

// Kinds of outage.
const (
	OutageNone   Outage = ""
	OutageRefuse Outage = "refuse" // every call gets the error "no leader"
	OutageReset  Outage = "reset"  // every connection is closed without a response
	OutageHang   Outage = "hang"   // no call gets a response; none takes effect
)

// Watch is how watches fail.
type Watch string

// Kinds of watch faults.
const (
	WatchNormal Watch = ""
	WatchPaused Watch = "paused" // open, but no events are sent until the fault ends
	WatchOld    Watch = "old"    // an old value follows each new one
)

// Faults are the current faults; the zero value is none. The names in brackets are the parameters
// of POST /fault.
type Faults struct {
	Outage        Outage        `json:"outage"`         // [outage]
	Delay         time.Duration `json:"delay"`          // [delay] before a call takes effect; a write takes effect even if its caller has disconnected
	AnswerDelay   time.Duration `json:"answer_delay"`   // [answer_delay] after the call took effect
	LoseApplied   int           `json:"lose_applied"`   // [lose_applied] this many writes take effect and get no response
	LoseUnapplied int           `json:"lose_unapplied"` // [lose_unapplied] this many writes neither take effect nor get a response
	Watch         Watch         `json:"watch"`          // [watch]
	OldReads      bool          `json:"old_reads"`      // [old_reads] reads come from the last snapshot
}

// set changes the fault with the given parameter name.
func (f *Faults) set(name, value string) error {
	var err error
	switch name {
	case "outage":
		f.Outage, err = oneOf(value, OutageNone, OutageRefuse, OutageReset, OutageHang)
	case "delay":
		f.Delay, err = time.ParseDuration(value)
	case "answer_delay":
		f.AnswerDelay, err = time.ParseDuration(value)
	case "lose_applied":
		f.LoseApplied, err = strconv.Atoi(value)
	case "lose_unapplied":
		f.LoseUnapplied, err = strconv.Atoi(value)
	case "watch":
		f.Watch, err = oneOf(value, WatchNormal, WatchPaused, WatchOld)
	case "old_reads":
		f.OldReads, err = strconv.ParseBool(value)
	default:
		err = fmt.Errorf("no such fault")
	}
	if err != nil {
		return fmt.Errorf("%s=%q: %w", name, value, err)
	}
	return nil
}

// oneOf returns value if it is among the allowed ones.
func oneOf[T ~string](value string, allowed ...T) (T, error) {
	for _, a := range allowed {
		if string(a) == value {
			return a, nil
		}
	}
	return "", fmt.Errorf("want one of %q", allowed)
}

// changedBy returns the faults as changed by form; with clear=true all others are cleared.
func (f Faults) changedBy(form url.Values) (Faults, error) {
	if form.Get("clear") == "true" {
		f = Faults{}
	}
	for name := range form {
		if name == "clear" {
			continue
		}
		if err := f.set(name, form.Get(name)); err != nil {
			return Faults{}, err
		}
	}
	return f, nil
}

// Faults returns the current faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	s.store.notify()
}

// callOutcome is how one call ends.
type callOutcome struct {
	applied  bool
	answered bool
}

// nextOutcome returns the outcome of a call; each lost write decrements its fault.
func (s *Server) nextOutcome(write bool) callOutcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !write {
		return callOutcome{applied: true, answered: true}
	}
	if s.faults.LoseApplied > 0 {
		s.faults.LoseApplied--
		return callOutcome{applied: true}
	}
	if s.faults.LoseUnapplied > 0 {
		s.faults.LoseUnapplied--
		return callOutcome{}
	}
	return callOutcome{applied: true, answered: true}
}
