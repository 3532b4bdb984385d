package platform

import (
	"fmt"
	"net/url"
	"strconv"
	"time"
)

// Outage is how the service is away.
type Outage string

// The kinds of outage.
const (
	OutageNone   Outage = ""
	OutageRefuse Outage = "refuse" // every call is answered "no leader"
	OutageReset  Outage = "reset"  // every connection is closed without an answer
	OutageHang   Outage = "hang"   // no call is answered; none takes effect
)

// Watch is how watches misbehave.
type Watch string

// The kinds of misbehaving watches.
const (
	WatchWhole  Watch = ""
	WatchPaused Watch = "paused" // open, but nothing arrives until the fault ends
	WatchOld    Watch = "old"    // an old value follows each new one
)

// Faults are the faults now switched on; the zero value is none. The names in
// brackets are the parameters of POST /fault.
type Faults struct {
	Outage        Outage        `json:"outage"`         // [outage]
	Delay         time.Duration `json:"delay"`          // [delay] before a call takes effect; a write does so even if its caller has left
	AnswerDelay   time.Duration `json:"answer_delay"`   // [answer_delay] after it took effect
	LoseApplied   int           `json:"lose_applied"`   // [lose_applied] this many writes take effect and get no answer
	LoseUnapplied int           `json:"lose_unapplied"` // [lose_unapplied] this many writes neither take effect nor get an answer
	Watch         Watch         `json:"watch"`          // [watch]
	OldReads      bool          `json:"old_reads"`      // [old_reads] reads come from the last snapshot
}

// set changes one fault by its parameter.
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
		f.Watch, err = oneOf(value, WatchWhole, WatchPaused, WatchOld)
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

// oneOf returns value as one of the allowed.
func oneOf[T ~string](value string, allowed ...T) (T, error) {
	for _, a := range allowed {
		if string(a) == value {
			return a, nil
		}
	}
	return "", fmt.Errorf("want one of %q", allowed)
}

// with returns the faults changed by form; clear=true starts from none.
func (f Faults) with(form url.Values) (Faults, error) {
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

// Faults returns the faults now switched on.
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

// fate is what happens to one write.
type fate struct {
	applied  bool
	answered bool
}

// fateOf uses up one lost answer if any is due.
func (s *Server) fateOf(write bool) fate {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !write {
		return fate{applied: true, answered: true}
	}
	if s.faults.LoseApplied > 0 {
		s.faults.LoseApplied--
		return fate{applied: true}
	}
	if s.faults.LoseUnapplied > 0 {
		s.faults.LoseUnapplied--
		return fate{}
	}
	return fate{applied: true, answered: true}
}
