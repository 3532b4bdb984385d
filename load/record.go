package load

import (
	"time"

	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/routing"
)

// Final says how a request ended as its caller saw it.
type Final string

// The ends of a request.
const (
	Whole   Final = "whole"   // the complete answer arrived and is the request's own
	Damaged Final = "damaged" // an answer arrived that is not the request's own or has a gap
	CutOff  Final = "cut-off" // part of the answer arrived and neither its end nor an outcome
	Lost    Final = "lost"    // nothing arrived, neither answer nor outcome
	Refused Final = "refused" // told "not run"
	Unknown Final = "unknown" // told "may have run"
	Failed  Final = "failed"  // told "ran", without the whole answer
	Unsent  Final = "unsent"  // never sent: the generator or every gateway was out of reach
)

// Record is what a caller saw of one request. Times count from the start of
// the run.
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

	Due        time.Duration `json:"due_ns"`         // when it was to be sent
	Sent       time.Duration `json:"sent_ns"`        // when it was sent
	FirstToken time.Duration `json:"first_token_ns"` // 0: none
	End        time.Duration `json:"end_ns"`
	Deadline   time.Duration `json:"deadline_ns"` // allowed time after Due

	Final      Final         `json:"final"`
	Code       result.Code   `json:"code,omitempty"`
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
	Detail     string        `json:"detail,omitempty"`

	Presentations int `json:"presentations"` // times the request was sent
	Resubmits     int `json:"resubmits"`     // times the caller lost patience
	Anew          int `json:"anew"`          // of these, sent as a new request
	Reattached    int `json:"reattached"`
	Restarts      int `json:"restarts"` // announced restarts of the answer

	// Executions counts runs by the executors' own records; -1 when an
	// executor could not be asked.
	Executions int `json:"executions"`
}

// TimeToFirstToken returns the time from due to first token.
func (r Record) TimeToFirstToken() time.Duration { return r.FirstToken - r.Due }

// Took returns the time from due to end.
func (r Record) Took() time.Duration { return r.End - r.Due }

// InTime tells whether the request ended within its deadline.
func (r Record) InTime() bool { return r.Took() <= r.Deadline }
