package gateway

import (
	"net/http"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/micarudder/micarudder/result"
)

// FuzzCompletion checks that every body is either read or refused as a bad
// request.
func FuzzCompletion(f *testing.F) {
	for _, body := range []string{
		`{"model":"m","messages":[{"role":"user","content":"x"}],"stream":true}`,
		`{"model":"m","prompt":["a","b"],"max_tokens":5}`,
		`{"model":"m","messages":[{"content":[{"type":"text","text":"x"},1]}]}`,
		`{"model":"m","prompt":null}`, `{"max_tokens":-1}`, `[]`, `{`, "",
	} {
		f.Add([]byte(body))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		c, err := readCompletion(body)
		if err != nil {
			if err.Code != result.BadRequest {
				t.Fatalf("%q: %v", body, err)
			}
			return
		}
		if c.Model == "" || len(c.text()) > 4*len(body)+4 {
			t.Fatalf("%q: %+v", body, c)
		}
	})
}

// FuzzHeaders checks that every header value is either read or refused as a bad
// header.
func FuzzHeaders(f *testing.F) {
	f.Add("30s", "true", "160")
	f.Add("-1s", "maybe", "-1")
	f.Add("99999999h", "FALSE", "18446744073709551615")
	g := &Gateway{cfg: Config{DefaultDeadline: time.Minute, MaxDeadline: time.Hour}}
	f.Fuzz(func(t *testing.T, deadline, repeatable, last string) {
		now := time.Unix(0, 0)
		r := &http.Request{Header: http.Header{
			headerDeadline: {deadline}, headerRepeatable: {repeatable}, "Last-Event-Id": {last},
		}}
		at, err := g.readDeadline(r, now)
		if err == nil && (!at.After(now) || at.After(now.Add(time.Hour))) || err != nil && err.Code != result.BadHeader {
			t.Fatalf("%q: %v %v", deadline, at, err)
		}
		if _, err := readRepeatable(r, true); err != nil && err.Code != result.BadHeader {
			t.Fatalf("%q: %v", repeatable, err)
		}
		if _, err := readOffset(r); err != nil && err.Code != result.BadHeader {
			t.Fatalf("%q: %v", last, err)
		}
	})
}

// FuzzSplitText checks that text is split only between characters and that no
// byte is lost.
func FuzzSplitText(f *testing.F) {
	f.Add([]byte("cena za 12. hodinu: 95 €"))
	f.Add([]byte("\xe2\x82"))
	f.Add([]byte{0xff, 0xf0})
	f.Fuzz(func(t *testing.T, text []byte) {
		complete, rest := splitText(text)
		if string(complete)+string(rest) != string(text) || len(rest) >= utf8.UTFMax {
			t.Fatalf("%q: %q and %q", text, complete, rest)
		}
		if utf8.Valid(text) && (len(rest) > 0 || !utf8.Valid(complete)) {
			t.Fatalf("%q was cut", text)
		}
	})
}
