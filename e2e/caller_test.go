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

// callerTimeout limits how long a caller waits for a whole answer.
const callerTimeout = 10 * time.Minute

// reply is the answer that a caller received.
type reply struct {
	status  int
	header  http.Header
	body    string // of an answer that is not an event stream
	text    string // concatenated text of the events
	lastID  string
	done    bool // [DONE] was received
	restart bool
	problem string // data of the error event
	err     error
}

// ask sends one request to a gateway.
func (b *cluster) ask(gw, method, path, body string, header map[string]string) reply {
	b.t.Helper()
	return b.askWithin(callerTimeout, gw, method, path, body, header)
}

// askWithin sends one request to a gateway and gives up after the timeout.
func (b *cluster) askWithin(timeout time.Duration, gw, method, path, body string, header map[string]string) reply {
	b.t.Helper()
	return b.upload(timeout, gw, method, path, strings.NewReader(body), header)
}

// upload is askWithin with a body that is still to be read.
func (b *cluster) upload(timeout time.Duration, gw, method, path string, body io.Reader, header map[string]string) reply {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(b.t.Context(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+gw+path, body)
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
			r.addEvent(event, value)
		case "":
			event = ""
		}
	}
	return sc.Err()
}

func (r *reply) addEvent(event, value string) {
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

// lastID returns the event id that belongs to the text received so far.
func lastID(text string) string { return strconv.Itoa(len(text)) }

// chat returns a chat request body.
func chat(prompt string, tokens int, stream bool) string {
	var b bytes.Buffer
	_ = json.NewEncoder(&b).Encode(map[string]any{
		"model": model, "stream": stream, "max_tokens": tokens, "messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	return b.String()
}

// answerTo returns the whole answer of the simulated engine to a prompt.
func answerTo(prompt string, tokens int) string { return string(answer.Text([]byte(prompt), tokens)) }
