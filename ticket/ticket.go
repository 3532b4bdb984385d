// Package ticket signs and reads tickets: opaque names that lead any gateway
// back to one run at one agent incarnation. A ticket is the base64url form of
// a key id, the encoded rudder.v1.TicketClaims and an HMAC-SHA256 over both.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"github.com/micarudder/micarudder/rudderv1"
)

// ErrBad is returned for a ticket that is malformed or not signed by a known key.
var ErrBad = errors.New("ticket: malformed or not signed by a known key")

const (
	macLen = sha256.Size
	// MaxLen bounds the length of a ticket in its text form, in bytes.
	MaxLen = 1024
)

// Key is one signing key. ID is a single byte so that keys can be rotated:
// add the new key everywhere as a second one, make it the first, then drop
// the old one after the longest ticket lifetime.
type Key struct {
	ID     byte
	Secret []byte
}

// Signer makes and checks tickets. The first key signs; all keys verify. It is
// safe for concurrent use, Rotate included.
type Signer struct{ keys atomic.Pointer[[]Key] }

// NewSigner returns a signer; at least one key is needed.
func NewSigner(keys ...Key) (*Signer, error) {
	s := new(Signer)
	return s, s.Rotate(keys...)
}

// Rotate replaces the keys; at least one is needed.
func (s *Signer) Rotate(keys ...Key) error {
	if len(keys) == 0 {
		return errors.New("ticket: no keys")
	}
	s.keys.Store(&keys)
	return nil
}

// Sign returns the ticket for the claims.
func (s *Signer) Sign(c *rudderv1.TicketClaims) (string, error) {
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(c)
	if err != nil {
		return "", err
	}
	k := (*s.keys.Load())[0]
	raw := append([]byte{k.ID}, body...)
	return base64.RawURLEncoding.EncodeToString(append(raw, mac(k, raw)...)), nil
}

// Parse checks the ticket and returns its claims.
func (s *Signer) Parse(t string) (*rudderv1.TicketClaims, error) {
	if len(t) > MaxLen {
		return nil, ErrBad
	}
	raw, err := base64.RawURLEncoding.DecodeString(t)
	if err != nil || len(raw) <= macLen+1 {
		return nil, ErrBad
	}
	signed, sum := raw[:len(raw)-macLen], raw[len(raw)-macLen:]
	for _, k := range *s.keys.Load() {
		if k.ID != signed[0] || !hmac.Equal(sum, mac(k, signed)) {
			continue
		}
		c := new(rudderv1.TicketClaims)
		if proto.Unmarshal(signed[1:], c) != nil {
			return nil, ErrBad
		}
		return c, nil
	}
	return nil, ErrBad
}

func mac(k Key, b []byte) []byte {
	h := hmac.New(sha256.New, k.Secret)
	_, _ = h.Write(b)
	return h.Sum(nil)
}
