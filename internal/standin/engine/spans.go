package engine

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"

	"github.com/cespare/xxhash/v2"

	"github.com/micarudder/micarudder/prefix"
)

// heldSpan is a piece of a prompt's cache that is kept outside any run.
type heldSpan struct {
	id     string
	owner  string
	memory uint64 // tokens of cache memory that it occupies
	span   spanInfo
	uses   int // runs that read it
}

// spanInfo says which piece of which prompt a span is.
type spanInfo struct {
	Model  string `json:"model"`
	Start  uint64 `json:"start"`
	Tokens uint64 `json:"tokens"`
	Hash   uint64 `json:"hash,string"` // of the prompt's bytes in the span
}

// spanOf describes n tokens of a prompt from start on.
func spanOf(model, prompt string, start, n uint64) spanInfo {
	from := min(start*prefix.BytesPerToken, uint64(len(prompt)))
	to := min((start+n)*prefix.BytesPerToken, uint64(len(prompt)))
	return spanInfo{model, start, n, xxhash.Sum64String(prompt[from:to])}
}

// covered checks that the handles cover the prompt from its start without a
// gap, and returns them and how many tokens they cover.
func (s *Server) covered(handles []string, model, prompt string) ([]*heldSpan, uint64, *refusal) {
	var spans []*heldSpan
	var at uint64
	for _, id := range handles {
		h := s.held[id]
		if h == nil {
			return nil, 0, errNoSuch
		}
		if h.span != spanOf(model, prompt, at, h.span.Tokens) {
			return nil, 0, badRequest("span " + id + " is not the next piece of this prompt")
		}
		spans = append(spans, h)
		at += h.span.Tokens
	}
	return spans, at, nil
}

const (
	exportMagic  = "KVS1"
	exportSumLen = 8
)

var errBadExport = errors.New("damaged span")

// encodeSpan returns the exported form: magic, length of the description, the
// description, as many bytes as the cache has, checksum.
func encodeSpan(in spanInfo, tokenBytes uint64) ([]byte, error) {
	info, err := json.Marshal(in)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	b.WriteString(exportMagic)
	_ = binary.Write(&b, binary.LittleEndian, uint32(len(info)))
	b.Write(info)
	b.Write(make([]byte, in.Tokens*tokenBytes))
	sum := xxhash.Sum64(b.Bytes())
	_ = binary.Write(&b, binary.LittleEndian, sum)
	return b.Bytes(), nil
}

// decodeSpan reads the exported form.
func decodeSpan(data []byte) (spanInfo, error) {
	const head = len(exportMagic) + 4
	if len(data) < head+exportSumLen || string(data[:len(exportMagic)]) != exportMagic {
		return spanInfo{}, errBadExport
	}
	body, sum := data[:len(data)-exportSumLen], data[len(data)-exportSumLen:]
	if xxhash.Sum64(body) != binary.LittleEndian.Uint64(sum) {
		return spanInfo{}, errBadExport
	}
	n := uint64(binary.LittleEndian.Uint32(body[len(exportMagic):]))
	if n > uint64(len(body)-head) {
		return spanInfo{}, errBadExport
	}
	var in spanInfo
	err := json.Unmarshal(body[head:uint64(head)+n], &in)
	return in, err
}
