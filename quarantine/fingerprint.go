// Package quarantine decides which requests are not sent to endpoints any more, because
// endpoints crash when they run them. It is pure: events and times come in, decisions and
// what is to be told to other gateways come out.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
)

// Fingerprint identifies requests that are the same work for an endpoint, whichever caller's
// attempt they are. It is the beginning of a SHA-256, so that no caller can write a request
// that is taken for one of another workspace.
type Fingerprint uint64

// String returns the fingerprint as it stands in logs.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Request is what makes a request the same work as another one. Fields of the head do not
// count: a caller that asks again changes some of them.
type Request struct {
	Workspace string // empty: the route needs no key
	Method    string
	Host      string
	Target    string // path and query as the caller wrote them
	Body      []byte
}

// Identify returns the request's fingerprint.
func Identify(r Request) Fingerprint {
	h := sha256.New()
	for _, part := range []string{r.Workspace, r.Method, r.Host, r.Target} {
		write(h, []byte(part))
	}
	write(h, r.Body)
	return Fingerprint(binary.BigEndian.Uint64(h.Sum(nil)))
}

// write adds a part and its length, so that no two lists of parts read the same.
func write(h hash.Hash, part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	h.Write(length[:])
	h.Write(part)
}
