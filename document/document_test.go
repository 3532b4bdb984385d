package document

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

// withHosts returns a document with n hosts.
func withHosts(n int, name func(i int) string) *rudderv1.Document {
	d := &rudderv1.Document{Generation: 3, PlanId: "p"}
	for i := range n {
		d.Hosts = append(d.Hosts, &rudderv1.Host{Name: name(i), DataCentre: "hall-mlynska"})
	}
	return d
}

// TestEncodeRoundTrip covers the uncompressed and the compressed form.
func TestEncodeRoundTrip(t *testing.T) {
	for _, n := range []int{0, 1, 10_000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			d := withHosts(n, func(i int) string { return fmt.Sprintf("host-%05d", i) })
			// A field written by a newer release must be preserved byte for byte.
			d.ProtoReflect().SetUnknown(protowire.AppendString(protowire.AppendTag(nil, 99, protowire.BytesType), "kept"))
			value, err := Encode(d)
			is.NoErr(err)
			is.Equal(bytes.HasPrefix(value, gzipMagic), proto.Size(d) > CompressionThreshold)
			again, err := Encode(d)
			is.NoErr(err)
			is.Equal(value, again)
			back, err := Decode(value)
			is.NoErr(err)
			is.True(proto.Equal(d, back))
		})
	}
}

func TestTooBig(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewSource(1))
	d := withHosts(60_000, func(int) string { return fmt.Sprintf("%016x%016x", r.Uint64(), r.Uint64()) })
	_, err := Encode(d)
	var coded *result.Err
	is.True(errors.As(err, &coded))
	is.Equal(coded.Code, result.DocumentTooBig)
}

func TestDecodeDamagedValue(t *testing.T) {
	is := is.New(t)
	intact, err := Encode(withHosts(10_000, func(i int) string { return fmt.Sprintf("host-%05d", i) }))
	is.NoErr(err)
	flipped := bytes.Clone(intact)
	flipped[len(flipped)/2] ^= 0xff
	for name, value := range map[string][]byte{
		"truncated": intact[:len(intact)/2], "magic only": gzipMagic, "byte flipped": flipped, "not a document": {0xff, 0xff},
		"decompression bomb": compress(make([]byte, maxDecompressed+1)),
	} {
		if _, err := Decode(value); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
