package keepalive

import (
	"context"
	"net"
	"net/http"
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

// withConn returns a ConnContext that adds the connection to what another one, if not nil, returns.
func withConn(other func(context.Context, net.Conn) context.Context) func(context.Context, net.Conn) context.Context {
	return func(ctx context.Context, c net.Conn) context.Context {
		if other != nil {
			ctx = other(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
}

// resetAborted returns a handler that resets the connection of an HTTP/1.0 request whose handler panics. A response without
// a length ends with its connection there, so that a close would make what was sent of it look complete.
func resetAborted(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoAtLeast(1, 1) {
			h.ServeHTTP(w, r)
			return
		}
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			if c, ok := r.Context().Value(connKey{}).(*Conn); ok {
				reset(c.Conn)
			}
			panic(cause)
		}()
		h.ServeHTTP(w, r)
	})
}
