package engine

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

var streamSeeds = []string{
	"",
	"data: [DONE]\n\n",
	"data: {\"choices\":[{\"delta\":{\"content\":\"ab\"},\"finish_reason\":null}],\"tokens\":2}\n\ndata: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":2,\"prompt_tokens_details\":{\"cached_tokens\":1}}}\n\ndata: [DONE]\n\n",
	": comment\r\nevent: message\r\nid: 1\r\ndata: {\"choices\":[{\"text\":\"x\",\r\ndata:\"finish_reason\":\"length\"}]}\r\n\r\ndata:[DONE]\r\n\r\n",
	"data: {\"error\":{\"code\":\"failed\",\"message\":\"m\"}}\n\n",
	"data: {\"choices\":[{\"text\":\"\\ud800\"}],\"tokens\":-1}\n\n",
	"data\ndata:\n\n\ndata: {",
}

func collectStream(r io.Reader) (text []byte, finish string, err error) {
	s := newStream(&http.Response{Body: io.NopCloser(r)})
	for {
		ev, err := s.Recv()
		if err != nil {
			return text, finish, err
		}
		text, finish = append(text, ev.Text...), ev.Finish
	}
}

// FuzzStream checks that a stream is complete only if the done marker ends it,
// that only the package's errors are returned, and that the result does not
// depend on how the bytes arrive.
func FuzzStream(f *testing.F) {
	for _, s := range streamSeeds {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		text, finish, err := collectStream(bytes.NewReader(data))
		text1, finish1, err1 := collectStream(iotest.OneByteReader(bytes.NewReader(data)))
		if string(text) != string(text1) || finish != finish1 || errors.Is(err, io.EOF) != errors.Is(err1, io.EOF) {
			t.Fatalf("%q/%q/%v in one piece, %q/%q/%v in single bytes", text, finish, err, text1, finish1, err1)
		}
		complete := errors.Is(err, io.EOF)
		if complete && (finish == "" || !bytes.Contains(data, doneMarker)) {
			t.Fatalf("stream complete without a done marker: %q", data)
		}
		if !complete && !errors.Is(err, ErrLost) && !errors.Is(err, ErrFailed) {
			t.Fatalf("unexpected error %v", err)
		}
	})
}

// FuzzErrorResponse checks that only a response with an explicit code, or a
// client error, proves that nothing ran.
func FuzzErrorResponse(f *testing.F) {
	f.Add(500, `{"error":{"code":"refused"}}`)
	f.Add(503, `{"error":{"code":503,"message":"x"}}`)
	f.Add(429, ``)
	f.Add(502, `<html>`)
	f.Fuzz(func(t *testing.T, status int, body string) {
		resp := &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader(body))}
		err := responseError(opStart, resp)
		hasCode := strings.Contains(strings.ToLower(body), "code")
		if NotStarted(err) && !hasCode && (status < 400 || status >= 500 || status == http.StatusRequestTimeout) {
			t.Fatalf("status %d, body %q counts as not started: %v", status, body, err)
		}
	})
}

func TestLongEventsAreRead(t *testing.T) {
	is := is.New(t)
	long := strings.Repeat("x", 100_000)
	text, finish, err := collectStream(strings.NewReader(
		"data: {\"choices\":[{\"text\":\"" + long + "\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"))
	is.True(errors.Is(err, io.EOF))
	is.Equal(string(text), long)
	is.Equal(finish, "stop")
}

// endlessReader returns a line that never ends.
type endlessReader struct{ read int }

func (e *endlessReader) Read(p []byte) (int, error) {
	e.read += len(p)
	return copy(p, bytes.Repeat([]byte("x"), len(p))), nil
}

func TestEndlessLineIsRejected(t *testing.T) {
	is := is.New(t)
	e := &endlessReader{}
	_, _, err := collectStream(io.LimitReader(e, 16*maxEventBytes))
	is.True(errors.Is(err, errEventTooLong))
	is.True(e.read < 2*maxEventBytes)
}
