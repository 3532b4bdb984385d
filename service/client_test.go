package service_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/internal/standin/pipe"
	standin "github.com/micarudder/micarudder/internal/standin/service"
	"github.com/micarudder/micarudder/service"
)

func withService(t *testing.T, f func(is *is.I, c *service.Client, s *standin.Server, net *pipe.Server)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewServer(standin.Config{Name: "bid-api", Work: 5 * time.Millisecond})
		net := pipe.Serve(s.Handler())
		f(is.New(t), service.NewClient(service.Options{BaseURL: "http://service", HTTPClient: net.Client}), s, net)
		s.SetFaults(standin.Faults{})
		time.Sleep(time.Second) // lets delayed calls finish
		net.Close()
	})
}

// TestDoUnderFaults checks what each failure proves, for calls that the
// transport would resend and for others, over new and reused connections.
func TestDoUnderFaults(t *testing.T) {
	calls := map[string]service.Call{
		"get":            {ID: "1", Method: http.MethodGet, Path: "/position?book=a"},
		"post":           {ID: "1", Method: http.MethodPost, Path: "/bids", Body: []byte("b")},
		"post with key":  {ID: "1", Method: http.MethodPost, Path: "/bids", Body: []byte("b"), Header: http.Header{"Idempotency-Key": {"k"}}},
		"empty with key": {ID: "1", Method: http.MethodPost, Path: "/bids", Header: http.Header{"X-Idempotency-Key": {"k"}}},
		"empty post":     {ID: "1", Method: http.MethodPost, Path: "/bids"},
		"delete":         {ID: "1", Method: http.MethodDelete, Path: "/bids/1"},
	}
	cases := []struct {
		name    string
		faults  standin.Faults
		stopped bool
		want    error
		ran     int
	}{
		{name: "healthy", ran: 1},
		{name: "slow", faults: standin.Faults{SlowFactor: 20}, ran: 1},
		{name: "response lost", faults: standin.Faults{LoseAnswer: true}, want: service.ErrLost, ran: 1},
		{name: "response cut off", faults: standin.Faults{CutAnswer: true}, want: service.ErrLost, ran: 1},
		{name: "hangs", faults: standin.Faults{Hang: true}, want: service.ErrLost},
		{name: "rejects", faults: standin.Faults{Refuse: true}},
		{name: "unreachable", stopped: true, want: service.ErrUnreachable},
	}
	for _, c := range cases {
		for name, call := range calls {
			for _, reuseConn := range []bool{false, true} {
				t.Run(c.name+"/"+name, func(t *testing.T) {
					withService(t, func(is *is.I, cl *service.Client, s *standin.Server, net *pipe.Server) {
						if reuseConn {
							_, err := do(cl, service.Call{ID: "0", Method: http.MethodGet, Path: "/"})
							is.NoErr(err)
						}
						s.SetFaults(c.faults)
						if c.stopped {
							net.Close()
							synctest.Wait()
						}
						_, err := do(cl, call)
						is.True(errors.Is(err, c.want))
						is.Equal(s.Counts().ByID["1"], c.ran)
						s.SetFaults(standin.Faults{})
						time.Sleep(time.Second)
						is.True(s.Counts().ByID["1"] <= 1)
					})
				})
			}
		}
	}
}

// do makes the call and reads its response within a second.
func do(c *service.Client, call service.Call) (standin.Echo, error) {
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	r, err := c.Do(ctx, call)
	if err != nil {
		return standin.Echo{}, err
	}
	defer r.Body.Close()
	raw, err := io.ReadAll(r.Body)
	if err != nil || r.Status != http.StatusOK {
		return standin.Echo{}, err
	}
	var e standin.Echo
	return e, json.Unmarshal(raw, &e)
}

func TestDoForwardsCallAndResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var got *http.Request
		net := pipe.Serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			got = r
			w.Header().Set("Location", "/other")
			w.Header().Set("X-Answer", "1")
			w.Header().Set("Connection", "X-Hop")
			w.Header().Set("X-Hop", "1")
			w.WriteHeader(http.StatusTemporaryRedirect)
		}))
		c := service.NewClient(service.Options{BaseURL: "http://service/", HTTPClient: net.Client})
		r, err := c.Do(context.Background(), service.Call{ID: "id", Method: http.MethodPut, Path: "/a?b=c", Header: http.Header{
			"X-Own": {"1"}, "Connection": {"X-Hop, close"}, "X-Hop": {"1"}, "Te": {"x"}, "Expect": {"100-continue"}, "Rudder-Request-Id": {"forged"},
		}})
		is.NoErr(err)
		is.Equal(r.Status, http.StatusTemporaryRedirect) // forwarded, not followed
		is.Equal(r.Header.Get("X-Answer"), "1")
		is.Equal(r.Header.Get("X-Hop")+r.Header.Get("Connection"), "")
		is.NoErr(r.Body.Close())
		is.Equal(got.RequestURI, "/a?b=c")
		is.Equal(got.Header.Get("X-Own"), "1")
		is.Equal(got.Header.Values(service.HeaderRequestID), []string{"id"})
		for _, name := range []string{"X-Hop", "Te", "Expect", "Connection", "Accept-Encoding"} {
			is.Equal(got.Header.Get(name), "")
		}
		net.Close()
	})
}

// TestDoRefusesUnsendableCalls: such a call is never sent, and its error is not
// ErrUnreachable.
func TestDoRefusesUnsendableCalls(t *testing.T) {
	bad := map[string]service.Call{
		"another host": {Method: http.MethodGet, Path: "@elsewhere/"},
		"port":         {Method: http.MethodGet, Path: "1/"},
		"no path":      {Method: http.MethodGet},
		"escape":       {Method: http.MethodGet, Path: "/%zz"},
		"method":       {Method: "A B", Path: "/"},
		"tunnel":       {Method: http.MethodConnect, Path: "/"},
		"header":       {Method: http.MethodGet, Path: "/", Header: http.Header{"X": {"a\nb"}}},
	}
	for name, call := range bad {
		t.Run(name, func(t *testing.T) {
			withService(t, func(is *is.I, c *service.Client, s *standin.Server, _ *pipe.Server) {
				_, err := do(c, call)
				is.True(errors.Is(err, service.ErrRefused))
				is.Equal(s.Counts().Total, 0)
			})
		})
	}
}
