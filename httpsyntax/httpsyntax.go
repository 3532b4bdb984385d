// Package httpsyntax holds small rules of HTTP that the gateway and its protocols share.
package httpsyntax

import (
	"strconv"
	"strings"
	"time"
)

// Path returns the path of a request target.
func Path(target string) string {
	if strings.HasPrefix(target, "http://") {
		if slash := strings.IndexByte(target[len("http://"):], '/'); slash >= 0 {
			target = target[len("http://")+slash:]
		}
	}
	path, _, _ := strings.Cut(target, "?")
	return path
}

// hopByHop holds the header fields that apply to a single connection.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Transfer-Encoding": true, "Te": true, "Trailer": true,
	"Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// HopByHop reports whether a header field, in its canonical form, applies to a single connection.
func HopByHop(name string) bool { return hopByHop[name] }

// Seconds formats a duration for the Retry-After header; fractions are allowed.
func Seconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', -1, 64)
}
