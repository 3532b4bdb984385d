// Package document encodes a rudder.v1.Document as the value of
// metastore.KeyDocument and decodes it again. Encodings longer than
// CompressionThreshold are compressed with gzip. Decode tells the two forms apart by
// the first two bytes: no encoded Document begins with the gzip magic number.
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
	// CompressionThreshold is the longest encoding that is stored uncompressed, in bytes.
	CompressionThreshold = 4 << 10
	// maxDecompressed limits the size to which a damaged value can decompress, in bytes.
	maxDecompressed = 64 << 20
)

// gzipMagic is the gzip magic number. In a Document it would be field 3 with the undefined
// wire type 7.
var gzipMagic = []byte{0x1f, 0x8b}

// Encode returns the stored form of d. It is deterministic: the same document gives
// the same bytes. It fails with result.DocumentTooBig when the encoding is longer
// than metastore.MaxValue.
func Encode(d *rudderv1.Document) ([]byte, error) {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(d)
	if err != nil {
		return nil, err
	}
	if len(raw) > CompressionThreshold {
		raw = compress(raw)
	}
	if len(raw) > metastore.MaxValue {
		return nil, result.New(result.DocumentTooBig, fmt.Sprintf("%d bytes, the limit is %d", len(raw), metastore.MaxValue))
	}
	return raw, nil
}

// compress returns raw compressed with gzip.
func compress(raw []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(raw) // writing to a bytes.Buffer never fails
	_ = w.Close()
	return b.Bytes()
}

// Decode decodes a stored value. Fields unknown to this release are preserved.
func Decode(value []byte) (*rudderv1.Document, error) {
	if bytes.HasPrefix(value, gzipMagic) {
		var err error
		if value, err = decompress(value); err != nil {
			return nil, fmt.Errorf("document: %w", err)
		}
	}
	d := new(rudderv1.Document)
	if err := proto.Unmarshal(value, d); err != nil {
		return nil, fmt.Errorf("document: %w", err)
	}
	return d, nil
}

// decompress returns the contents of a gzip value of at most maxDecompressed bytes.
func decompress(value []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, err
	}
	raw, err := io.ReadAll(io.LimitReader(r, maxDecompressed+1))
	if err == nil && len(raw) > maxDecompressed {
		err = fmt.Errorf("decompresses to more than %d bytes", maxDecompressed)
	}
	return raw, err
}
