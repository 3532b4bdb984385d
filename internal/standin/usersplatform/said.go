package usersplatform

import "net/http"

// Said is what an answer says of the worker that gives it, as the texts of its fields; empty: it says nothing.
type Said struct {
	Limit   string // requests a second that it takes from all gateways together
	Leaving string
	Rest    string // seconds for which it wants nothing from the gateway that it turns away
}

// Saying returns what an answer says.
func Saying(h http.Header) Said {
	return Said{Limit: h.Get("Server-Limit"), Leaving: h.Get("Server-Leaving"), Rest: h.Get("Retry-After")}
}

// lines returns the lines for the head of an answer.
func (s Said) lines() string {
	out := ""
	for _, field := range []struct{ name, value string }{{"Server-Limit", s.Limit}, {"Server-Leaving", s.Leaving}, {"Retry-After", s.Rest}} {
		if field.value != "" {
			out += field.name + ": " + field.value + "\r\n"
		}
	}
	return out
}

// isQuestion reports whether a request is a gateway's own, about the worker or its memory.
func isQuestion(r *http.Request) bool { return r.URL.Path == "/report" || r.URL.Path == "/order" }

// saying returns what the answer to a request says; one that asks for rest turns it away.
func (w *Worker) saying(question bool) Said {
	w.mu.Lock()
	defer w.mu.Unlock()
	said := w.says
	if question || w.rests == 0 || w.random.Float64() >= w.rests {
		said.Rest = ""
	}
	return said
}

// SetLimit sets what the worker's answers name as the requests a second that it takes from all gateways
// together; empty: nothing. It answers whatever comes.
func (w *Worker) SetLimit(text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.says.Limit = text
}

// Leave makes all answers of the worker say that it leaves. It answers whatever comes.
func (w *Worker) Leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.says.Leaving = "1"
}

// Rest makes the worker turn away a part of the requests, 0 to 1, and ask their gateways for so many seconds of rest.
func (w *Worker) Rest(part float64, seconds string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rests, w.says.Rest = part, seconds
}
