package engine_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/internal/standin/answer"
	standin "github.com/micarudder/micarudder/internal/standin/engine"
)

// TestStandardCompletionClient: without the extension headers the engine is a
// standard server of the completion protocol.
func TestStandardCompletionClient(t *testing.T) {
	type document struct {
		Object  string
		Choices []struct {
			Text         string
			Message      struct{ Role, Content string }
			FinishReason string `json:"finish_reason"`
		}
		Usage struct {
			PromptTokens     int `json:"prompt_tokens"`
			CompletionTokens int `json:"completion_tokens"`
			TotalTokens      int `json:"total_tokens"`
		}
		Data []struct{ ID string }
	}
	withEngine(t, nil, func(is *is.I, b *fixture) {
		request := func(method, path, body string) document {
			req, err := http.NewRequest(method, "http://engine"+path, strings.NewReader(body))
			is.NoErr(err)
			resp, err := b.net.Client.Do(req)
			is.NoErr(err)
			defer resp.Body.Close()
			var d document
			is.NoErr(json.NewDecoder(resp.Body).Decode(&d))
			return d
		}
		want := string(answer.Text([]byte("eight by"), 3))
		chat := request("POST", chatPath, `{"model":"rudder-llm","messages":[{"role":"user","content":"eight by"}],"max_tokens":3}`)
		is.Equal(chat.Object, "chat.completion")
		is.Equal(chat.Choices[0].Message.Content, want)
		is.Equal(chat.Choices[0].Message.Role, "assistant")
		is.Equal(chat.Choices[0].FinishReason, "length")
		text := request("POST", textPath, `{"model":"rudder-llm","prompt":"eight by","max_tokens":3}`)
		is.Equal(text.Choices[0].Text, want)
		is.Equal(text.Usage.PromptTokens, 2)
		is.Equal(text.Usage.CompletionTokens, 3)
		is.Equal(text.Usage.TotalTokens, 5)
		is.Equal(request("GET", "/v1/models", "").Data[0].ID, model)
		is.Equal(b.engine.Counts().Finished, 2)

		b.engine.SetFaults(standin.Faults{DieAfterTokens: 2})
		_, err := b.net.Client.Post("http://engine"+textPath, "application/json", strings.NewReader(`{"model":"rudder-llm","prompt":"p"}`))
		is.True(err != nil)

		resp, err := b.net.Client.Post("http://engine"+textPath, "application/json", strings.NewReader(`{"model":"rudder-llm","prompt":"p","stream":true}`))
		is.NoErr(err)
		raw, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.True(strings.HasSuffix(string(raw), "data: [DONE]\n\n"))
	})
}
