package httpresponse

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// MalformedError says why a head is not that of a response.
type MalformedError struct {
	Reason string
}

// Error implements error.
func (e *MalformedError) Error() string { return "malformed response: " + e.Reason }

const (
	minStatus = 100
	maxStatus = 599
)

// CheckHead returns a MalformedError if the head of an interim or a final response violates RFC 9110 or 9112 where
// net/http accepts it.
func CheckHead(res *http.Response) error {
	switch {
	case res.ProtoMajor != 1:
		return &MalformedError{fmt.Sprintf("protocol %.100q", res.Proto)}
	case !httpguts.ValidHeaderFieldValue(res.Status):
		return &MalformedError{fmt.Sprintf("control byte in the status line %.100q", res.Status)}
	case res.StatusCode < minStatus || res.StatusCode > maxStatus:
		return &MalformedError{fmt.Sprintf("status %.100q", res.Status)}
	case res.StatusCode == http.StatusSwitchingProtocols:
		return &MalformedError{"a switch of protocols that no request asks for"}
	}
	for name := range res.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &MalformedError{fmt.Sprintf("name of a header field %.100q", name)}
		}
	}
	return nil
}
