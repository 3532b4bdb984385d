package peers

import (
	"bytes"
	"reflect"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"
)

// A Message is encoded as an array of its fields, which halves its size, so the number
// and order of the fields are the format. The msgpack library decodes only arrays with
// exactly the number of fields of the struct; with it, processes of two releases that
// ran side by side could not read each other's datagrams. Therefore decode leaves the
// last fields unset if the array is shorter and ignores the rest of a longer one, and
// encode omits empty fields at the end, so that the previous release can read the
// datagram.

// minFields is the number of fields that every release sends.
const minFields = 17

// sentFieldIndexes are the indexes of the fields of Message that are sent.
var sentFieldIndexes = fieldsToSend()

func fieldsToSend() []int {
	var out []int
	t := reflect.TypeFor[Message]()
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("msgpack") != "-" {
			out = append(out, i)
		}
	}
	return out
}

// encode returns the datagram for msg.
func encode(msg *Message) ([]byte, error) {
	msg.splitAddresses()
	v := reflect.ValueOf(msg).Elem()
	n := len(sentFieldIndexes)
	for n > minFields && v.Field(sentFieldIndexes[n-1]).IsZero() {
		n--
	}
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.UseArrayEncodedStructs(true)
	// Numbers take 1 to 9 bytes instead of always 9; decoders of all releases read both forms.
	e.UseCompactInts(true)
	e.UseCompactFloats(true)
	if err := e.EncodeArrayLen(n); err != nil {
		return nil, trace.Wrap(err)
	}
	for _, i := range sentFieldIndexes[:n] {
		if err := e.EncodeValue(v.Field(i)); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return b.Bytes(), nil
}

// decode parses a datagram.
func decode(p []byte) (Message, error) {
	var msg Message
	v := reflect.ValueOf(&msg).Elem()
	d := msgpack.NewDecoder(bytes.NewReader(p))
	n, err := d.DecodeArrayLen()
	if err != nil {
		return msg, trace.Wrap(err)
	}
	for _, i := range sentFieldIndexes[:max(0, min(n, len(sentFieldIndexes)))] {
		if err := d.DecodeValue(v.Field(i)); err != nil {
			return msg, trace.Wrap(err)
		}
	}
	msg.joinAddresses()
	return msg, nil
}
