// Package quarantine decides which requests are no longer sent to endpoints because endpoints
// crash while running them. The package does no I/O and reads no clock: callers pass in events
// and times, and get back decisions and the reports to send to other gateways.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"github.com/gravitational/trace"
)

// Fingerprint identifies requests that are the same work for an endpoint, whichever caller sent
// them. Each part is the first 64 bits of a SHA-256, so that no caller can construct a request
// that is mistaken for one of another workspace.
type Fingerprint struct {
	Head uint64 // hash of everything except the content of the body
	Body uint64 // hash of the body
}

// String returns the fingerprint in the form used in logs and in the store.
func (f Fingerprint) String() string {
	return hex.EncodeToString(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, f.Head), f.Body))
}

// ParseFingerprint parses the result of String.
func ParseFingerprint(text string) (Fingerprint, error) {
	p, err := hex.DecodeString(text)
	if err != nil || len(p) != 16 {
		return Fingerprint{}, trace.BadParameter("%q is no fingerprint", text)
	}
	return Fingerprint{binary.BigEndian.Uint64(p), binary.BigEndian.Uint64(p[8:])}, nil
}

// Request holds the parts of a request that determine whether it is the same work as another.
// Header fields are not among them, as a caller that retries changes some of them.
type Request struct {
	Workspace string // empty if the route needs no key
	Method    string
	Host      string
	Target    string // path and query as sent by the caller
	Body      []byte
}

// Head returns the Head part of the request's fingerprint. It does not read the body, which may
// have megabytes: if no record has the same Head, the body need not be hashed.
func (r *Request) Head() uint64 {
	h := sha256.New()
	for _, part := range []string{r.Workspace, r.Method, r.Host, r.Target} {
		writeLength(h, len(part))
		h.Write([]byte(part)) // Write of a hash never fails
	}
	writeLength(h, len(r.Body))
	return binary.BigEndian.Uint64(h.Sum(nil))
}

// Fingerprint returns the request's complete fingerprint.
func (r *Request) Fingerprint() Fingerprint {
	sum := sha256.Sum256(r.Body)
	return Fingerprint{Head: r.Head(), Body: binary.BigEndian.Uint64(sum[:])}
}

// writeLength adds the length of the part that follows, so that no two lists of parts hash the
// same bytes.
func writeLength(h hash.Hash, n int) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(n))
	h.Write(length[:])
}
