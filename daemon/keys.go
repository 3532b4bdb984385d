package daemon

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"github.com/micarudder/micarudder/inner"
	"github.com/micarudder/micarudder/settings"
	"github.com/micarudder/micarudder/ticket"
)

// minSecretBytes is the minimum length of a ticket secret.
const minSecretBytes = 16

// TLS holds the settings for the certificate and key files of the inner protocol.
type TLS struct {
	Cert string `key:"cert" help:"certificate of this process, PEM; empty for clear text"`
	Key  string `key:"key" help:"its private key, PEM"`
	CA   string `key:"ca" help:"authority that all peers' certificates must come from, PEM"`
}

// Files returns the settings as inner.KeyFiles.
func (t TLS) Files() inner.KeyFiles { return inner.KeyFiles{Cert: t.Cert, Key: t.Key, CA: t.CA} }

// Check returns the errors in the settings.
func (t TLS) Check() []*settings.Mistake {
	if err := t.Files().Check(); err != nil {
		return []*settings.Mistake{{Section: "tls", Problem: err.Error()}}
	}
	return nil
}

// Tickets holds the settings for the keys that sign and verify tickets.
type Tickets struct {
	Keys []string `key:"keys" required:"true" help:"ticket keys as ID:HEX, ID from 0 to 255, HEX at least 32 digits; the first signs, all verify"`
}

// Signer returns a signer with the configured keys.
func (t Tickets) Signer() (*ticket.Signer, error) {
	keys, err := t.parseKeys()
	if err != nil {
		return nil, err
	}
	return ticket.NewSigner(keys...)
}

// Rotate replaces the signer's keys by the configured ones.
func (t Tickets) Rotate(s *ticket.Signer) error {
	keys, err := t.parseKeys()
	if err != nil {
		return err
	}
	return s.Rotate(keys...)
}

// ReloadKeys replaces the signer's keys by those of reloaded settings. It only
// checks the TLS files, which are read at each handshake.
func ReloadKeys(t TLS, k Tickets, s *ticket.Signer) error {
	if err := t.Files().CheckLoadable(); err != nil {
		return err
	}
	return k.Rotate(s)
}

func (t Tickets) parseKeys() ([]ticket.Key, error) {
	keys := make([]ticket.Key, 0, len(t.Keys))
	for _, text := range t.Keys {
		k, err := parseKey(text)
		if err != nil {
			return nil, err
		}
		keys = append(keys, k)
	}
	return keys, nil
}

// Check returns the errors in the settings. They do not contain secrets.
func (t Tickets) Check() []*settings.Mistake {
	if _, err := t.Signer(); err != nil {
		return []*settings.Mistake{{Section: "tickets", Key: "keys", Problem: err.Error()}}
	}
	return nil
}

func parseKey(text string) (ticket.Key, error) {
	id, secret, ok := strings.Cut(text, ":")
	if !ok {
		return ticket.Key{}, fmt.Errorf("a ticket key has the form ID:HEX")
	}
	n, err := strconv.ParseUint(id, 10, 8)
	if err != nil {
		return ticket.Key{}, fmt.Errorf("ticket key id %q is not a number from 0 to 255", id)
	}
	b, err := hex.DecodeString(secret)
	if err != nil || len(b) < minSecretBytes {
		return ticket.Key{}, fmt.Errorf("ticket key %d is not hexadecimal of at least %d digits", n, 2*minSecretBytes)
	}
	return ticket.Key{ID: byte(n), Secret: b}, nil
}
