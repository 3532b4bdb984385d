package lifecycle

import (
	"github.com/cespare/xxhash/v2"

	"github.com/micarudder/micarudder/result"
)

// Assembler joins the frames of one answer by attempt and offset. Frames of
// another attempt, and bytes it already has, are dropped; a gap or a wrong end
// is an error. The zero value expects attempt 0 at offset 0.
type Assembler struct {
	attempt uint32
	offset  uint64
	sum     xxhash.Digest
	started bool
}

// Begin sets the attempt whose frames are accepted from now on. The bytes
// already delivered stay: a later attempt continues after them.
func (a *Assembler) Begin(attempt uint32) {
	a.attempt = attempt
	if !a.started {
		a.sum.Reset()
		a.started = true
	}
}

// Restart forgets what was delivered: the answer begins again at offset 0.
func (a *Assembler) Restart(attempt uint32) {
	a.attempt = attempt
	a.offset = 0
	a.sum.Reset()
	a.started = true
}

// Offset returns the number of answer bytes delivered so far.
func (a *Assembler) Offset() uint64 { return a.offset }

// Data takes one data frame and returns the bytes that are new. It returns
// result.AnswerDamaged when bytes are missing before the frame.
func (a *Assembler) Data(attempt uint32, offset uint64, text []byte) ([]byte, error) {
	if attempt != a.attempt {
		return nil, nil
	}
	if offset > a.offset {
		return nil, result.New(result.AnswerDamaged, "gap in the answer")
	}
	have := a.offset - offset
	if have >= uint64(len(text)) {
		return nil, nil
	}
	fresh := text[have:]
	a.offset += uint64(len(fresh))
	_, _ = a.sum.Write(fresh)
	return fresh, nil
}

// End checks the answer's length and checksum. It reports false for the end
// of another attempt, which is to be dropped.
func (a *Assembler) End(attempt uint32, length, checksum uint64) (bool, error) {
	if attempt != a.attempt {
		return false, nil
	}
	if length != a.offset || checksum != a.sum.Sum64() {
		return true, result.New(result.AnswerDamaged, "length or checksum differs")
	}
	return true, nil
}
