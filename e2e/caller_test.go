package e2e

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/micarudder/micarudder/internal/standin/answer"
)

func digestOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// patience is how long a caller waits for a whole answer.
const patience = 10 * time.Minute

// reply is what a caller got.
type reply struct {
	status  int
	header  http.Header
	body    string // of an answer that is no event stream
	text    string // joined text of the events
	lastID  string
	done    bool // [DONE] came
	restart bool
	problem string // the error event
	err     error
}

// ask sends one request to a gateway.
func (b *bubble) ask(gw, method, path, body string, header map[string]string) reply {
	b.t.Helper()
	return b.askFor(patience, gw, method, path, body, header)
}

// askFor gives up after a time.
func (b *bubble) askFor(patience time.Duration, gw, method, path, body string, header map[string]string) reply {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(b.t.Context(), patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+gw+path, strings.NewReader(body))
	if err != nil {
		b.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+bearer)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	client := b.httpClient()
	defer client.CloseIdleConnections()
	resp, err := client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	r := reply{status: resp.StatusCode, header: resp.Header}
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		raw, err := io.ReadAll(resp.Body)
		r.body, r.err = string(raw), err
		return r
	}
	r.err = r.readEvents(resp.Body)
	return r
}

func (r *reply) readEvents(body io.Reader) error {
	sc := bufio.NewScanner(body)
	sc.Buffer(nil, 1<<20)
	event := ""
	for sc.Scan() {
		name, value, _ := strings.Cut(sc.Text(), ": ")
		switch name {
		case "event":
			event = value
		case "id":
			r.lastID = value
		case "data":
			r.data(event, value)
		case "":
			event = ""
		}
	}
	return sc.Err()
}

func (r *reply) data(event, value string) {
	switch {
	case event == "restart":
		r.text, r.restart = "", true
	case event == "error":
		r.problem = value
	case value == "[DONE]":
		r.done = true
	default:
		var chunk struct {
			Choices []struct {
				Text  string
				Delta struct{ Content string }
			}
		}
		if json.Unmarshal([]byte(value), &chunk) == nil && len(chunk.Choices) > 0 {
			r.text += chunk.Choices[0].Text + chunk.Choices[0].Delta.Content
		}
	}
}

// lastID is the event id that goes with the text held.
func lastID(text string) string { return strconv.Itoa(len(text)) }

// chat returns a chat request body.
func chat(prompt string, tokens int, stream bool) string {
	var b bytes.Buffer
	_ = json.NewEncoder(&b).Encode(map[string]any{
		"model": model, "stream": stream, "max_tokens": tokens, "messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	return b.String()
}

// answerTo is the whole answer that the stand-in engine gives.
func answerTo(prompt string, tokens int) string { return string(answer.Text([]byte(prompt), tokens)) }
