// Package ticket signs and verifies tickets: opaque tokens by which any gateway can
// find a run of one agent incarnation again. A ticket is the unpadded base64url
// encoding of a key id, the encoded rudder.v1.TicketClaims and an HMAC-SHA256 over both.
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

// ErrInvalid is returned by Parse for a ticket that is malformed or not signed by a
// known key.
var ErrInvalid = errors.New("ticket: malformed or not signed by a known key")

const (
	macLen = sha256.Size
	// MaxLen is the maximum length of an encoded ticket, in bytes.
	MaxLen = 1024
)

// Key is a signing key. ID is a single byte that is part of each ticket, so that keys
// can be rotated: add the new key as the second one in all processes, then make it the
// first, and remove the old one after the longest ticket lifetime.
type Key struct {
	ID     byte
	Secret []byte
}

// Signer signs and verifies tickets. It signs with the first key and verifies with
// all of them. Its methods, including Rotate, are safe for concurrent use.
type Signer struct{ keys atomic.Pointer[[]Key] }

// NewSigner returns a signer with the given keys. It fails if there are none.
func NewSigner(keys ...Key) (*Signer, error) {
	s := new(Signer)
	return s, s.Rotate(keys...)
}

// Rotate replaces the keys. It fails if there are none.
func (s *Signer) Rotate(keys ...Key) error {
	if len(keys) == 0 {
		return errors.New("ticket: at least one key is required")
	}
	s.keys.Store(&keys)
	return nil
}

// Sign returns a ticket with the claims, signed with the first key.
func (s *Signer) Sign(c *rudderv1.TicketClaims) (string, error) {
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(c)
	if err != nil {
		return "", err
	}
	k := (*s.keys.Load())[0]
	raw := append([]byte{k.ID}, body...)
	return base64.RawURLEncoding.EncodeToString(append(raw, mac(k, raw)...)), nil
}

// Parse verifies the ticket and returns its claims.
func (s *Signer) Parse(t string) (*rudderv1.TicketClaims, error) {
	if len(t) > MaxLen {
		return nil, ErrInvalid
	}
	raw, err := base64.RawURLEncoding.DecodeString(t)
	if err != nil || len(raw) <= macLen+1 {
		return nil, ErrInvalid
	}
	signed, sum := raw[:len(raw)-macLen], raw[len(raw)-macLen:]
	for _, k := range *s.keys.Load() {
		if k.ID != signed[0] || !hmac.Equal(sum, mac(k, signed)) {
			continue
		}
		c := new(rudderv1.TicketClaims)
		if proto.Unmarshal(signed[1:], c) != nil {
			return nil, ErrInvalid
		}
		return c, nil
	}
	return nil, ErrInvalid
}

func mac(k Key, b []byte) []byte {
	h := hmac.New(sha256.New, k.Secret)
	_, _ = h.Write(b)
	return h.Sum(nil)
}
