package answer_test

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/micarudder/micarudder/internal/standin/answer"
)

func TestParse(t *testing.T) {
	cases := []struct {
		name, body string
		want       answer.Body
		err        error
	}{
		{"text", `{"model":"m","prompt":"p\n\u00e9","max_tokens":3}`, answer.Body{Model: "m", Prompt: "p\né", MaxTokens: 3}, nil},
		{"chat", `{"messages":[{"role":"system","content":"a"},{"content":"b"}],"stream":true}`, answer.Body{Prompt: "ab", Stream: true, MaxTokens: 16}, nil},
		{"content parts", `{"messages":[{"content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}]}`, answer.Body{Prompt: "ab", MaxTokens: 16}, nil},
		{"newer field name", `{"prompt":"","max_completion_tokens":5}`, answer.Body{MaxTokens: 5}, nil},
		{"wrong types", `{"model":1,"prompt":[],"max_tokens":"x","messages":7}`, answer.Body{MaxTokens: 16}, nil},
		{"truncated", `{"prompt":"p`, answer.Body{}, answer.ErrBadBody},
		{"array", `[]`, answer.Body{}, answer.ErrBadBody},
		{"empty", ``, answer.Body{}, answer.ErrBadBody},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got, err := answer.Parse([]byte(c.body))
			is.Equal(err, c.err)
			is.Equal(got, c.want)
		})
	}
}

// enoughTokens is a length that carries 75 bits, so that two answers are not equal by chance.
const enoughTokens = 5

// TestPromptOfAnyText: any prompt survives the encoding, and every prefix of an answer is
// recognised as one.
func TestPromptOfAnyText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prompt := rapid.String().Draw(t, "prompt")
		body, _ := json.Marshal(map[string]any{"prompt": prompt})
		if got := string(answer.PromptOf(body)); got != prompt {
			t.Fatalf("%q became %q", prompt, got)
		}
		n := rapid.IntRange(0, 20).Draw(t, "tokens")
		text := answer.Text([]byte(prompt), n)
		cut := rapid.IntRange(0, len(text)).Draw(t, "cut")
		if len(text) != n*answer.TokenBytes || !answer.KeyOf(prompt).Matches(text[:cut]) {
			t.Fatalf("%q is not the beginning of %q", text[:cut], text)
		}
		if n >= enoughTokens && answer.KeyOf(prompt+"x").Matches(text) {
			t.Fatal("another prompt has the same answer")
		}
	})
}

func TestTagOf(t *testing.T) {
	is := is.New(t)
	filler := string(make([]byte, 4000))
	is.Equal(answer.TagOf(answer.Tag("a")+filler), "a")
	is.Equal(answer.TagOf(filler+answer.Tag("b")), "b")
	is.Equal(answer.TagOf(filler+answer.Tag("c")+filler), "")
	is.Equal(answer.TagOf("[tag:open"), "")
}
