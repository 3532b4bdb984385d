package lifecycle

import (
	"bytes"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestAssemblerDeliversPrefix checks that, for any sequence of late, duplicate
// and other attempts' frames, the delivered bytes are a prefix of the response and
// the end is accepted only when the response is complete.
func TestAssemblerDeliversPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		response := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "answer")
		var a Assembler
		a.Begin(1)
		var got []byte
		for range rapid.IntRange(0, 40).Draw(t, "frames") {
			from := rapid.IntRange(0, len(response)).Draw(t, "from")
			to := rapid.IntRange(from, len(response)).Draw(t, "to")
			attempt, text := uint32(1), response[from:to]
			if rapid.Bool().Draw(t, "other") {
				attempt, text = 2, bytes.Repeat([]byte{'x'}, to-from)
			}
			before := len(got)
			fresh, err := a.Data(attempt, uint64(from), text)
			got = append(got, fresh...)
			if gap := attempt == 1 && from > before; (err != nil) != gap {
				t.Fatalf("from %d after %d bytes: %v", from, before, err)
			}
			if !bytes.HasPrefix(response, got) || uint64(len(got)) != a.Offset() {
				t.Fatalf("delivered %q of %q", got, response)
			}
		}
		accepted, err := a.End(1, uint64(len(response)), xxhash.Sum64(response))
		if !accepted || (err == nil) != (len(got) == len(response)) {
			t.Fatalf("end after %d of %d bytes: %v %v", len(got), len(response), accepted, err)
		}
		if mine, _ := a.End(2, 0, 0); mine {
			t.Fatal("the end of another attempt was accepted")
		}
	})
}

// TestAssemblerDetectsCorruption checks that the checksum at the end detects a
// changed byte.
func TestAssemblerDetectsCorruption(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		response := rapid.SliceOfN(rapid.Byte(), 1, 100).Draw(t, "answer")
		bad := bytes.Clone(response)
		bad[rapid.IntRange(0, len(bad)-1).Draw(t, "at")] ^= 1
		var a Assembler
		a.Begin(1)
		if _, err := a.Data(1, 0, bad); err != nil {
			t.Fatal(err)
		}
		if _, err := a.End(1, uint64(len(response)), xxhash.Sum64(response)); err == nil {
			t.Fatal("a corrupted response was accepted")
		}
	})
}

// TestAssemblerContinues checks that a later attempt continues after the
// delivered text and that a restart begins at offset 0.
func TestAssemblerContinues(t *testing.T) {
	is := is.New(t)
	var a Assembler
	a.Begin(1)
	_, err := a.Data(1, 0, []byte("hour"))
	is.NoErr(err)
	a.Begin(2)
	fresh, err := a.Data(2, 4, []byte(" 12"))
	is.NoErr(err)
	is.Equal(string(fresh), " 12")
	_, err = a.End(2, 7, xxhash.Sum64String("hour 12"))
	is.NoErr(err)
	a.Restart(3)
	is.Equal(a.Offset(), uint64(0))
	_, err = a.Data(3, 0, []byte("other"))
	is.NoErr(err)
	_, err = a.End(3, 5, xxhash.Sum64String("other"))
	is.NoErr(err)
}
