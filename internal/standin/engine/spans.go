package engine

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"

	"github.com/cespare/xxhash/v2"

	"github.com/micarudder/micarudder/prefix"
)

// heldSpan is a part of a prompt's cache that is kept independently of any run.
type heldSpan struct {
	id      string
	owner   string
	memory  uint64 // tokens of cache memory that it occupies
	span    spanInfo
	readers int // number of runs that read it
}

// spanInfo identifies a part of a prompt.
type spanInfo struct {
	Model  string `json:"model"`
	Start  uint64 `json:"start"`
	Tokens uint64 `json:"tokens"`
	Hash   uint64 `json:"hash,string"` // of the prompt's bytes in the span
}

// newSpanInfo describes n tokens of a prompt from start on.
func newSpanInfo(model, prompt string, start, n uint64) spanInfo {
	from := min(start*prefix.BytesPerToken, uint64(len(prompt)))
	to := min((start+n)*prefix.BytesPerToken, uint64(len(prompt)))
	return spanInfo{model, start, n, xxhash.Sum64String(prompt[from:to])}
}

// matchSpans checks that the spans cover the prompt from its start without a gap, and returns them
// with the number of tokens that they cover.
func (s *Server) matchSpans(ids []string, model, prompt string) ([]*heldSpan, uint64, *refusal) {
	var spans []*heldSpan
	var at uint64
	for _, id := range ids {
		h := s.held[id]
		if h == nil {
			return nil, 0, errNotFound
		}
		if h.span != newSpanInfo(model, prompt, at, h.span.Tokens) {
			return nil, 0, badRequest("span " + id + " is not the next piece of this prompt")
		}
		spans = append(spans, h)
		at += h.span.Tokens
	}
	return spans, at, nil
}

const (
	exportMagic       = "KVS1"
	exportChecksumLen = 8
)

var errBadExport = errors.New("damaged span")

// encodeSpan returns the exported form: magic, length of the description, description, as many zero
// bytes as the cache would have, checksum.
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

// decodeSpan parses the exported form.
func decodeSpan(data []byte) (spanInfo, error) {
	const head = len(exportMagic) + 4
	if len(data) < head+exportChecksumLen || string(data[:len(exportMagic)]) != exportMagic {
		return spanInfo{}, errBadExport
	}
	body, sum := data[:len(data)-exportChecksumLen], data[len(data)-exportChecksumLen:]
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
