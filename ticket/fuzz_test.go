package ticket

import (
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/micarudder/micarudder/rudderv1"
)

// FuzzParse checks that Parse accepts only a signed ticket and panics on no input.
func FuzzParse(f *testing.F) {
	s, err := NewSigner(Key{ID: 1, Secret: []byte("0123456789abcdef")})
	if err != nil {
		f.Fatal(err)
	}
	claims := &rudderv1.TicketClaims{RequestId: "r", Workspace: "bid-desk", Incarnation: "i", ExpiresAgentMs: 5}
	good, err := s.Sign(claims)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add(good[:len(good)-1])
	f.Add("")
	f.Add(strings.Repeat("A", MaxLen+1))
	f.Fuzz(func(t *testing.T, text string) {
		c, err := s.Parse(text)
		if err == nil && !proto.Equal(c, claims) {
			t.Fatalf("%q was accepted as a ticket with the claims %v", text, c)
		}
	})
}
