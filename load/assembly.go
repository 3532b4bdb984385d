package load

import (
	"strconv"

	"github.com/micarudder/micarudder/internal/standin/answer"
)

// assembly reassembles one answer from its chunks by their byte offsets and
// compares the text with the only answer that is correct for the request.
type assembly struct {
	key       answer.Key
	wantBytes int // size of the complete answer, bytes
	verify    bool

	text     []byte
	restarts int
	damage   string // first error found in the answer; empty if none
}

func newAssembly(prompt string, tokens uint64, verify bool) *assembly {
	return &assembly{key: answer.KeyOf(prompt), wantBytes: int(tokens) * answer.TokenBytes, verify: verify}
}

// add appends a chunk. id is the event id, the byte offset after the chunk; it
// is empty if the event has none.
func (a *assembly) add(text, id string) {
	if end, err := strconv.Atoi(id); id != "" && (err != nil || end-len(text) != len(a.text)) {
		a.markDamaged("event " + id + " does not continue the answer at offset " + strconv.Itoa(len(a.text)))
	}
	a.text = append(a.text, text...)
}

// restart discards the text received before an announced restart.
func (a *assembly) restart() {
	a.text = a.text[:0]
	a.restarts++
}

// finish returns the final state of an answer whose end was announced.
func (a *assembly) finish() Final {
	if a.verify && !a.key.Matches(a.text) {
		a.markDamaged("the answer text does not match the request")
	}
	if a.verify && len(a.text) != a.wantBytes {
		a.markDamaged("answer truncated or too long: got " + strconv.Itoa(len(a.text)) + " bytes, want " + strconv.Itoa(a.wantBytes))
	}
	if a.damage != "" {
		return Damaged
	}
	return Whole
}

// incomplete returns the final state of an answer that broke off before its end
// was announced.
func (a *assembly) incomplete() Final {
	switch {
	case a.damage != "" || a.verify && !a.key.Matches(a.text):
		return Damaged
	case len(a.text) > 0:
		return CutOff
	default:
		return Lost
	}
}

func (a *assembly) markDamaged(what string) {
	if a.damage == "" {
		a.damage = what
	}
}
