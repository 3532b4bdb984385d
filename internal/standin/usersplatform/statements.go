package usersplatform

import "net/http"

// Statement is what the header of a response states about its worker, as the texts of the fields;
// empty: not stated.
type Statement struct {
	Limit    string // requests per second that it accepts from all gateways together
	Draining string
	Backoff  string // seconds for which it accepts no requests from the gateway whose request it rejects
}

// StatementIn returns the statement in the header of a response.
func StatementIn(h http.Header) Statement {
	return Statement{Limit: h.Get("Server-Limit"), Draining: h.Get("Server-Leaving"), Backoff: h.Get("Retry-After")}
}

// headerLines returns the statement as lines of a response header.
func (s Statement) headerLines() string {
	out := ""
	for _, field := range []struct{ name, value string }{{"Server-Limit", s.Limit}, {"Server-Leaving", s.Draining}, {"Retry-After", s.Backoff}} {
		if field.value != "" {
			out += field.name + ": " + field.value + "\r\n"
		}
	}
	return out
}

// isGatewayCall reports whether a request is the gateway's own, for a report or with an order, and
// not a client's.
func isGatewayCall(r *http.Request) bool { return r.URL.Path == "/report" || r.URL.Path == "/order" }

// nextStatement returns the statement for the next response. A response that requests backoff
// rejects its request.
func (w *Worker) nextStatement(gatewayCall bool) Statement {
	w.mu.Lock()
	defer w.mu.Unlock()
	statement := w.statement
	if gatewayCall || w.backoffShare == 0 || w.random.Float64() >= w.backoffShare {
		statement.Backoff = ""
	}
	return statement
}

// SetLimit sets the limit in the worker's responses, the requests per second that it accepts from
// all gateways together; empty: none. The worker does not enforce it.
func (w *Worker) SetLimit(text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.statement.Limit = text
}

// AnnounceDraining makes all responses of the worker announce that it drains. It continues to serve
// all requests.
func (w *Worker) AnnounceDraining() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.statement.Draining = "1"
}

// RequestBackoff makes the worker reject a share of the requests, 0 to 1, and request backoff for
// so many seconds from their gateways.
func (w *Worker) RequestBackoff(share float64, seconds string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.backoffShare, w.statement.Backoff = share, seconds
}
