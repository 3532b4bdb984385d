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

// fakeGateway serves requests with the handlers of script in order; the last
// one serves all further requests.
type fakeGateway struct {
	mu     sync.Mutex
	script []http.HandlerFunc
	seen   []*http.Request
}

func (g *fakeGateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	h := g.script[min(len(g.seen), len(g.script)-1)]
	g.seen = append(g.seen, r)
	g.mu.Unlock()
	h(w, r)
}

// serve starts the fake gateway inside the synctest bubble and returns options
// that connect to it.
func (g *fakeGateway) serve(t *testing.T, m *Mix) Options { return serveHandler(t, m, g) }

func serveHandler(t *testing.T, m *Mix, h http.Handler) Options {
	s := pipe.Serve(h)
	t.Cleanup(s.Close)
	return Options{Mix: m, Gateways: []string{"http://gateway"}, Seed: 1, Name: "t", Transport: s.Client.Transport}
}

// bodyOf parses the body of a completion request.
func bodyOf(r *http.Request) answer.Body {
	data, _ := io.ReadAll(r.Body)
	b, err := answer.Parse(data)
	if err != nil {
		panic(err)
	}
	return b
}

func textOf(b answer.Body) string { return string(answer.Text([]byte(b.Prompt), b.MaxTokens)) }

// stream writes text as events of one token each, starting at byte offset from.
func stream(w http.ResponseWriter, text string, from int) {
	w.Header().Set("Content-Type", typeEvents)
	for at := from; at < len(text); at += answer.TokenBytes {
		end := min(at+answer.TokenBytes, len(text))
		fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", end, text[at:end])
		_ = http.NewResponseController(w).Flush()
	}
}

func endStream(w io.Writer) { fmt.Fprintf(w, "data: %s\n\n", endOfStream) }

// answerWhole streams the complete answer to the request.
func answerWhole(w http.ResponseWriter, r *http.Request) {
	stream(w, textOf(bodyOf(r)), 0)
	endStream(w)
}

func answerProblem(status int, p problem) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", typeProblem)
		w.Header().Set(headerRetryAfter, strconv.FormatInt((p.RetryAfterMS+999)/1000, 10))
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(p)
	}
}
