// Package quarantine decides which requests are no longer sent to endpoints because endpoints
// crash while running them. What crashes are counted against are single requests and the parts that
// several prompts have in common. The package does no I/O and reads no clock: callers pass in events
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
// them, or a part that prompts of a workspace have in common. Both fields are the first bits of a
// SHA-256, so that no caller can construct a request that is mistaken for one of another workspace.
type Fingerprint struct {
	Head uint64 // of a request: hash of everything except the content of the body; of a part: partTag and a hash of the workspace
	Body uint64 // hash of the body; of a part: of the model and the part's id
}

// partTag is the first 16 bits of the Head of each part, and of no request.
const (
	partTag      = 0x7061
	partTagShift = 48
)

// IsPart reports whether the fingerprint is that of a part of prompts.
func (f Fingerprint) IsPart() bool { return f.Head>>partTagShift == partTag }

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
	head := binary.BigEndian.Uint64(h.Sum(nil))
	if head>>partTagShift == partTag {
		head = ^head
	}
	return head
}

// Fingerprint returns the request's complete fingerprint.
func (r *Request) Fingerprint() Fingerprint {
	sum := sha256.Sum256(r.Body)
	return Fingerprint{Head: r.Head(), Body: binary.BigEndian.Uint64(sum[:])}
}

// Part is a part that prompts of a workspace for one model have in common. The model is included since
// another one may bear the part.
type Part struct {
	Workspace string // empty if the route needs no key
	Model     string
	ID        string
}

// Fingerprint returns the part's fingerprint. The Body is the same for all workspaces.
func (p Part) Fingerprint() Fingerprint {
	workspace := sha256.Sum256([]byte(p.Workspace))
	h := sha256.New()
	writeLength(h, len(p.Model))
	h.Write([]byte(p.Model)) // Write of a hash never fails
	h.Write([]byte(p.ID))
	return Fingerprint{
		Head: partTag<<partTagShift | binary.BigEndian.Uint64(workspace[:])>>(64-partTagShift),
		Body: binary.BigEndian.Uint64(h.Sum(nil)),
	}
}

// Subjects are what a crash under a request counts against: the request, and the parts of its prompt that
// others may have in common. The fingerprints are computed on demand, as a prompt may have megabytes.
// Subjects are not safe for concurrent use.
type Subjects struct {
	Request     Request
	Model       string
	SharedParts []string // ids

	fingerprint *Fingerprint
	parts       []Fingerprint
}

// Fingerprint returns the fingerprint of the request.
func (s *Subjects) Fingerprint() Fingerprint {
	if s.fingerprint == nil {
		f := s.Request.Fingerprint()
		s.fingerprint = &f
	}
	return *s.fingerprint
}

// KnownFingerprint returns the fingerprint of the request in the form used in logs, or an empty string if
// it was not computed.
func (s *Subjects) KnownFingerprint() string {
	if s.fingerprint == nil {
		return ""
	}
	return s.fingerprint.String()
}

// Parts returns the fingerprints of the parts, in their order.
func (s *Subjects) Parts() []Fingerprint {
	if s.parts == nil {
		for _, id := range s.SharedParts {
			s.parts = append(s.parts, Part{s.Request.Workspace, s.Model, id}.Fingerprint())
		}
	}
	return s.parts
}

// All returns all fingerprints, that of the request first.
func (s *Subjects) All() []Fingerprint { return append([]Fingerprint{s.Fingerprint()}, s.Parts()...) }

// writeLength adds the length of the part that follows, so that no two lists of parts hash the
// same bytes.
func writeLength(h hash.Hash, n int) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(n))
	h.Write(length[:])
}
