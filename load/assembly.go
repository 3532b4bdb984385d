package load

import (
	"strconv"

	"github.com/micarudder/micarudder/internal/standin/answer"
)

// assembly joins the pieces of one answer by their offsets and compares them
// with the only answer that the request may get.
type assembly struct {
	key    answer.Key
	want   int // bytes of the whole answer
	verify bool

	text     []byte
	restarts int
	damage   string // first fault found; empty when none
}

func newAssembly(prompt string, tokens uint64, verify bool) *assembly {
	return &assembly{key: answer.KeyOf(prompt), want: int(tokens) * answer.TokenBytes, verify: verify}
}

// add appends a piece. id is the event's id, the offset after the piece; it is
// empty when the piece carries none.
func (a *assembly) add(text, id string) {
	if end, err := strconv.Atoi(id); id != "" && (err != nil || end-len(text) != len(a.text)) {
		a.fault("event " + id + " does not continue the answer at " + strconv.Itoa(len(a.text)))
	}
	a.text = append(a.text, text...)
}

// restart drops what came before an announced restart.
func (a *assembly) restart() {
	a.text = a.text[:0]
	a.restarts++
}

// finish judges the answer after its end was announced.
func (a *assembly) finish() Final {
	if a.verify && !a.key.Matches(a.text) {
		a.fault("the text is not the request's own")
	}
	if a.verify && len(a.text) != a.want {
		a.fault("the answer has " + strconv.Itoa(len(a.text)) + " bytes of " + strconv.Itoa(a.want))
	}
	if a.damage != "" {
		return Damaged
	}
	return Whole
}

// broken judges the answer when nothing more will come.
func (a *assembly) broken() Final {
	switch {
	case a.damage != "" || a.verify && !a.key.Matches(a.text):
		return Damaged
	case len(a.text) > 0:
		return CutOff
	default:
		return Lost
	}
}

func (a *assembly) fault(what string) {
	if a.damage == "" {
		a.damage = what
	}
}
