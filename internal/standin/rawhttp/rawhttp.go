// Package rawhttp answers HTTP requests with given bytes, whether they are a response or not.
package rawhttp

import (
	"io"
	"net/http"
)

// Handler returns a handler that reads a request, writes text in place of a response and closes the connection.
func Handler(text string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err) // the server does not speak HTTP/1
		}
		_, _ = io.WriteString(c, text)
		_ = c.Close()
	})
}
