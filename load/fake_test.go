package load

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"

	"github.com/micarudder/micarudder/internal/standin/answer"
	"github.com/micarudder/micarudder/internal/standin/pipe"
)

// gatewayFake answers presentations by a script; the last entry repeats.
type gatewayFake struct {
	mu     sync.Mutex
	script []http.HandlerFunc
	seen   []*http.Request
}

func (g *gatewayFake) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	h := g.script[min(len(g.seen), len(g.script)-1)]
	g.seen = append(g.seen, r)
	g.mu.Unlock()
	h(w, r)
}

// serve runs the fake in the bubble and returns options that reach it.
func (g *gatewayFake) serve(t *testing.T, m *Mix) Options { return serveHandler(t, m, g) }

func serveHandler(t *testing.T, m *Mix, h http.Handler) Options {
	s := pipe.Serve(h)
	t.Cleanup(s.Close)
	return Options{Mix: m, Gateways: []string{"http://gateway"}, Seed: 1, Name: "t", Transport: s.Client.Transport}
}

// bodyOf reads a completion request.
func bodyOf(r *http.Request) answer.Body {
	data, _ := io.ReadAll(r.Body)
	b, err := answer.Parse(data)
	if err != nil {
		panic(err)
	}
	return b
}

func textOf(b answer.Body) string { return string(answer.Text([]byte(b.Prompt), b.MaxTokens)) }

// stream writes text as events of one token, from byte offset from on.
func stream(w http.ResponseWriter, text string, from int) {
	w.Header().Set("Content-Type", typeEvents)
	for at := from; at < len(text); at += answer.TokenBytes {
		end := min(at+answer.TokenBytes, len(text))
		fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", end, text[at:end])
		_ = http.NewResponseController(w).Flush()
	}
}

func done(w io.Writer) { fmt.Fprintf(w, "data: %s\n\n", endOfStream) }

// answerWhole streams the request's own answer.
func answerWhole(w http.ResponseWriter, r *http.Request) {
	stream(w, textOf(bodyOf(r)), 0)
	done(w)
}

func tell(status int, p problem) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", typeProblem)
		w.Header().Set(headerRetryAfter, strconv.FormatInt((p.RetryAfterMS+999)/1000, 10))
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(p)
	}
}
