// Package answer defines the simulated engine's answer to a prompt: a deterministic text, from
// which a caller can verify on its own that an answer is complete and belongs to its prompt.
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
	// DefaultTokens is the length of an answer if the body does not state one.
	DefaultTokens = 16
	// alphabet has 32 entries, so that five bits choose one.
	alphabet = "abcdefghijklmnopqrstuvwxyz234567"
)

// Body holds the relevant fields of a completion request.
type Body struct {
	Model     string
	Prompt    string
	MaxTokens int
	Stream    bool
}

// ErrBadBody is returned for a body that is not a JSON object.
var ErrBadBody = errors.New("answer: the body is no JSON object")

// Parse parses a body for either completion path. It is optimised for prompts of megabytes, which
// encoding/json would scan four times.
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
		b.Prompt = joinContents(v)
	case "stream":
		b.Stream = v.Bool()
	case "max_tokens", "max_completion_tokens":
		if n := v.Int(); n > 0 {
			b.MaxTokens = int(n)
		}
	}
}

// joinContents returns the concatenated contents of messages.
func joinContents(messages gjson.Result) string {
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

// contentOf returns the text of a message, which may consist of parts.
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

// PromptOf returns the prompt text of a body: the prompt of a plain completion, or the concatenated
// contents of a chat's messages. For an invalid body it is empty.
func PromptOf(body []byte) []byte {
	b, err := Parse(body)
	if err != nil {
		return nil
	}
	return []byte(b.Prompt)
}

// Key is the hash of a prompt, which determines the answer.
type Key uint64

// KeyOf returns the key of a prompt.
func KeyOf(prompt string) Key { return Key(xxhash.Sum64String(prompt)) }

// String returns the key in hexadecimal.
func (k Key) String() string { return strconv.FormatUint(uint64(k), 16) }

// Text returns the first n tokens of the answer to a prompt.
func Text(prompt []byte, n int) []byte {
	return Key(xxhash.Sum64(prompt)).Append(make([]byte, 0, n*TokenBytes), 0, n)
}

// Append appends the tokens from, inclusive, to to, exclusive.
func (k Key) Append(dst []byte, from, to int) []byte {
	for i := from; i < to; i++ {
		x := splitmix(uint64(k) + uint64(i)*0x9e3779b97f4a7c15)
		dst = append(dst, alphabet[x&31], alphabet[x>>5&31], alphabet[x>>10&31], ' ')
	}
	return dst
}

// Matches reports whether text is a prefix of the answer.
func (k Key) Matches(text []byte) bool {
	tokens := (len(text) + TokenBytes - 1) / TokenBytes
	want := k.Append(make([]byte, 0, tokens*TokenBytes), 0, tokens)
	return string(want[:len(text)]) == string(text)
}

// splitmix is the finaliser of splitmix64.
func splitmix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

const (
	tagOpen  = "[tag:"
	tagClose = "]"
	// tagSearchBytes is how far from the start and the end of a prompt a tag is searched for.
	tagSearchBytes = 512
)

// Tag returns a text that marks a prompt, so that its executions can be counted regardless of their
// ids. It belongs at the start of the prompt or, to keep a common prefix cacheable, at its end.
func Tag(name string) string { return tagOpen + name + tagClose }

// TagOf returns the name in a prompt's tag, or "" without a tag.
func TagOf(prompt string) string {
	if t := tagIn(prompt[:min(len(prompt), tagSearchBytes)]); t != "" {
		return t
	}
	return tagIn(prompt[max(0, len(prompt)-tagSearchBytes):])
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
