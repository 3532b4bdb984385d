package lifecycle

import (
	"github.com/cespare/xxhash/v2"

	"github.com/micarudder/micarudder/result"
)

// Assembler joins the frames of one response in order of their offset. It drops
// frames of other attempts and duplicate bytes; a gap, or a length or checksum
// that does not match at the end, is an error. The zero value expects attempt 0
// at offset 0.
type Assembler struct {
	attempt  uint32
	offset   uint64
	checksum xxhash.Digest
	started  bool
}

// Begin sets the attempt whose frames are accepted from now on. The bytes
// already delivered are kept: a later attempt continues after them.
func (a *Assembler) Begin(attempt uint32) {
	a.attempt = attempt
	if !a.started {
		a.checksum.Reset()
		a.started = true
	}
}

// Restart sets the attempt and discards the delivered bytes: the response begins
// again at offset 0.
func (a *Assembler) Restart(attempt uint32) {
	a.attempt = attempt
	a.offset = 0
	a.checksum.Reset()
	a.started = true
}

// Offset returns the number of response bytes delivered so far.
func (a *Assembler) Offset() uint64 { return a.offset }

// Data accepts a data frame and returns its bytes that were not delivered
// before. It returns result.AnswerDamaged if there is a gap before the frame.
func (a *Assembler) Data(attempt uint32, offset uint64, text []byte) ([]byte, error) {
	if attempt != a.attempt {
		return nil, nil
	}
	if offset > a.offset {
		return nil, result.New(result.AnswerDamaged, "gap in the answer")
	}
	known := a.offset - offset
	if known >= uint64(len(text)) {
		return nil, nil
	}
	fresh := text[known:]
	a.offset += uint64(len(fresh))
	_, _ = a.checksum.Write(fresh)
	return fresh, nil
}

// End checks the length and checksum of the response. It returns false for the end
// frame of another attempt, which the caller must ignore.
func (a *Assembler) End(attempt uint32, length, checksum uint64) (bool, error) {
	if attempt != a.attempt {
		return false, nil
	}
	if length != a.offset || checksum != a.checksum.Sum64() {
		return true, result.New(result.AnswerDamaged, "length or checksum differs")
	}
	return true, nil
}
