package peers

import (
	"bytes"
	"reflect"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"
)

// A word is written as an array of its fields, which halves its size, so their number and
// order is the format. The library takes arrays of just the number of fields that it knows;
// processes of two releases that run side by side heard nothing of each other. Here a shorter
// array leaves the last fields as they are, the rest of a longer one is skipped, and fields
// that are new are left off while they are empty, so that the release before can read the word.

// firstFields is the number of fields that every release has.
const firstFields = 17

// wordFields are the indexes of the fields that are sent.
var wordFields = sentFields()

func sentFields() []int {
	var out []int
	t := reflect.TypeFor[Word]()
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("msgpack") != "-" {
			out = append(out, i)
		}
	}
	return out
}

// encode writes one datagram.
func encode(w *Word) ([]byte, error) {
	v := reflect.ValueOf(w).Elem()
	n := len(wordFields)
	for n > firstFields && v.Field(wordFields[n-1]).IsZero() {
		n--
	}
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.UseArrayEncodedStructs(true)
	if err := e.EncodeArrayLen(n); err != nil {
		return nil, trace.Wrap(err)
	}
	for _, i := range wordFields[:n] {
		if err := e.EncodeValue(v.Field(i)); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return b.Bytes(), nil
}

// decode reads one datagram.
func decode(p []byte) (Word, error) {
	var w Word
	v := reflect.ValueOf(&w).Elem()
	d := msgpack.NewDecoder(bytes.NewReader(p))
	n, err := d.DecodeArrayLen()
	if err != nil {
		return w, trace.Wrap(err)
	}
	for _, i := range wordFields[:max(0, min(n, len(wordFields)))] {
		if err := d.DecodeValue(v.Field(i)); err != nil {
			return w, trace.Wrap(err)
		}
	}
	return w, nil
}
