package load

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/micarudder/micarudder/internal/standin/answer"
	"github.com/micarudder/micarudder/prefix"
)

// filler is repeated to pad a prompt to its length.
var filler = strings.Repeat("settle the imbalance of the hour and name the letter by its year ", 1024)

// Tag returns the identifier by which executors count the runs of an arrival.
// run names the load run and makes the tags of different load runs distinct.
func (a Arrival) Tag(run string) string { return run + "-" + a.ID }

// PromptText returns the arrival's prompt: the prefix of its session, then text
// unique to the arrival, then its tag. Two prompts of one session have a common
// prefix as long as the shared part of the shorter prompt.
func (a Arrival) PromptText(f Flow, run string) string {
	size := int(a.Prompt) * prefix.BytesPerToken
	tag := answer.Tag(a.Tag(run))
	var b strings.Builder
	b.Grow(size + len(tag))
	if a.Session >= 0 {
		shared := int(float64(size) * f.Shared)
		fill(&b, fmt.Sprintf("%s session %s/%d: ", run, a.Flow, a.Session), shared)
	}
	fill(&b, a.Tag(run)+": ", size-len(tag))
	b.WriteString(tag)
	return b.String()
}

// fill appends title to b, then filler until b holds size bytes.
func fill(b *strings.Builder, title string, size int) {
	b.WriteString(title)
	for b.Len() < size {
		b.WriteString(filler[:min(len(filler), size-b.Len())])
	}
}

type completionBody struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages,omitempty"`
	Prompt    string    `json:"prompt,omitempty"`
	MaxTokens uint64    `json:"max_tokens"`
	Stream    bool      `json:"stream,omitempty"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// body returns the request body for a prompt.
func (f Flow) body(prompt string, tokens uint64) ([]byte, error) {
	c := completionBody{Model: f.Model, MaxTokens: tokens, Stream: f.Stream}
	if f.Path == PathChat {
		c.Messages = []message{{Role: "user", Content: prompt}}
	} else {
		c.Prompt = prompt
	}
	return json.Marshal(c)
}
