package gateway

import (
	"bytes"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/micarudder/micarudder/rudderv1"
)

const (
	oldKey = "1:000102030405060708090a0b0c0d0e0f"
	newKey = "2:0f0e0d0c0b0a09080706050403020100"
)

func settingsWithKeys(keys ...string) *Settings {
	s := new(Settings)
	s.Tickets.Keys = keys
	return s
}

func TestReload(t *testing.T) {
	cases := []struct {
		name   string
		fresh  any
		change func(*Settings)
		signs  byte // ID of the key that signs afterwards
		fails  bool
		warns  bool
	}{
		{"the same", settingsWithKeys(oldKey), nil, 1, false, false},
		{"a second key", settingsWithKeys(oldKey, newKey), nil, 1, false, false},
		{"a new first key", settingsWithKeys(newKey, oldKey), nil, 2, false, false},
		{"another setting", settingsWithKeys(newKey), func(s *Settings) { s.Gateway.Name = "other" }, 2, false, true},
		{"missing TLS files", settingsWithKeys(newKey), func(s *Settings) { s.TLS.Cert, s.TLS.Key, s.TLS.CA = "x", "y", "z" }, 1, true, false},
		{"malformed key", settingsWithKeys("3:xyz"), nil, 1, true, false},
		{"settings of another type", 7, nil, 1, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			old := settingsWithKeys(oldKey)
			signer, err := old.Tickets.Signer()
			is.NoErr(err)
			var text bytes.Buffer
			p := &Process{g: &Gateway{deps: Deps{Signer: signer, Log: log.New(&text)}}, settings: old}
			if c.change != nil {
				c.change(c.fresh.(*Settings))
			}
			is.Equal(p.Reload(c.fresh) != nil, c.fails)
			is.Equal(strings.Contains(text.String(), "next start"), c.warns)
			signed, err := signer.Sign(&rudderv1.TicketClaims{RequestId: "r"})
			is.NoErr(err)
			is.Equal(keyID(t, signed), c.signs)
		})
	}
}

// keyID returns the ID of the key that signed a ticket.
func keyID(t *testing.T, signed string) byte {
	for id, key := range map[byte]string{1: oldKey, 2: newKey} {
		s, err := settingsWithKeys(key).Tickets.Signer()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.Parse(signed); err == nil {
			return id
		}
	}
	return 0
}
