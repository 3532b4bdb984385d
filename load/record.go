package load

import (
	"time"

	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/routing"
)

// Final is the final state of a request as observed by its caller.
type Final string

// Final states of a request.
const (
	Whole   Final = "whole"   // the complete and correct answer arrived
	Damaged Final = "damaged" // an answer arrived that belongs to another request or has a gap
	CutOff  Final = "cut-off" // part of the answer arrived, but neither its end nor an outcome
	Lost    Final = "lost"    // nothing arrived, neither answer nor outcome
	Refused Final = "refused" // reported as "not run"
	Unknown Final = "unknown" // reported as "may have run", or an error without an outcome
	Failed  Final = "failed"  // reported as "ran", without the complete answer
	Unsent  Final = "unsent"  // never sent: held back by the generator or no gateway could be reached
)

// Record holds a caller's observations of one request. Times are relative to
// the start of the load run.
type Record struct {
	ID         string        `json:"id"`
	Tag        string        `json:"tag"`
	Flow       string        `json:"flow"`
	Workspace  string        `json:"workspace"`
	Class      routing.Class `json:"class"`
	Prompt     uint64        `json:"prompt_tokens"`
	Answer     uint64        `json:"answer_tokens"`
	Repeatable bool          `json:"repeatable"`
	Measured   bool          `json:"measured"` // false during the warm-up

	Due        time.Duration `json:"due_ns"`         // scheduled send time
	Sent       time.Duration `json:"sent_ns"`        // actual send time
	FirstToken time.Duration `json:"first_token_ns"` // 0: none
	End        time.Duration `json:"end_ns"`
	Deadline   time.Duration `json:"deadline_ns"` // allowed time after Due

	Final      Final         `json:"final"`
	Code       result.Code   `json:"code,omitempty"`
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
	Detail     string        `json:"detail,omitempty"`

	Presentations int `json:"presentations"` // times the request was sent
	Resubmits     int `json:"resubmits"`     // resubmissions after the patience timer fired
	Anew          int `json:"anew"`          // those of Resubmits that were sent as a new request
	Reattached    int `json:"reattached"`
	Restarts      int `json:"restarts"` // announced restarts of the answer

	// Executions is the number of runs in the executors' records, or -1 when the
	// records of an executor are missing.
	Executions int `json:"executions"`
}

// TimeToFirstToken returns the time from Due to FirstToken.
func (r Record) TimeToFirstToken() time.Duration { return r.FirstToken - r.Due }

// Took returns the time from Due to End.
func (r Record) Took() time.Duration { return r.End - r.Due }

// InTime reports whether the request ended within its deadline.
func (r Record) InTime() bool { return r.Took() <= r.Deadline }
