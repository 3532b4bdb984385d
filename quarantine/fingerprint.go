// Package quarantine decides which requests are not sent to endpoints any more, because
// endpoints crash when they run them. It is pure: events and times come in, decisions and
// what is to be told to other gateways come out.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"github.com/gravitational/trace"
)

// Fingerprint identifies requests that are the same work for an endpoint, whichever caller's
// attempt they are. Both parts begin a SHA-256, so that no caller can write a request that is
// taken for one of another workspace.
type Fingerprint struct {
	Head uint64 // of all but the body's bytes
	Body uint64
}

// String returns the fingerprint as it stands in logs and in the store.
func (f Fingerprint) String() string {
	return hex.EncodeToString(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, f.Head), f.Body))
}

// ParseFingerprint reads what String wrote.
func ParseFingerprint(text string) (Fingerprint, error) {
	p, err := hex.DecodeString(text)
	if err != nil || len(p) != 16 {
		return Fingerprint{}, trace.BadParameter("%q is no fingerprint", text)
	}
	return Fingerprint{binary.BigEndian.Uint64(p), binary.BigEndian.Uint64(p[8:])}, nil
}

// Request is what makes a request the same work as another one. Fields of the head do not
// count: a caller that asks again changes some of them.
type Request struct {
	Workspace string // empty: the route needs no key
	Method    string
	Host      string
	Target    string // path and query as the caller wrote them
	Body      []byte
}

// Head returns the first part of the request's fingerprint. It is worked out without
// reading the body, which may have megabytes: a request whose head nobody knows needs no
// more.
func (r *Request) Head() uint64 {
	h := sha256.New()
	for _, part := range []string{r.Workspace, r.Method, r.Host, r.Target} {
		writeLength(h, len(part))
		h.Write([]byte(part)) // a hash takes all that it is given
	}
	writeLength(h, len(r.Body))
	return binary.BigEndian.Uint64(h.Sum(nil))
}

// Fingerprint returns the whole of it.
func (r *Request) Fingerprint() Fingerprint {
	sum := sha256.Sum256(r.Body)
	return Fingerprint{Head: r.Head(), Body: binary.BigEndian.Uint64(sum[:])}
}

// writeLength adds a part's length before it, so that no two lists of parts read the same.
func writeLength(h hash.Hash, n int) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(n))
	h.Write(length[:])
}
