// Package answer defines what the stand-in engine answers to a prompt: a
// deterministic text, so that a caller can check that an answer is its own
// and whole without asking anyone.
package answer

import (
	"errors"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"
)

const (
	// TokenBytes is the length of every token of an answer.
	TokenBytes = 4
	// DefaultTokens is the length of an answer when the body names none.
	DefaultTokens = 16
	// letters has 32 entries, so that five bits choose one.
	letters = "abcdefghijklmnopqrstuvwxyz234567"
)

// Body is what matters of a completion request.
type Body struct {
	Model     string
	Prompt    string
	MaxTokens int
	Stream    bool
}

// ErrBadBody: the body is no JSON object.
var ErrBadBody = errors.New("answer: the body is no JSON object")

// Parse reads a body of either completion path. It is made for prompts of
// megabytes, which encoding/json would go over four times.
func Parse(body []byte) (Body, error) {
	doc := gjson.ParseBytes(body)
	if !gjson.ValidBytes(body) || !doc.IsObject() {
		return Body{}, ErrBadBody
	}
	b := Body{MaxTokens: DefaultTokens}
	doc.ForEach(func(key, value gjson.Result) bool {
		b.set(key.Str, value)
		return true
	})
	return b, nil
}

func (b *Body) set(key string, v gjson.Result) {
	switch key {
	case "model":
		b.Model = v.Str
	case "prompt":
		b.Prompt = v.Str
	case "messages":
		b.Prompt = join(v)
	case "stream":
		b.Stream = v.Bool()
	case "max_tokens", "max_completion_tokens":
		if n := v.Int(); n > 0 {
			b.MaxTokens = int(n)
		}
	}
}

// join returns the contents of messages one after the other.
func join(messages gjson.Result) string {
	all := messages.Array()
	if len(all) == 1 {
		return contentOf(all[0])
	}
	var sb strings.Builder
	for _, m := range all {
		sb.WriteString(contentOf(m))
	}
	return sb.String()
}

// contentOf returns the text of a message, which may be given in parts.
func contentOf(message gjson.Result) string {
	content := message.Get("content")
	if !content.IsArray() {
		return content.Str
	}
	var sb strings.Builder
	for _, part := range content.Array() {
		sb.WriteString(part.Get("text").Str)
	}
	return sb.String()
}

// PromptOf returns the prompt text of a body: the prompt of a plain
// completion, or the contents of a chat's messages one after the other. An
// unreadable body has an empty prompt.
func PromptOf(body []byte) []byte {
	b, err := Parse(body)
	if err != nil {
		return nil
	}
	return []byte(b.Prompt)
}

// Key is the hash of a prompt from which its answer follows.
type Key uint64

// KeyOf returns the key of a prompt.
func KeyOf(prompt string) Key { return Key(xxhash.Sum64String(prompt)) }

// String returns the key in hexadecimal.
func (k Key) String() string { return strconv.FormatUint(uint64(k), 16) }

// Text returns the first n tokens of the answer to a prompt.
func Text(prompt []byte, n int) []byte {
	return Key(xxhash.Sum64(prompt)).Append(make([]byte, 0, n*TokenBytes), 0, n)
}

// Append appends the tokens from up to, not including, to.
func (k Key) Append(dst []byte, from, to int) []byte {
	for i := from; i < to; i++ {
		x := mix(uint64(k) + uint64(i)*0x9e3779b97f4a7c15)
		dst = append(dst, letters[x&31], letters[x>>5&31], letters[x>>10&31], ' ')
	}
	return dst
}

// Matches reports whether text is the beginning of the answer.
func (k Key) Matches(text []byte) bool {
	tokens := (len(text) + TokenBytes - 1) / TokenBytes
	want := k.Append(make([]byte, 0, tokens*TokenBytes), 0, tokens)
	return string(want[:len(text)]) == string(text)
}

// mix is the finaliser of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

const (
	tagOpen  = "[tag:"
	tagClose = "]"
	// tagReach is how far into a prompt a tag is looked for.
	tagReach = 512
)

// Tag returns the text that marks a prompt, so that its executions can be
// counted whatever ids they ran under. It belongs at the prompt's start or,
// to keep a common prefix cacheable, at its end.
func Tag(name string) string { return tagOpen + name + tagClose }

// TagOf returns the name in a prompt's tag, or "".
func TagOf(prompt string) string {
	if t := tagIn(prompt[:min(len(prompt), tagReach)]); t != "" {
		return t
	}
	return tagIn(prompt[max(0, len(prompt)-tagReach):])
}

func tagIn(s string) string {
	_, rest, ok := strings.Cut(s, tagOpen)
	if !ok {
		return ""
	}
	name, _, ok := strings.Cut(rest, tagClose)
	if !ok {
		return ""
	}
	return name
}
