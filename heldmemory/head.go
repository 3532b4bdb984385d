package heldmemory

import "net/http"

// fieldOverheadBytes is the most that a header field occupies besides its text: its entries in the maps of the
// head as it was received and as it is passed on, and in net/http's copy of the latter.
const fieldOverheadBytes = 320

// HeadBytes returns the most that a head of this size occupies once it is parsed.
func HeadBytes(size, lines int) int64 { return int64(size + lines*fieldOverheadBytes) }

// ParsedHeadBytes returns the most that the fields of a head occupy.
func ParsedHeadBytes(h http.Header) int64 {
	size, fields := 0, 0
	for name, values := range h {
		size += len(name)
		fields += len(values)
		for _, v := range values {
			size += len(v)
		}
	}
	return HeadBytes(size, fields)
}
