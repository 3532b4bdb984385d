// Package document encodes a rudder.v1.Document as the value of
// metastore.KeyDocument and decodes it again. Values over PlainLimit are
// compressed with gzip; both forms are told apart by their first bytes, which
// no encoded Document can share.
package document

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"github.com/micarudder/micarudder/metastore"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

const (
	// PlainLimit is the longest encoding that is stored uncompressed, in bytes.
	PlainLimit = 4 << 10
	// maxDecoded bounds what a damaged value can expand to, in bytes.
	maxDecoded = 64 << 20
)

// gzipMagic would be field 3 with the undefined wire type 7 in a Document.
var gzipMagic = []byte{0x1f, 0x8b}

// Encode returns the stored form of d; the same document gives the same bytes.
// It fails with result.DocumentTooBig when the platform could not hold it.
func Encode(d *rudderv1.Document) ([]byte, error) {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(d)
	if err != nil {
		return nil, err
	}
	if len(raw) > PlainLimit {
		raw = compress(raw)
	}
	if len(raw) > metastore.MaxValue {
		return nil, result.New(result.DocumentTooBig, fmt.Sprintf("%d bytes, the limit is %d", len(raw), metastore.MaxValue))
	}
	return raw, nil
}

func compress(raw []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(raw) // a bytes.Buffer takes every write
	_ = w.Close()
	return b.Bytes()
}

// Decode reads a stored value. Fields unknown to this release are kept.
func Decode(value []byte) (*rudderv1.Document, error) {
	if bytes.HasPrefix(value, gzipMagic) {
		var err error
		if value, err = expand(value); err != nil {
			return nil, fmt.Errorf("document: %w", err)
		}
	}
	d := new(rudderv1.Document)
	if err := proto.Unmarshal(value, d); err != nil {
		return nil, fmt.Errorf("document: %w", err)
	}
	return d, nil
}

func expand(value []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, err
	}
	raw, err := io.ReadAll(io.LimitReader(r, maxDecoded+1))
	if err == nil && len(raw) > maxDecoded {
		err = fmt.Errorf("expands to more than %d bytes", maxDecoded)
	}
	return raw, err
}
